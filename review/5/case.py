"""A worker crashes and is back under its id before the leader notices."""

import asyncio

from review import rig as rig_module

_LONG_MS = 4_000
_SHORT_MS = 100
_DOWN_S = 0.3
_ROUNDS = 6


async def play(rig: rig_module.Rig, trouble: bool) -> bool:
    """Play the case; tell whether TWICE was broken."""
    await rig.start(daemons=2, workers=3)
    # Every worker has ended some tasks before.
    await _submit(rig, 0xFF, 24, _SHORT_MS)
    await asyncio.sleep(2)
    for number in range(_ROUNDS):
        worker = rig.workers[number % len(rig.workers)]
        if trouble:
            worker.lose_power()
            await asyncio.sleep(_DOWN_S)
            worker.start_again()
        # A job that comes in shortly after.
        await asyncio.sleep(0.1)
        task_ms = _SHORT_MS if number % 2 else _LONG_MS
        await _submit(rig, number, 18, task_ms)
        await asyncio.sleep(9)
    return rig.note_doubles()


async def _submit(
    rig: rig_module.Rig, number: int, count: int, task_ms: int
) -> None:
    body = {
        'spec': str(task_ms),
        'steps': [{'count': count, 'cpu': 1000, 'estimate_ms': task_ms}],
    }
    daemon = rig.followers[0]
    status, _ = await rig.request(daemon, 'POST', f'{number:016x}', body)
    if status != 200:
        raise rig_module.CannotRun('a job was not accepted')


if __name__ == '__main__':
    rig_module.main(__file__, play)
