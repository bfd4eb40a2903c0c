"""Test what starts, and when, after the loss of a leader and of workers.

``BASILSPINDLE_LOSSES_FIRST_SEED`` and ``BASILSPINDLE_LOSSES_SEEDS`` choose the
seeds.
"""

import os
import random

from basilspindle.cell import confirmation
from basilspindle.cell import journal as journal_module
from tests import cell_case
from tests.standins import worker_lives
from tests import succession_case

_FIRST_SEED = int(os.environ.get('BASILSPINDLE_LOSSES_FIRST_SEED', '0'))
_SEEDS = int(os.environ.get('BASILSPINDLE_LOSSES_SEEDS', '6'))
_JOB = '00000000000000aa'
_OTHER_JOB = '00000000000000bb'
_WORKERS = 6
# Room for several tasks.
_IDLE_MILLICORES = 4_000
_RUN_MS = 3_000
# From the first report of the sound workers to the start of tasks that no
# silent worker can run, with several passes.
_PROMPT_MS = 2_000
# From a lost leader to the next one, as long as an election takes.
_ELECTION_MS = (400, 2_000)
# The longest wait of a task, and its run, after the last loss.
_QUIET_MS = 35_000


class LossCase(succession_case.SuccessionCase):
    """A leader whose machine is removed, and workers that do not answer."""

    run_ms = _RUN_MS

    def setUp(self) -> None:
        super().setUp()
        for number in range(2, _WORKERS + 1):
            self.workers.append(self.add_worker(f'w{number}'))

    def lose(self, worker: worker_lives.LivingWorker) -> None:
        """Remove a worker for good."""
        worker.crash()
        worker.is_cut = True

    async def lead_for_a_while(self) -> None:
        """Let the first daemon start the tasks of a job, and end."""
        first = self.lead(0)
        await self.clock.advance_ms(500)
        self.submit(first, _JOB, 4)
        await self.clock.advance_ms(300)
        first.end()

    def tasks_on(self, worker: worker_lives.LivingWorker) -> set[str]:
        """Return the tasks that run on a worker."""
        return set(worker.life.runs) if worker.life else set()


class LostLeaderTest(LossCase):
    """Guard work that no silent worker can run (review/7, issue 55)."""

    async def begin(self, count=24):
        first = self.lead(0)
        await self.clock.advance_ms(500)
        self.submit(first, _JOB, count)
        await self.clock.advance_ms(300)
        return first

    def play_losses(self, is_leader_first, gap_ms=1_500):
        """Return how long the tasks on the lost worker have waited."""
        waits = []

        async def steps():
            first = await self.begin()
            # More tasks than there is room for: most have never started.
            self.submit(first, _OTHER_JOB, 140, estimate_ms=50)
            await self.clock.advance_ms(200)
            lost_worker = self.workers[0]
            lost = self.tasks_on(lost_worker)
            self.assertTrue(lost)
            losses = [first.end, lambda: self.lose(lost_worker)]
            for lose in losses if is_leader_first else reversed(losses):
                lose()
                await self.clock.advance_ms(gap_ms)
            successor = self.lead(1)
            begun_ms = self.clock.now_ms()
            waiting = len(successor.leader.state.table.ready_steps)
            self.assertTrue(waiting)
            # The first tasks of the predecessor end meanwhile.
            await self.clock.advance_ms(2 * _RUN_MS + _PROMPT_MS)
            started = self.starts(begun_ms)
            for name in successor.leader.state.table.tasks:
                if name not in self.starts():
                    self.fail(f'{name} stands still')
            self.assertTrue(started)
            while not lost <= self.starts(begun_ms):
                await self.clock.advance_ms(100)
                self.assertLess(self.clock.now_ms(), begun_ms + 30_000)
            waits.append(self.clock.now_ms() - begun_ms)
            await self.clock.advance_ms(5_000)

        self.play_steps(steps)
        self.check_runs()
        return waits[0]

    def test_workers_and_then_the_leader(self):
        """Guard against recovered work that waits for a silent worker."""
        wait_ms = self.play_losses(is_leader_first=False, gap_ms=4_000)
        # The predecessor has noted that it renews no lease of the worker.
        self.assertLess(wait_ms, 12_000)

    def test_the_leader_and_then_workers(self):
        """Guard against the same in the other order."""
        wait_ms = self.play_losses(is_leader_first=True)
        self.assertLess(wait_ms, confirmation.TIMEOUT_MS + 1_000)

    def test_two_leaders(self):
        """Guard against a wait of the second successor for everything."""

        async def steps():
            first = await self.begin()
            lost_worker = self.workers[0]
            lost = self.tasks_on(lost_worker)
            self.lose(lost_worker)
            first.end()
            await self.clock.advance_ms(1_000)
            second = self.lead(1)
            await self.clock.advance_ms(10)
            # It has appended nothing but its first batch, if any.
            second.end()
            await self.clock.advance_ms(1_000)
            third = self.lead(2)
            begun_ms = self.clock.now_ms()
            self.assertFalse(
                third.leader.state.awaited_workers.any_unaccounted(begun_ms)
            )
            self.submit(third, _OTHER_JOB, 4)
            await self.clock.advance_ms(_PROMPT_MS)
            self.assertEqual(
                {f'{_OTHER_JOB}.0.0.{index}' for index in range(4)},
                self.starts(begun_ms) - lost,
            )
            await self.clock.advance_ms(40_000)
            self.assertEqual(24 + 4, len(self.starts()))

        self.play_steps(steps)
        self.check_runs()


