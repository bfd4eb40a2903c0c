"""Test starts and reports that are under way while a worker restarts."""

from basilspindle.cell import start_outcome
from tests import lives_case
from tests.standins import worker_lives

_JOB = '00000000000000aa'
_OTHER_JOB = '00000000000000bb'
_BEHIND_MS = 2_000_000


class PausedLeaderTest(lives_case.LivesCase):
    """Guard starts that are sent after a pause of the leader's process."""

    def play_pause(self, pause_ms):
        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            play.submit(_JOB)
            recorder = play.leader._recorder
            recorder.apply(recorder.collect())
            # The process stands still between the record and the send.
            play.leader._plan()
            recorder.apply(recorder.collect())
            worker.crash()
            self.clock._now_ms += pause_ms
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: (
                worker_lives.LOST
                if call == 'renew'
                else worker_lives.ANSWER_LOST
            )
            self.add_spare(play)
            await self.clock.advance_ms(50)
            self.assertTrue(worker.life.runs)
            worker.is_cut = True
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()

    def test_a_first_attempt_is_under_way_when_the_lease_is_over(self):
        """Guard against a task that is released while its start is sent.

        The lease is over by the time that the process goes on, and the first
        attempt at the start has neither an answer nor failed yet.
        """
        self.play_pause(5_300)

    def test_a_shorter_pause(self):
        """Control: the lease is not over yet."""
        self.play_pause(4_000)


class StoppedStartTest(lives_case.LivesCase):
    """Guard members of a gang that are stopped while they are started."""

    def play_refusal(self, has_news):
        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            self.add_spare(play)
            await self.clock.advance_ms(500)
            [_, other] = self.workers
            fates, refusals = [2_500], [1]
            start = other.start

            def refuse(life, name, run, deadline_ms):
                if refusals:
                    refusals.pop()
                    return start_outcome.StartOutcome.NO_ROOM
                return start(life, name, run, deadline_ms)

            other.start = refuse
            if has_news:
                # Ends while the start of the gang is under way.
                self.run_ms = 400
                play.submit(_OTHER_JOB, cpu=3_000)
                await self.clock.advance_ms(360)
                self.assertTrue(worker.life.runs)
            self.run_ms = 12_000
            worker.fate = lambda call: (
                fates.pop() if call == 'start' and fates else worker_lives.OK
            )
            play.submit(_JOB, 2, cpu=5_000, gang=True)
            await self.clock.advance_ms(50)
            self.assertFalse(fates)
            play.leader.state.workers['w1'].ready = False
            self.add_spare(play)
            await self.clock.advance_ms(200)
            worker.crash()
            await self.clock.advance_ms(600)
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: worker_lives.LOST
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()

    def test_a_first_attempt_is_under_way_when_its_run_is_stopped(self):
        """Guard against a report that frees a task whose start is under way.

        A refused member stops the gang. The worker of another one accepts the
        stop and reports that it has no such run, before the start times out,
        and its next life carries out the start.
        """
        self.play_refusal(True)

    def test_no_report_before_the_start_times_out(self):
        """Control: the task is held for the attempt."""
        self.play_refusal(False)


class UnreadClockTest(lives_case.LivesCase):
    """Guard starts whose answer does not tell the clock."""

    def test_an_answer_without_a_clock_may_be_of_a_later_life(self):
        """Guard against a lease reckoned on a life that has ended.

        The body of the answer cannot be decoded, its status can.
        """

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            worker.crash()
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: (
                worker_lives.LOST if call == 'renew' else worker_lives.OK
            )
            worker.clock_now_ms = lambda life: None
            await self.clock.advance_ms(600)
            play.submit(_JOB)
            await self.clock.advance_ms(400)
            self.assertTrue(worker.life.runs)
            worker.is_cut = True
            self.add_spare(play)
            await self.clock.advance_ms(20_000)

        self.play(steps)
        self.check_runs()


class DelayedReportTest(lives_case.LivesCase):
    """Guard ends of a later life from reports that are late themselves."""

    run_ms = 400

    def play_delay(self, delay_ms):
        async def steps(play):
            [worker] = self.workers
            orders = play.leader._worker_orders
            renew = orders.renew
            delays = [delay_ms]
            answered, sent_ms = [], []

            async def renew_late(*args):
                begun_ms, timeout_ms = self.clock.now_ms(), args[-1]
                sent_ms.append(begun_ms)
                report = await renew(*args)
                if report.ends and delays:
                    answered.append(self.clock.now_ms())
                    await self.clock.sleep_ms(delays.pop())
                    spent_ms = self.clock.now_ms() - begun_ms
                    self.assertLess(spent_ms, timeout_ms)
                return report

            orders.renew = renew_late
            renewals = len(sent_ms)
            while len(sent_ms) == renewals:
                await self.clock.advance_ms(1)
            # The ends come soon after the begin of the next renewal.
            await self.clock.advance_ms(750)
            play.submit(_JOB, 4)
            while not answered:
                await self.clock.advance_ms(1)
            worker.crash()
            await self.clock.advance_ms(600)
            worker.begin_life(_BEHIND_MS)
            play.submit(_OTHER_JOB)
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()

    def test_a_report_of_the_earlier_life_may_come_after_a_start(self):
        """Guard against the end of a run that is forgotten unread.

        The renewal has listed ends of the earlier life, and its answer is on
        its way while the next life takes a start and ends the run. The answer
        to that start has told another clock.
        """
        self.play_delay(1_150)

    def test_a_report_that_comes_at_once(self):
        """Control: the report is not late."""
        self.play_delay(1)


