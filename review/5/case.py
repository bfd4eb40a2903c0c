"""A cancelled job is started after the leader that knew of it was killed."""

import asyncio
import signal

from review import rig as rig_module

_JOB = '00000000000000a1'
_FREEZE_S = 3.5
_TASK_MS = 1_500


async def play(rig: rig_module.Rig, trouble: bool) -> bool:
    """Play the case; tell whether UNASKED was broken."""
    await rig.start(daemons=3, workers=2)
    record = rig.record
    leader = rig.leader
    first, second = rig.followers
    frozen_s = record.now_s()
    if trouble:
        first.send(signal.SIGSTOP)
    body = {
        'spec': str(_TASK_MS),
        'steps': [{'count': 2, 'cpu': 1000, 'estimate_ms': _TASK_MS}],
    }
    # The client leaves before its deadline if it gets no answer.
    await rig.request(first, 'POST', _JOB, body, deadline_ms=300)
    status, _ = await rig.request(second, 'DELETE', _JOB)
    if status not in (200, 410):
        raise rig_module.CannotRun('the cancelling was not acknowledged')
    cancelled_s = record.now_s()
    if trouble:
        leader.send(signal.SIGKILL)
        await asyncio.sleep(0.5)
        leader.end()
        leader.start()
        await asyncio.sleep(frozen_s + _FREEZE_S - record.now_s())
        first.send(signal.SIGCONT)
    await asyncio.sleep(8)
    await rig.request(second, 'GET', _JOB)
    allowed_s = cancelled_s + rig_module.CANCEL_MS / 1000
    late = [run for run in rig.runs() if rig.since(run.start_s) > allowed_s]
    for run in late:
        record.note(
            f'UNASKED: {run.task} run {run.number} was started '
            f'{rig.since(run.start_s) - cancelled_s:.3f} s after the '
            f'cancelling of its job was acknowledged'
        )
    return bool(late)


if __name__ == '__main__':
    rig_module.main(__file__, play)