class SilentStoreTest(LossCase):
    """Guard starts that the log does not hold."""

    def play_outage(self, successor_number, is_follower_cut=False):
        """Return the successor, and what started in an outage of the store."""
        found = []

        async def steps():
            for worker in self.workers:
                worker.run_ms = lambda name: (
                    800 if name.split('.')[2] == '0' else _RUN_MS
                )
            first = self.lead(0)
            await self.clock.advance_ms(500)
            first.leader._intake.submit(
                cell_case.make_definition(
                    _JOB,
                    cell_case.make_step(2),
                    cell_case.make_step(4, after=(0,)),
                ),
                self.clock.now_ms(),
            )
            await self.clock.advance_ms(300)
            self.log.is_away = True
            self.daemons[2].is_cut = is_follower_cut
            away_ms = self.clock.now_ms()
            await self.clock.advance_ms(1_000)
            started = self.starts(away_ms)
            found.append(started)
            # The successor reaches none of the workers with these tasks.
            for worker in self.workers:
                worker.is_cut = bool(started & self.tasks_on(worker))
            first.end()
            self.log.is_away = False
            second = self.lead(successor_number)
            found.append(second.leader)
            await self.clock.advance_ms(25_000)
            for worker in self.workers:
                worker.is_cut = False
            await self.clock.advance_ms(5_000)

        self.play_steps(steps)
        self.check_runs()
        return found

    def test_a_follower_knows_the_starts_of_an_outage(self):
        """Guard against tasks that a successor starts once more."""
        for number in (1, 2):
            self.setUp()
            started, leader = self.play_outage(number)
            self.assertEqual(4, len(started))
            self.assertEqual({}, leader.state.table.tasks)

    def test_no_start_without_all_followers(self):
        """Guard against a start that the next leader has not heard of."""
        started, leader = self.play_outage(1, is_follower_cut=True)
        self.assertEqual(set(), started)
        self.assertEqual({}, leader.state.table.tasks)

    def test_a_daemon_that_kept_no_starts_reckons_with_anything(self):
        """Guard against an exact account by a process that is new."""

        async def steps():
            await self.lead_for_a_while()
            self.daemons.append(succession_case.Daemon(7))
            successor = self.lead(len(self.daemons) - 1)
            now_ms = self.clock.now_ms()
            awaited = successor.leader.state.awaited_workers
            self.assertTrue(awaited.any_unaccounted(now_ms))
            await self.clock.advance_ms(20_000)

        self.play_steps(steps)
        self.check_runs()

    def test_a_copy_is_refused_once_another_daemon_has_taken_it(self):
        """Guard against starts between the takeover and the next fence."""
        copies = self.daemons[1].copies
        self.assertTrue(copies.keep(4, 1, []))
        self.assertEqual((), copies.take(4, 6))
        self.assertFalse(copies.keep(4, 2, []))
        self.assertTrue(copies.keep(7, 1, []))

    def test_an_earlier_copy_replaces_no_later_one(self):
        """Guard against a copy that another connection delivers late."""
        copies = self.daemons[1].copies
        start = ('w1', 't', 1)
        self.assertTrue(copies.keep(4, 2, [start]))
        self.assertFalse(copies.keep(4, 1, []))
        self.assertEqual((start,), copies.take(4, 6))


