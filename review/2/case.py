"""A worker loses power for good while it runs tasks of a job."""

import asyncio
import time

from review import rig as rig_module

_JOB = '00000000000000a1'
_TASK_MS = 6_000
# From the end of the traffic until jobs are asked for.
_FINISH_S = 14
# Far beyond every lease (10 s at most) and the entry in the registry.
_WAIT_S = 46
# The rule: nothing runs for this long though a task's turn has come.
_IDLE_S = 3


async def play(rig: rig_module.Rig, trouble: bool) -> bool:
    """Play the case; tell whether LOST was broken."""
    await rig.start(daemons=2, workers=3)
    record = rig.record
    body = {
        'spec': str(_TASK_MS),
        'steps': [{'count': 9, 'cpu': 1000, 'estimate_ms': _TASK_MS}],
    }
    status, _ = await rig.request(rig.followers[0], 'POST', _JOB, body)
    if status != 200:
        raise rig_module.CannotRun('the job was not accepted')
    await asyncio.sleep(1)
    worker = max(rig.workers, key=lambda worker: len(worker.runs))
    if trouble:
        worker.lose_power()
    await asyncio.sleep(_FINISH_S + _WAIT_S)
    status, data = await rig.request(rig.followers[0], 'GET', _JOB)
    done = {run.task for run in rig.runs() if run.how == 'done'}
    left = {run.task for run in rig.runs()} - done
    last_end_s = max(run.end_s or time.monotonic() for run in rig.runs())
    idle_s = time.monotonic() - last_end_s
    record.note(
        f'{len(done)} tasks ended as done, {len(left)} did not; no worker has '
        f'had anything to run for {idle_s:.1f} s; the job: {status} '
        f'{data.decode()}'
    )
    broken = status != 200 or bool(left) and idle_s > _IDLE_S
    if broken:
        record.note(
            f'LOST: {sorted(left)} could run and have not been started again'
        )
    return broken


if __name__ == '__main__':
    rig_module.main(__file__, play)
