"""Ask a queue how many jobs wait while the only fitting worker refuses."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import rig2  # noqa: E402

_LABEL = 'b'
_JOBS = 8
# visible_ms and 2 s, after which an accepted job has to be counted.
_COUNTED_AFTER_S = 5.0
# How long the site file lets workers fail their requests at most.
_GREY_S = 6.5


def _prepare(cell):
    cell.workers[0].labels = [_LABEL, 'r1-1']


async def _case(cell, has_trouble):
    special = cell.workers[0]
    record = cell.record
    if has_trouble:
        special.fault = lambda call, body: '503' if call == 'run-start' else ''
        record.note(f'{special.worker_id} answers 503 to each run-start')
    begun_s = record.now_s
    accepted = {}
    for number in range(_JOBS):
        job_id = f'{number:016x}'
        step = rig2.make_step(1, 500, requires=_LABEL)
        status, _ = await cell.client.call(
            cell.daemons[0], 'POST', job_id, {'spec': '500', 'steps': [step]}
        )
        if status == 200:
            accepted[job_id] = record.now_s
    if len(accepted) < 2:
        raise rig2.CannotRun('too few jobs were accepted')
    breaches = []
    while record.now_s < begun_s + _GREY_S:
        begun = {row['task'].partition('.')[0] for row in cell.runs}
        asked_s = record.now_s
        counted = [
            job_id
            for job_id, at_s in accepted.items()
            if job_id not in begun and asked_s - at_s > _COUNTED_AFTER_S
        ]
        status, body = await cell.client.call(cell.daemons[0], 'GET')
        if status == 200 and counted and 2 * body['waiting'] < len(counted):
            breaches.append(
                f'at {asked_s:.3f} s the queue says {body["waiting"]} wait; '
                f'{len(counted)} accepted over 5 s before have not begun'
            )
        await asyncio.sleep(0.2)
    special.fault = lambda call, body: ''
    record.note(f'{special.worker_id} carries out starts again')
    await asyncio.sleep(4.0)
    return breaches


rig2.play(__file__, _case, prepare=_prepare)