class PromptCopyTest(LossCase):
    """Guard starts that wait for the log although all followers answer.

    Starts of berceuse-partage trouble-1 came 36 ms after the advice, and 5 ms
    after it before they were recorded.
    """

    append_ms = 400

    def play_next_step(self) -> int:
        """Return how long a step waits once the one before has ended."""
        waits_ms = []

        async def steps():
            first = self.lead(0)
            await self.clock.advance_ms(1_500)
            first.leader._intake.submit(
                cell_case.make_definition(
                    _JOB,
                    cell_case.make_step(1),
                    cell_case.make_step(1, after=(0,)),
                ),
                self.clock.now_ms(),
            )
            while len(self.starts()) < 2:
                await self.clock.advance_ms(5)
                if any('done' in row for row in self.rows()):
                    first.leader._plan()
                    waits_ms.append(5)

        for worker in self.workers:
            worker.run_ms = lambda name: 610
        self.play_steps(steps)
        return sum(waits_ms)

    def rows(self):
        """Return the history of all workers."""
        return [row for worker in self.workers for row in worker.history]

    def test_a_start_is_sent_once_all_followers_keep_it(self):
        """Guard against starts that wait for an append."""
        self.assertLess(self.play_next_step(), 100)

    def test_a_start_in_a_large_cell_waits_for_the_log(self):
        """Guard against a call to each of many followers for each start."""
        self.daemons += [succession_case.Daemon(n) for n in range(3, 12)]
        self.assertGreater(self.play_next_step(), 100)


class PlacementRecordTest(LossCase):
    """Guard what the log tells of the runs on each worker."""

    def test_records_of_a_leader_before_an_older_build_are_not_used(self):
        """Guard against starts that an older build has not recorded."""

        async def steps():
            await self.lead_for_a_while()
            recovered = journal_module._decode(dict(self.log.values))
            self.assertEqual(_WORKERS, len(recovered.placements))
            # An older build writes no such field.
            self.log.claim = type(self.log.claim)('o', 'o:1', 'o', 1, epoch=2)
            self.log.epoch = 2
            second = self.lead(1)
            awaited = second.leader.state.awaited_workers
            now_ms = self.clock.now_ms()
            self.assertTrue(awaited.any_unaccounted(now_ms))
            self.assertGreater(
                min(awaited.remaining_ms(now_ms).values()), 25_000
            )
            await self.clock.advance_ms(20_000)

        self.play_steps(steps)
        self.check_runs()

    def test_a_run_stays_recorded_until_its_end_is(self):
        """Guard against a second run of a task that is done.

        The append in between has no room for the progress of its job.
        """
        first = None

        async def steps():
            nonlocal first
            first = self.lead(0)
            await self.clock.advance_ms(500)
            self.submit(first, _JOB, 1)
            await self.clock.advance_ms(300)
            worker = self.workers[0]
            placements = first.leader._recorder.placements
            [runs] = [runs for runs in placements._runs.values() if runs]
            [task] = first.leader.state.table.tasks.values()
            tracked = first.leader.state.workers[task.worker_id]
            tracked.remove_task(task)
            batch = journal_module.Batch()
            placements.collect(batch, has_all_progress=False)
            self.assertEqual(
                {task.name: task.run},
                placements._runs[task.worker_id],
            )
            placements.collect(batch, has_all_progress=True)
            self.assertEqual({}, placements._runs[task.worker_id])
            self.assertIsNotNone(worker)

        self.play_steps(steps)