class ForgottenWorkerTest(lives_case.LivesCase):
    """Guard workers that a leader has lost and taken out of the log."""

    def play_loss(self, is_named):
        async def steps(play):
            calls = []
            [worker] = self.workers
            worker.fate = lambda call: calls.append(call) or worker_lives.OK
            count = len(calls)
            while len(calls) == count:
                await self.clock.advance_ms(1)
            await self.clock.advance_ms(20)
            worker.crash()
            fates = [2_000]
            worker.fate = lambda call: (
                fates.pop() if fates else worker_lives.LOST
            )
            await self.clock.advance_ms(600)
            worker.begin_life(_BEHIND_MS)
            recorder = play.leader._recorder
            while recorder._confirmed_addresses:
                await self.clock.advance_ms(20)
                if is_named and self.clock.now_ms() > self.until_ms:
                    break
            play.end()
            worker.fate = lambda call: worker_lives.OK
            async with self.successor(play) as successor:
                await self.clock.advance_ms(300)
                successor.submit(_JOB)
                await self.clock.advance_ms(200)
                self.assertTrue(worker.life.runs)
                worker.is_cut = True
                self.add_spare(successor)
                await self.clock.advance_ms(20_000)

        self.play(steps)
        self.check_runs()

    def test_a_lost_worker_may_hold_the_longest_lease(self):
        """Guard against a lease that a successor does not reckon with.

        A renewal without an answer has given it to a later life before the
        worker counted as lost. The successor finds it in the registry only.
        """
        self.play_loss(False)

    def test_a_worker_that_the_log_names(self):
        """Control: the leader ends just before it loses the worker."""
        self.until_ms = 1_005_300
        self.play_loss(True)


class SuccessorTest(lives_case.LivesCase):
    """Guard what a leader does not know of its predecessor's attempts."""

    run_ms = 400

    def test_an_attempt_of_the_predecessor_may_arrive_after_the_end(self):
        """Guard against an end that a successor acknowledges too early."""

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
            play.end()
            async with self.successor(play):
                await self.clock.advance_ms(300)
                self.assertEqual([], worker.life.ended)
                worker.crash()
                await self.clock.advance_ms(200)
                worker.begin_life(_BEHIND_MS)
                worker.fate = lambda call: worker_lives.LOST
                await self.clock.advance_ms(10_000)

        self.play(steps)
        self.check_runs()


class LateAttemptTest(lives_case.LivesCase):
    """Guard withheld repeats and moves while an attempt may arrive."""

    def test_a_repeat_is_withheld(self):
        """Guard against a second run after a repeat that is withheld."""

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            sent = []
            play.leader.withholds_start = lambda order: (
                bool(sent) and order.worker_id == 'w1'
            )

            def fate(call):
                if call == 'start':
                    sent.append(call)
                    return 3_500
                return worker_lives.OK

            worker.fate = fate
            play.submit(_JOB)
            await self.clock.advance_ms(600)
            self.assertEqual(1, len(sent))
            self.add_spare(play)
            await self.clock.advance_ms(1_500)
            worker.crash()
            await self.clock.advance_ms(600)
            worker.begin_life(_BEHIND_MS)
            await self.clock.advance_ms(25_000)
            self.assertEqual(2, worker.lives)

        self.play(steps)
        self.check_runs()

    def test_a_running_task_is_moved(self):
        """Guard against a move while an earlier attempt may arrive."""

        async def steps(play):
            await self.clock.advance_ms(2_000)
            [worker] = self.workers
            fates = [3_500]
            worker.fate = lambda call: (
                fates.pop() if call == 'start' and fates else worker_lives.OK
            )
            play.submit(_JOB)
            await self.clock.advance_ms(1_400)
            self.assertEqual(1, len(worker.life.runs))
            self.add_spare(play)
            task = play.task(_JOB)
            self.assertEqual('RUNNING', task.state.name)
            play.leader.state.workers['w1'].ready = False
            play.leader.state.request_stop(task)
            await self.clock.advance_ms(300)
            self.assertIn('stopped', [row[1] for row in worker.history])
            worker.crash()
            await self.clock.advance_ms(600)
            worker.begin_life(_BEHIND_MS)
            worker.fate = lambda call: worker_lives.LOST
            await self.clock.advance_ms(25_000)

        self.play(steps)
        self.check_runs()
        self.assertEqual(
            2, [row[1] for row in self.workers[0].history].count('start')
        )
