"""The store turns the leader away while recurring jobs are due again."""

import asyncio
import time

from review import rig as rig_module

# As on the site: each job runs its steps 6 times, every 2 s.
_INTERVAL_MS = 2_000
_OCCURRENCES = 6
_JOBS = 6
_TURNED_AWAY_S = 7.0


async def play(rig: rig_module.Rig, trouble: bool) -> bool:
    """Play the case; tell whether TWICE was broken."""
    await rig.start(daemons=3, workers=4)
    record = rig.record
    begun_ms = int(time.time() * 1000) + 1_000
    for number in range(_JOBS):
        # Short tasks and longer ones, due at different times.
        task_ms = 1_800 if number % 2 else 150
        body = {
            'spec': str(task_ms),
            'steps': [{'count': 2, 'cpu': 500, 'estimate_ms': task_ms}],
            'max_runs': _OCCURRENCES,
            'first_run_ms': begun_ms + number * _INTERVAL_MS // _JOBS,
            'interval_ms': _INTERVAL_MS,
        }
        daemon = rig.followers[0]
        status, _ = await rig.request(daemon, 'POST', f'{number:016x}', body)
        if status != 200:
            raise rig_module.CannotRun('a job was not accepted')
    await asyncio.sleep(4)
    if trouble:
        leader = rig.leader
        record.note(f'store: turns {leader.name} away with 503')
        rig.store.turned_away.add(leader.name)
        await asyncio.sleep(_TURNED_AWAY_S)
        rig.store.turned_away.clear()
        record.note(f'store: serves {leader.name} again')
    await asyncio.sleep(_OCCURRENCES * _INTERVAL_MS / 1000 + 5)
    for number in range(_JOBS):
        await rig.request(rig.followers[0], 'GET', f'{number:016x}')
    return rig.note_doubles()


if __name__ == '__main__':
    rig_module.main(__file__, play)
