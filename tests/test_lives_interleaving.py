"""Play workers that start again at any moment, on virtual time.

``BASILSPINDLE_LIVES_FIRST_SEED`` and ``BASILSPINDLE_LIVES_SEEDS`` choose the
seeds.
"""

import asyncio
import contextlib
import os
import random

from basilspindle import errors
from tests import lives_case
from tests.standins import worker_lives

_FIRST_SEED = int(os.environ.get('BASILSPINDLE_LIVES_FIRST_SEED', '0'))
_SEEDS = int(os.environ.get('BASILSPINDLE_LIVES_SEEDS', '12'))
_WORKERS = 3
_JOBS = 12
_FAULTS_MS = 20_000
# The longest wait of a task, and its run, after the last fault.
_QUIET_MS = 45_000
_LATE_MS = (200, 3_900)
_DOWN_MS = (50, 1_500)
_CUT_AFTER_MS = (0, 3_000)
_CUT_MS = (500, 12_000)
_CLOCK_MS = 8_000_000


class _Faults:
    """Draws what happens to one worker."""

    def __init__(
        self,
        case: lives_case.LivesCase,
        worker: worker_lives.LivingWorker,
        seed: int,
    ) -> None:
        self._case = case
        self._worker = worker
        self._random = random.Random(f'{seed}/{worker.worker_id}')
        self._fate_random = random.Random(f'{seed}/{worker.worker_id}/fates')

    async def play(self, end_ms: int) -> None:
        """Break the worker again and again, and then leave it sound."""
        clock, worker, draw = self._case.clock, self._worker, self._random
        while clock.now_ms() < end_ms:
            await clock.sleep_ms(draw.randint(300, 5_000))
            kind = draw.choice(('restart', 'cut', 'fates', 'fates'))
            if kind == 'restart':
                await self._restart()
            elif kind == 'cut':
                worker.is_cut = True
                await clock.sleep_ms(draw.randint(*_CUT_MS))
                worker.is_cut = False
            else:
                self._draw_fates()
                if draw.random() < 0.5:
                    await clock.sleep_ms(draw.randint(100, 2_500))
                    await self._restart()
                await clock.sleep_ms(draw.randint(100, 3_000))
                worker.fate = lambda call: worker_lives.OK
        worker.is_cut = False
        worker.fate = lambda call: worker_lives.OK

    async def _restart(self) -> None:
        clock, worker, draw = self._case.clock, self._worker, self._random
        life = worker.life
        earlier_ms = worker.clock_now_ms(life) if life is not None else 0
        worker.crash()
        if draw.random() < 0.3:
            worker.is_cut = draw.random() < 0.3
        await clock.sleep_ms(draw.randint(*_DOWN_MS))
        worker.begin_life(
            draw.choice(
                (
                    0,
                    draw.randint(0, _CLOCK_MS),
                    draw.randint(0, earlier_ms),
                    max(0, earlier_ms + draw.randint(-9_000, 9_000)),
                )
            )
        )
        if draw.random() < 0.3:
            await clock.sleep_ms(draw.randint(*_DOWN_MS))
            worker.crash()
            await clock.sleep_ms(draw.randint(*_DOWN_MS))
            worker.begin_life(draw.randint(0, _CLOCK_MS))
        if draw.random() < 0.7:
            await clock.sleep_ms(draw.randint(*_CUT_AFTER_MS))
            worker.is_cut = True
            await clock.sleep_ms(draw.randint(*_CUT_MS))
        worker.is_cut = False

    def _draw_fates(self) -> None:
        share = self._random.choice((0.2, 0.5, 0.9))
        calls = self._random.choice((('start',), ('renew',), (), ()))
        fates = self._random.choice(
            ((worker_lives.LOST,), (worker_lives.ANSWER_LOST,), (), ())
        )
        draw = self._fate_random

        def fate(call: str) -> worker_lives.Fate:
            if calls and call not in calls:
                return worker_lives.OK
            if draw.random() >= share:
                return worker_lives.OK
            return draw.choice(
                fates
                or (
                    worker_lives.LOST,
                    worker_lives.ANSWER_LOST,
                    draw.randint(*_LATE_MS),
                    draw.randint(*_LATE_MS),
                )
            )

        self._worker.fate = fate


class LivesInterleavingTest(lives_case.LivesCase):
    """Guard tasks of workers whose lives follow each other (issue 43)."""

    def setUp(self) -> None:
        super().setUp()
        self.workers += [
            self.add_worker(f'w{number}') for number in range(2, _WORKERS + 1)
        ]

    def play_seed(self, seed: int) -> list[str]:
        """Return what ran twice, and which tasks have not ended."""
        self.setUp()
        self.entries_tell_lives = bool(seed % 2)
        draw = random.Random(seed)
        durations_ms = [
            draw.choice((400, 1_000, 3_000, 12_000)) for _ in range(_JOBS)
        ]
        for worker in self.workers:
            worker.run_ms = lambda name: durations_ms[int(name[:16], 16)]
        unfinished: list[str] = []

        async def steps(play):
            end_ms = self.clock.now_ms() + _FAULTS_MS
            faults = [
                asyncio.ensure_future(_Faults(self, worker, seed).play(end_ms))
                for worker in self.workers
            ]
            for job in range(_JOBS):
                await self.clock.advance_ms(
                    draw.randint(0, 2 * _FAULTS_MS // _JOBS)
                )
                count, is_gang = draw.randint(1, 6), draw.random() < 0.2
                # A job that is refused is not owed.
                with contextlib.suppress(errors.Overloaded):
                    play.submit(
                        f'{job:016x}',
                        count,
                        estimate_ms=durations_ms[job],
                        gang=is_gang,
                    )
            while not all(fault.done() for fault in faults):
                await self.clock.advance_ms(500)
            for fault in faults:
                fault.result()
            await self.clock.advance_ms(_QUIET_MS)
            unfinished.extend(play.leader.state.table.tasks)

        self.play(steps)
        return [
            *worker_lives.runs_twice(self.workers),
            *(f'{name} has not ended' for name in unfinished),
        ]

    def test_no_task_runs_twice_or_is_lost(self):
        """Guard against runs on lives that the leader does not know of."""
        for seed in range(_FIRST_SEED, _FIRST_SEED + _SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual([], self.play_seed(seed))
