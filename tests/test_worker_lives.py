"""Test what a leader does with workers that start again under their ids."""

import functools
from unittest import mock

from basilspindle import events
from tests import lives_case
from tests.standins import worker_lives

_JOB = '00000000000000aa'
_OTHER_JOB = '00000000000000bb'
# Where the clock of a later life begins: far behind that of the first one,
# just behind it, just ahead and far ahead.
_CLOCKS_MS = (0, 2_000_000, 4_999_000, 5_007_000, 9_000_000)
_BEHIND_MS = 2_000_000


class LaterLifeTest(lives_case.LivesCase):
    """Guard tasks of workers that restart and are cut off soon after."""

    def restart(self, clock_ms):
        """Return the worker, back under its id."""
        [worker] = self.workers
        worker.crash()
        worker.begin_life(clock_ms)
        return worker

    def fail_renewals(self, worker):
        """Let no renewal reach the worker any more."""
        worker.fate = lambda call: (
            worker_lives.LOST if call == 'renew' else worker_lives.OK
        )

    def test_a_reported_life_may_hold_the_longest_lease(self):
        """Guard against a run that goes on while it is started elsewhere.

        The later life shortens a deadline on the clock of the earlier one to
        its longest lease (issue 43: TWICE at kwpa-refunds).
        """
        for clock_ms in _CLOCKS_MS:
            with self.subTest(clock_ms=clock_ms):
                self.setUp()

                async def steps(play, clock_ms=clock_ms):
                    await self.clock.advance_ms(2_000)
                    [worker] = self.workers
                    worker.crash()
                    await self.clock.advance_ms(600)
                    worker.begin_life(clock_ms)
                    await self.clock.advance_ms(2_300)
                    play.submit(_JOB)
                    await self.clock.advance_ms(300)
                    self.assertTrue(worker.life.runs)
                    worker.is_cut = True
                    self.add_spare(play)
                    await self.clock.advance_ms(20_000)

                self.play(steps)
                self.check_runs()

    def test_a_life_that_never_reported_may_have_acknowledged_a_start(self):
        """Guard against a lease reckoned on a life that has ended.

        The start is answered, the renewals are not (issue 40: TWICE).
        """
        for clock_ms in _CLOCKS_MS:
            with self.subTest(clock_ms=clock_ms):
                self.setUp()

                async def steps(play, clock_ms=clock_ms):
                    await self.clock.advance_ms(2_000)
                    worker = self.restart(clock_ms)
                    self.fail_renewals(worker)
                    await self.clock.advance_ms(600)
                    play.submit(_JOB)
                    await self.clock.advance_ms(400)
                    worker.is_cut = True
                    self.add_spare(play)
                    await self.clock.advance_ms(20_000)

                self.play(steps)
                self.check_runs()

    def test_a_life_that_never_answered_may_have_taken_a_start(self):
        """Guard against a start that counts as one of an ended life."""

        async def steps(play):
            await self.clock.advance_ms(2_000)
            worker = self.restart(_BEHIND_MS)
            worker.fate = lambda call: (
                worker_lives.LOST
                if call == 'renew'
                else worker_lives.ANSWER_LOST
            )
            await self.clock.advance_ms(600)
            play.submit(_JOB)
            await self.clock.advance_ms(400)
            self.assertTrue(worker.life.runs)
            worker.is_cut = True
            self.add_spare(play)
            await self.clock.advance_ms(20_000)

        self.play(steps)
        self.check_runs()

    def test_a_start_may_be_carried_out_late_by_the_next_life(self):
        """Guard against a start that was sent to a life that has ended."""
        for late_ms in (1_000, 2_000, 3_000):
            with self.subTest(late_ms=late_ms):
                self.setUp()

                async def steps(play, late_ms=late_ms):
                    await self.clock.advance_ms(2_000)
                    [worker] = self.workers
                    worker.fate = lambda call: (
                        late_ms if call == 'start' else worker_lives.LOST
                    )
                    play.submit(_JOB)
                    await self.clock.advance_ms(300)
                    worker.crash()
                    await self.clock.advance_ms(600)
                    worker.begin_life(_BEHIND_MS)
                    worker.fate = lambda call: worker_lives.LOST
                    await self.clock.advance_ms(300)
                    self.add_spare(play)
                    await self.clock.advance_ms(25_000)

                self.play(steps)
                self.check_runs()

    def test_an_attempt_without_an_answer_may_reach_the_next_life(self):
        """Guard against a task that is released with the life that ran it.

        A later attempt was acknowledged, and the next life reports before the
        first attempt arrives. It knows no stop and no end of the earlier one.
        """

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            fates = [3_400]
            worker.fate = lambda call: (
                fates.pop() if call == 'start' and fates else worker_lives.OK
            )
            play.submit(_JOB)
            await self.clock.advance_ms(600)
            self.assertTrue(worker.life.runs)
            play.leader.state.workers['w1'].ready = False
            self.add_spare(play)
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()

    def test_a_prevented_start_may_be_carried_out_by_the_next_life(self):
        """Guard against a stop that only the life which took it remembers.

        No attempt is answered, the run is stopped before it arrives, and the
        worker starts again before the last attempt arrives.
        """

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            worker.fate = lambda call: (
                3_900 if call == 'start' else worker_lives.OK
            )
            play.submit(_JOB)
            await self.clock.advance_ms(2_500)
            play.leader.state.workers['w1'].ready = False
            self.add_spare(play)
            await self.clock.advance_ms(1_300)
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: worker_lives.LOST
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()

    def test_an_earlier_attempt_may_arrive_after_the_run_was_done(self):
        """Guard against an end that is noted while its run may come again.

        The next life carries out an attempt without an answer after the run
        has ended (seeds 155 and 217 of test_lives_interleaving).
        """
        self.run_ms = 400

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            fates = [2_500]
            worker.fate = lambda call: (
                fates.pop() if call == 'start' and fates else worker_lives.OK
            )
            play.submit(_JOB)
            await self.clock.advance_ms(1_200)
            self.assertIn('done', [row[1] for row in worker.history])
            worker.crash()
            await self.clock.advance_ms(200)
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: worker_lives.LOST
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()

    def test_an_attempt_may_be_under_way_when_its_run_is_done(self):
        """Guard against an end that is noted before the last attempt is late.

        The first attempt is carried out, the second one is under way when
        the run ends.
        """
        self.run_ms = 400

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            fates = [3_900, 3_900, 3_900, 3_900, 100]
            worker.fate = lambda call: (
                fates.pop() if call == 'start' and fates else worker_lives.OK
            )
            begun_ms = self.clock.now_ms()
            play.submit(_JOB)
            await self.clock.advance_ms(700)
            self.assertIn('done', [row[1] for row in worker.history])
            # The end could be noted from 4 s after the first attempt on.
            await self.clock.advance_ms(begun_ms + 4_250 - self.clock.now_ms())
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: worker_lives.LOST
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()
        names = [row[1] for row in self.workers[0].history]
        self.assertEqual(2, names.count('start'))

    def test_ends_are_noted_once_no_earlier_attempt_may_arrive(self):
        """Guard against ends that are listed for ever."""
        self.run_ms = 400

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            fates = [worker_lives.LOST]
            worker.fate = lambda call: (
                fates.pop() if call == 'start' and fates else worker_lives.OK
            )
            play.submit(_JOB)
            await self.clock.advance_ms(1_200)
            play.submit(_OTHER_JOB)
            await self.clock.advance_ms(2_500)
            self.assertEqual(2, len(worker.life.ended))
            await self.clock.advance_ms(2_000)
            self.assertEqual([], worker.life.ended)

        self.play(steps)

    def test_an_earlier_attempt_may_arrive_after_the_run_was_stopped(self):
        """Guard against a task that starts elsewhere after its stop.

        Only the life that stopped it knows of the stop (seed 207 of
        test_lives_interleaving).
        """

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            fates = [worker_lives.ANSWER_LOST, 3_900]

            def fate(call):
                if call == 'start' and fates:
                    return fates.pop()
                return worker_lives.OK if call == 'stop' else worker_lives.LOST

            worker.fate = fate
            # The renewal that was under way lists no run.
            await self.clock.advance_ms(1_000)
            play.submit(_JOB)
            await self.clock.advance_ms(600)
            self.assertTrue(worker.life.runs)
            play.leader.state.workers['w1'].ready = False
            self.add_spare(play)
            await self.clock.advance_ms(1_600)
            worker.fate = lambda call: worker_lives.OK
            await self.clock.advance_ms(1_000)
            self.assertIn('stopped', [row[1] for row in worker.history])
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: worker_lives.LOST
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()

    def test_a_life_gets_no_tasks_while_an_acknowledgement_may_arrive(self):
        """Guard against the end of a run that is forgotten unread.

        The leader has heard of the later life, whose renewals then get no
        answer for some time.
        """
        self.run_ms = 400

        async def steps(play):
            [worker] = self.workers
            play.submit(_JOB, 4)
            await self.clock.advance_ms(350)
            late_ms = [3_500]
            known = play.leader.state.workers['w1']

            def fate(call):
                if call != 'renew' or worker.life is None:
                    return worker_lives.OK
                if worker.life.ended and late_ms:
                    return late_ms.pop()
                if worker.lives == 2 and known.born_wall_ms == (
                    worker.life.born_wall_ms
                ):
                    return worker_lives.ANSWER_LOST
                return worker_lives.OK

            worker.fate = fate
            await self.clock.advance_ms(150)
            self.assertFalse(late_ms)
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            while known.born_wall_ms != worker.life.born_wall_ms:
                await self.clock.advance_ms(1)
            play.submit(_OTHER_JOB, 2)
            await self.clock.advance_ms(2_200)
            worker.fate = lambda call: worker_lives.OK
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()
        names = {row[2] for row in self.workers[0].history}
        self.assertIn(f'{_OTHER_JOB}.0.0.1', names)

    def test_an_acknowledgement_that_arrived_holds_no_tasks_back(self):
        """Guard against a pause after each answer that is lost."""
        self.run_ms = 400

        async def steps(play):
            [worker] = self.workers
            play.submit(_JOB, 4)
            await self.clock.advance_ms(350)
            fates = [worker_lives.ANSWER_LOST]
            worker.fate = lambda call: (
                fates.pop()
                if call == 'renew' and worker.life.ended and fates
                else worker_lives.OK
            )
            await self.clock.advance_ms(150)
            self.assertFalse(fates)
            play.submit(_OTHER_JOB)
            await self.clock.advance_ms(1_500)
            self.assertEqual('done', worker.history[-1][1])
            self.assertEqual(f'{_OTHER_JOB}.0.0.0', worker.history[-1][2])

        self.play(steps)

    def test_a_late_acknowledgement_may_reach_a_life_before_it_reports(self):
        """Guard against the end of a run that is forgotten unread."""
        self.run_ms = 400

        async def steps(play):
            [worker] = self.workers
            play.submit(_JOB, 4)
            await self.clock.advance_ms(350)
            # The renewal that acknowledges these ends is carried out late.
            fates = [1_500]
            worker.fate = lambda call: (
                fates.pop()
                if call == 'renew' and worker.life.ended and fates
                else worker_lives.OK
            )
            await self.clock.advance_ms(150)
            self.assertFalse(fates)
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            play.submit(_OTHER_JOB, 2)
            await self.clock.advance_ms(1_000)
            # The ends of the next life are not reported before that.
            worker.fate = lambda call: (
                worker_lives.ANSWER_LOST
                if call == 'renew'
                else worker_lives.OK
            )
            await self.clock.advance_ms(1_500)
            worker.fate = lambda call: worker_lives.OK
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()

    def test_a_successor_does_not_know_what_a_later_life_holds(self):
        """Guard against a longest lease that the predecessor's orders gave.

        The successor hears of the life first, after such an order.
        """

        async def steps(play):
            await self.clock.advance_ms(2_000)
            worker = self.restart(_BEHIND_MS)
            # A renewal of the predecessor reaches the later life.
            worker.fate = lambda call: worker_lives.ANSWER_LOST
            await self.clock.advance_ms(1_700)
            worker.fate = lambda call: worker_lives.OK
            play.end()
            async with self.successor(play) as successor:
                await self.clock.advance_ms(200)
                successor.submit(_JOB)
                await self.clock.advance_ms(200)
                self.assertTrue(worker.life.runs)
                worker.is_cut = True
                self.add_spare(successor)
                await self.clock.advance_ms(20_000)

        self.play(steps)
        self.check_runs()