class LossInterleavingTest(LossCase):
    """Guard both sides: nothing twice, and nothing that stands still."""

    daemon_count = 6

    def play_seed(self, seed: int) -> list[str]:
        """Return what ran twice or stood still."""
        self.setUp()
        draw = random.Random(seed)
        durations_ms = [draw.choice((400, 1_000, 3_000)) for _ in range(40)]
        for worker in self.workers:
            worker.run_ms = lambda name: durations_ms[int(name[:16], 16)]
        found: list[str] = []

        async def steps():
            number = 0
            leading = self.lead(number)
            await self.clock.advance_ms(500)
            job = 0
            for _ in range(draw.randint(1, 4)):
                for _ in range(draw.randint(1, 6)):
                    if leading.leader.ready and not (
                        leading.leader.lost.is_set()
                    ):
                        self.submit(
                            leading,
                            f'{job:016x}',
                            draw.randint(1, 12),
                            estimate_ms=durations_ms[job],
                            gang=draw.random() < 0.15,
                        )
                        job += 1
                    await self.clock.advance_ms(draw.randint(10, 400))
                number = await self._break(draw, leading, number)
                leading = self.leaderships[-1]
                begun_ms = self.clock.now_ms()
                await self.clock.advance_ms(draw.randint(200, 3_000))
                found.extend(self._find_stalled(leading, begun_ms))
            for worker in self.workers:
                if worker.life is not None:
                    worker.is_cut = False
            for leadership in self.leaderships:
                leadership.orders.unreached.clear()
            await self.clock.advance_ms(_QUIET_MS)
            found.extend(
                f'{name} has not ended'
                for name in leading.leader.state.table.tasks
            )

        self.play_steps(steps)
        return [*worker_lives.runs_twice(self.workers), *found]

    async def _break(self, draw, leading, number) -> int:
        """Lose some workers and the leader; returns who leads next."""
        sound = [
            worker
            for worker in self.workers
            if worker.life is not None and not worker.is_cut
        ]
        chosen = draw.sample(sound, min(len(sound) - 3, draw.randint(1, 2)))
        kinds = [draw.choice(('gone', 'dark', 'side')) for _ in chosen]
        actions = [('leader', None)]
        actions += list(zip(kinds, chosen, strict=True))
        if draw.random() < 0.3:
            actions.insert(0, ('store', None))
        draw.shuffle(actions)
        is_cut = draw.random() < 0.4
        sides = set()
        for kind, worker in actions:
            if kind == 'gone':
                self.lose(worker)
            elif kind == 'dark':
                worker.is_cut = True
            elif kind == 'side':
                # Only the leader that is cut off reaches it.
                sides.add(worker.worker_id)
            elif kind == 'store':
                self.log.is_away = True
            elif is_cut:
                leading.daemon.is_cut = True
            else:
                leading.end()
            await self.clock.advance_ms(draw.choice((0, 0, 300, 1_500, 4_000)))
        await self.clock.advance_ms(draw.randint(*_ELECTION_MS))
        self.log.is_away = False
        number += 1
        successor = self.lead(number)
        successor.orders.unreached |= sides
        return number

    def _find_stalled(self, leading, begun_ms) -> list[str]:
        leader = leading.leader
        now_ms = self.clock.now_ms()
        if now_ms - begun_ms < _PROMPT_MS:
            return []
        awaited = leader.state.awaited_workers
        if awaited.any_unaccounted(now_ms):
            return [f'{now_ms}: all recovered work waits']
        idle = [
            worker
            for worker in leader.state.workers.values()
            if leader.state.accepts(worker, now_ms)
            and worker.available.cpu_millicores >= _IDLE_MILLICORES
        ]
        return [
            f'{now_ms}: {run.key} stands still'
            for run in leader.state.table.ready_steps.values()
            if run.waiting and len(idle) == len(leader.state.workers)
        ]

    def test_losses_in_any_order(self):
        """Guard against runs that a successor does not know of."""
        for seed in range(_FIRST_SEED, _FIRST_SEED + _SEEDS):
            with self.subTest(seed=seed):
                self.assertEqual([], self.play_seed(seed))
