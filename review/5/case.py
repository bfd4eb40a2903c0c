"""A worker crashes and is back under its id before the leader notices."""

import asyncio

from review import rig as rig_module

_TASK_MS = 4_000
_DOWN_S = 0.3
_ROUNDS = 6


async def play(rig: rig_module.Rig, trouble: bool) -> bool:
    """Play the case; tell whether TWICE was broken."""
    await rig.start(daemons=2, workers=3)
    for number in range(_ROUNDS):
        worker = rig.workers[number % len(rig.workers)]
        if trouble:
            worker.lose_power()
            await asyncio.sleep(_DOWN_S)
            worker.start_again()
        # A job that comes in shortly after.
        await asyncio.sleep(0.1)
        status, _ = await rig.request(
            rig.followers[0],
            'POST',
            f'{number + 1:016x}',
            {
                'spec': str(_TASK_MS),
                'steps': [{'count': 9, 'cpu': 1000, 'estimate_ms': _TASK_MS}],
            },
        )
        if status != 200:
            raise rig_module.CannotRun('a job was not accepted')
        await asyncio.sleep(9)
    return rig.note_doubles()


if __name__ == '__main__':
    rig_module.main(__file__, play)