class HeldLeaseTest(lives_case.LivesCase):
    """Guard what a leader reckons with at the first answer of a life."""

    def restart(self, clock_ms):
        """Return the worker, back under its id."""
        [worker] = self.workers
        worker.crash()
        worker.begin_life(clock_ms)
        return worker

    def test_an_order_for_the_earlier_life_may_still_arrive(self):
        """Guard against a lease that is extended after the first answer.

        The renewal of the time of the crash got no answer.
        """

        async def steps(play, clock_ms):
            calls_ms = []
            self.workers[0].fate = lambda call: (
                calls_ms.append(self.clock.now_ms()) or worker_lives.OK
            )
            await self.clock.advance_ms(2_000)
            worker = self.restart(clock_ms)
            sent_ms = calls_ms[-1]
            session = play.leader._worker_tracker.sessions['w1']
            while session.worker.born_wall_ms != worker.life.born_wall_ms:
                await self.clock.advance_ms(1)
            expiry_ms = session.lease_expiry_ms
            self.assertGreaterEqual(expiry_ms, sent_ms + 4_000 + 10_000)
            self.assertLess(expiry_ms, sent_ms + (4_000 + 10_000) / 0.98 + 10)

        for clock_ms in _CLOCKS_MS:
            self.setUp()
            self.play(functools.partial(steps, clock_ms=clock_ms))

    def test_a_settled_life_is_recorded_for_later_leaders(self):
        """Guard against waits for restarts long ago at each new leader."""

        async def steps(play):
            [worker] = self.workers
            await self.clock.advance_ms(500)
            play.end()
            async with self.successor(play) as successor:
                sessions = successor.leader._worker_tracker.sessions
                await self.clock.advance_ms(50)
                lease_ms = sessions['w1'].lease_expiry_ms
                self.assertLess(lease_ms, self.clock.now_ms() + 5_103)
                self.restart(_BEHIND_MS)
                await self.clock.advance_ms(3_000)
                successor.end()
                async with self.successor(successor) as third:
                    sessions = third.leader._worker_tracker.sessions
                    await self.clock.advance_ms(50)
                    # It may hold the longest lease.
                    lease_ms = sessions['w1'].lease_expiry_ms
                    self.assertGreater(lease_ms, self.clock.now_ms() + 10_000)
                    await self.clock.advance_ms(15_000)
                    third.end()
                    async with self.successor(third) as fourth:
                        sessions = fourth.leader._worker_tracker.sessions
                        await self.clock.advance_ms(50)
                        lease_ms = sessions['w1'].lease_expiry_ms
                        self.assertLess(lease_ms, self.clock.now_ms() + 5_103)

        self.play(steps)


class EntryTest(lives_case.LivesCase):
    """Guard workers whose registry entry is of another life."""

    entries_tell_lives = True

    def test_a_later_life_gets_no_tasks_before_its_own_entry(self):
        """Guard against a start on a worker of another kind.

        The entry of the earlier life names the capacity and the labels.
        """

        async def steps(play):
            [worker] = self.workers
            known = play.leader.state.workers['w1']
            self.assertTrue(known.accepts(self.clock.now_ms()))
            entry = self.entry(worker)
            self.entry = lambda worker: entry
            await self.clock.advance_ms(1_100)
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            while known.born_wall_ms != worker.life.born_wall_ms:
                await self.clock.advance_ms(1)
            self.assertFalse(known.accepts(self.clock.now_ms()))
            del self.entry
            await self.clock.advance_ms(1_500)
            self.assertTrue(known.accepts(self.clock.now_ms()))

        self.play(steps)

    def test_a_life_that_only_its_entry_tells_of_gets_no_tasks(self):
        """Guard against starts on a life that has not reported."""

        async def steps(play):
            [worker] = self.workers
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: (
                worker_lives.LOST if call == 'renew' else worker_lives.OK
            )
            await self.clock.advance_ms(1_600)
            play.submit(_JOB)
            await self.clock.advance_ms(1_000)
            self.assertEqual({}, worker.life.runs)

        self.play(steps)


class LogTest(lives_case.LivesCase):
    """Guard what the log tells of a run and the lives of its worker."""

    def test_the_log_tells_which_life_took_a_start(self):
        """Guard against second runs whose cause cannot be told (issue 43).

        The start is answered by a life that has not reported.
        """
        lines = []

        def emit(event, **fields):
            lines.append((event.name, fields))

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            first = worker.life.born_wall_ms
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            await self.clock.advance_ms(500)
            play.submit(_JOB)
            await self.clock.advance_ms(4_000)
            self.lives = (first, worker.life.born_wall_ms)
            worker.crash()
            self.add_spare(play)
            await self.clock.advance_ms(20_000)

        with mock.patch.object(events, 'emit', emit):
            self.play(steps)
        name = f'{_JOB}.0.0.0'
        first, second = self.lives
        sent, answered, listed = (
            next(fields for line, fields in lines if line == wanted)
            for wanted in ('task_started', 'start_answered', 'runs_reported')
        )
        [lost] = [fields for line, fields in lines if line == 'worker_lost']
        self.assertEqual((name, first), (sent['task'], sent['born_wall_ms']))
        self.assertEqual(
            (name, 'runs'), (answered['task'], answered['outcome'])
        )
        self.assertEqual(first, answered['born_wall_ms'])
        # Another clock than that of the life it was sent to.
        self.assertLess(answered['clock_ms'], 3_000_000)
        self.assertGreater(answered['expected_clock_ms'], 5_000_000)
        self.assertEqual(([name], [1]), (listed['tasks'], listed['runs']))
        self.assertEqual(second, listed['born_wall_ms'])
        self.assertLess(listed['clock_ms'], 3_000_000)
        self.assertEqual(([name], 0), (lost['released'], lost['held']))
        self.assertEqual(second, lost['born_wall_ms'])

    def test_the_log_tells_the_ends_of_a_life_that_is_new(self):
        """Guard against ends that only the reports before would explain.

        The later life numbers its ends anew, and has ended a run before its
        first report.
        """
        self.run_ms = 400
        ended = []

        def emit(event, **fields):
            if event.name == 'task_ended':
                ended.append((fields['task'], fields['born_wall_ms']))

        async def steps(play):
            [worker] = self.workers
            play.submit(_JOB, 4)
            await self.clock.advance_ms(2_000)
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: (
                worker_lives.LOST if call == 'renew' else worker_lives.OK
            )
            play.submit(_OTHER_JOB)
            await self.clock.advance_ms(1_000)
            self.assertEqual(1, len(worker.life.ended))
            self.born_wall_ms = worker.life.born_wall_ms
            worker.fate = lambda call: worker_lives.OK
            await self.clock.advance_ms(2_000)

        with mock.patch.object(events, 'emit', emit):
            self.play(steps)
        self.assertEqual(5, len(ended))
        self.assertEqual((f'{_OTHER_JOB}.0.0.0', self.born_wall_ms), ended[-1])

    def test_the_log_tells_how_long_an_end_is_held(self):
        """Guard against waits whose reason cannot be told."""
        self.run_ms = 400
        held = []

        def emit(event, **fields):
            if event.name == 'task_ended':
                held.append(fields['held_ms'])

        async def steps(play):
            [worker] = self.workers
            fates = [worker_lives.LOST]
            worker.fate = lambda call: (
                fates.pop() if call == 'start' and fates else worker_lives.OK
            )
            play.submit(_JOB)
            await self.clock.advance_ms(1_200)
            play.submit(_OTHER_JOB)
            await self.clock.advance_ms(1_200)

        with mock.patch.object(events, 'emit', emit):
            self.play(steps)
        [first, second] = held
        self.assertTrue(2_500 < first < 4_000, first)
        self.assertEqual(0, second)


class LostWorkerTest(lives_case.LivesCase):
    """Guard tasks of a worker that is lost and does not come back."""

    def restarted_ms(self, prepare):
        """Return how long after the loss a task starts again."""

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            await prepare(play, worker)
            worker.crash()
            self.lost_ms = self.clock.now_ms()
            self.add_spare(play)
            await self.clock.advance_ms(30_000)

        self.play(steps)
        self.check_runs()
        starts = [
            row[0] for row in self.workers[1].history if row[1] == 'start'
        ]
        self.assertTrue(starts)
        return starts[0] - self.lost_ms

    def test_a_listed_run_starts_again_when_its_lease_is_over(self):
        """Guard against waits for lives that cannot hold the run."""

        async def prepare(play, worker):
            play.submit(_JOB)
            await self.clock.advance_ms(1_500)

        # A lease on a slow clock, and at most one attempt and one pause.
        self.assertLess(self.restarted_ms(prepare), 5_103 + 2_100)

    def test_the_log_counts_the_tasks_that_are_held_back(self):
        """Guard against a wrong number after a restart and after a loss."""
        lines = []

        def emit(event, **fields):
            if event.name == 'worker_lost':
                lines.append((fields['tasks'], fields['held']))

        async def steps(play):
            await self.clock.advance_ms(1_000)
            [worker] = self.workers
            play.submit(_JOB, 2)
            await self.clock.advance_ms(1_500)
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            await self.clock.advance_ms(4_000)
            worker.fate = lambda call: worker_lives.LOST
            play.submit(_OTHER_JOB)
            await self.clock.advance_ms(30_000)

        with mock.patch.object(events, 'emit', emit):
            self.play(steps)
        self.assertEqual((2, 0), lines[0])
        self.assertEqual([(2, 1), (1, 0)], lines[1:3])

    def test_other_runs_do_not_wait_for_a_start_without_an_answer(self):
        """Guard against one start that holds all tasks of a lost worker."""

        async def prepare(play, worker):
            play.submit(_JOB)
            await self.clock.advance_ms(1_500)
            worker.fate = lambda call: worker_lives.LOST
            play.submit(_OTHER_JOB)
            await self.clock.advance_ms(100)

        self.assertLess(self.restarted_ms(prepare), 5_103 + 2_100)
        # The other one may run until its attempts are late, under the
        # longest lease.
        [_, other_ms] = [
            row[0] for row in self.workers[1].history if row[1] == 'start'
        ]
        self.assertGreater(other_ms, self.lost_ms + 4_000 + 10_000)
        self.assertLess(other_ms, self.lost_ms + 2_000 + 14_300 + 1_000)

    def test_an_acknowledged_run_starts_again_when_its_lease_is_over(self):
        """Guard against waits for a report after an answered start."""

        async def prepare(play, worker):
            play.submit(_JOB)
            await self.clock.advance_ms(50)
            self.assertTrue(worker.life.runs)

        self.assertLess(self.restarted_ms(prepare), 5_103 + 2_100)
