"""Test that no task starts in a failure domain that is being evacuated."""

import asyncio
import unittest
from unittest import mock

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import confirmation as confirmation_module
from basilspindle.cell.decisions import expected_start
from basilspindle.cell.decisions import plan as plan_module
from basilspindle.cell import evacuation as evacuation_module
from basilspindle.cell import first_calls
from basilspindle.cell import housekeeping
from basilspindle.cell import journal as journal_module
from basilspindle.cell import leader as leader_module
from basilspindle.cell import ports
from basilspindle.cell import session as session_module
from basilspindle.cell import start_outcome
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.platform import boot_settings
from basilspindle.platform import client as client_module
from basilspindle.platform import evacuation as evacuation_source
from basilspindle.platform import store as store_module
from basilspindle import workflow
from basilspindle.workflow import advice_terms
from basilspindle.workflow import task_state
from tests import cell_case
from tests import platform_case
from tests.standins import platform

_JOB = '00000000000000aa'
_OTHER_JOB = '00000000000000bb'
_TICKET_MS = 60_000
_STEP_MS = 100
_Outcome = start_outcome.StartOutcome


class SettingsTest(unittest.TestCase):
    """Test which deployments have evacuations."""

    def parse(self, line):
        text = platform_case.SETTINGS_TEMPLATE.format(
            node='n1',
            link=1,
            metrics=2,
            front=3,
            ready=4,
            store='127.0.0.1:5',
            advice='127.0.0.1:6',
        )
        text = text.replace('[platform]', f'{line}\n[platform]')
        return boot_settings.parse(text).bounds.evacuate_ms

    def test_only_a_setting_makes_evacuations_take_effect(self):
        """Guard against calls to the store where no record is written."""
        self.assertEqual(0, self.parse(''))
        self.assertEqual(5_000, self.parse('evacuate_ms = 5000'))
        self.assertEqual(0, bounds_module.Bounds().evacuate_ms)


class ClosedDomainCase(cell_case.CellCase):
    """A cell of two failure domains, one of which may be closed."""

    def add_workers(self, cpu=4_000):
        for number in range(2):
            for domain in ('a', 'b'):
                worker = self.add_worker(f'{domain}{number}', cpu)
                worker.failure_domain = domain

    def close(self, *domains):
        self.state.set_closed_domains(frozenset(domains))

    def domains(self, orders):
        """Return the failure domains in which tasks were ordered to start."""
        return {
            self.state.workers[order.worker_id].failure_domain
            for order in orders.starts
        }

    def submit_tasks(self, count, job_id=_JOB, **changes):
        return self.submit(
            cell_case.make_definition(
                job_id, cell_case.make_step(count, **changes)
            )
        )


class PlacementTest(ClosedDomainCase):
    """Guard workers of a closed domain against each kind of placement."""

    def test_no_kind_of_step_is_placed_in_a_closed_domain(self):
        """Guard against starts in a domain that is being evacuated.

        In one run 2,012 tasks were started there.
        """
        for changes in (
            {},
            {'gang': True},
            {'service': True},
            {'fills': True},
            {'speculative': True},
            {'checkpoints': True},
            {'max_per_worker': 2},
        ):
            with self.subTest(**changes):
                self.make_state()
                self.add_workers()
                self.close('a')
                self.submit_tasks(4, **changes)
                orders = self.plan()
                self.assertEqual(4, len(orders.starts))
                self.assertEqual({'b'}, self.domains(orders))

    def test_a_step_larger_than_the_open_domains_waits(self):
        """Guard against a spill into the closed domain when others are full.

        A gang that fits only with the closed domain starts nowhere.
        """
        self.add_workers()
        self.close('a')
        self.submit_tasks(12)
        self.assertEqual(8, len(self.start_all(self.plan())))
        self.make_state()
        self.add_workers()
        self.close('a')
        self.submit_tasks(12, gang=True)
        self.assertEqual([], self.plan().starts)

    def test_an_occurrence_starts_in_an_open_domain(self):
        """Guard against repeated jobs that start by a timer."""
        self.add_workers()
        definition = cell_case.make_definition(
            _JOB, cell_case.make_step(4), max_runs=2, interval_ms=1_000
        )
        self.submit(definition)
        self.close('a')
        housekeeping.open_due_occurrences(self.state, self.now_ms, 1 << 50)
        self.record()
        self.assertEqual({'b'}, self.domains(self.plan()))

    def test_running_tasks_continue(self):
        """Guard against an evacuation that ends work which runs there."""
        self.add_workers()
        self.submit_tasks(16)
        started = self.start_all(self.plan())
        self.assertEqual(16, len(started))
        self.close('a')
        self.now_ms += _STEP_MS
        orders = self.plan()
        self.assertEqual([], orders.stops)
        self.assertEqual(
            16, sum(len(w.tasks) for w in self.state.workers.values())
        )

    def test_tasks_that_end_there_are_followed_by_none(self):
        """Guard against new work on capacity that is freed by an end."""
        self.add_workers()
        self.submit_tasks(20)
        started = self.start_all(self.plan())
        self.close('a')
        for order in started:
            if order.worker_id.startswith('a'):
                self.report_end(order.worker_id, order.task.name, order.run)
        self.now_ms += _STEP_MS
        self.assertEqual([], self.plan().starts)

    def test_a_worker_that_moves_to_a_closed_domain_is_closed(self):
        """Guard against a domain that is remembered from an earlier entry."""
        self.add_workers()
        worker = self.state.workers['b0']
        self.close('a')
        self.assertTrue(self.state.accepts(worker, self.now_ms))
        worker.failure_domain = 'a'
        self.assertFalse(self.state.accepts(worker, self.now_ms))


class ReopenedDomainTest(ClosedDomainCase):
    """Test that waiting work goes to a domain that is open again."""

    def test_waiting_steps_are_examined_at_once(self):
        """Guard against steps that wait for their next periodic check."""
        self.add_workers()
        self.close('a')
        self.submit_tasks(12)
        self.start_all(self.plan())
        self.now_ms += 1
        self.assertEqual([], self.plan().starts)
        self.close()
        self.now_ms += 1
        orders = self.plan()
        self.assertEqual(4, len(orders.starts))
        self.assertEqual({'a'}, self.domains(orders))

    def test_a_domain_that_is_closed_again_gets_nothing(self):
        """Guard against a record that is removed and written again."""
        self.add_workers()
        self.close('a')
        self.submit_tasks(12)
        self.start_all(self.plan())
        self.close()
        self.close('a')
        self.now_ms += 1
        self.assertEqual([], self.plan().starts)


class ReservationTest(ClosedDomainCase):
    """Guard capacity that is kept for waiting steps."""

    def test_a_reservation_there_is_released(self):
        """Guard against room that is kept where nothing may start.

        The step would keep its part of the open domains as well, up to 4 s.
        """
        self.add_workers()
        job = self.submit_tasks(12)
        run = job.runs[0, 0]
        self.state.reserve(run, {'a0': 4, 'b0': 4}, self.now_ms + 4_000)
        run.awaits_preempted = True
        self.close('a')
        self.assertEqual({}, run.reserved_tasks)
        self.assertFalse(run.awaits_preempted)
        self.assertEqual(0, self.state.workers['b0'].reserved.cpu_millicores)
        self.assertIn('b0', self.state.freed_workers)

    def test_a_reservation_elsewhere_is_kept(self):
        """Guard against gangs that lose their room to an evacuation."""
        self.add_workers()
        run = self.submit_tasks(4).runs[0, 0]
        self.state.reserve(run, {'b0': 4}, self.now_ms + 4_000)
        self.close('a')
        self.assertEqual({'b0': 4}, run.reserved_tasks)


class AdviceTest(ClosedDomainCase):
    """Guard calls for advice against workers of a closed domain."""

    def make_advised_state(self):
        terms = advice_terms.AdviceTerms(10.0, 1.0, _TICKET_MS)
        queue = cell_case.make_queue(advice=terms)
        self.make_state(configuration=cell_case.make_configuration([queue]))
        self.add_workers()

    def named_workers(self, orders):
        return {
            worker_id
            for request in orders.advice
            for worker_id in request.worker_ids
        }

    def test_workers_there_are_not_named(self):
        """Guard against tickets for workers that may not be used."""
        self.make_advised_state()
        self.close('a')
        self.submit_tasks(4)
        self.assertEqual({'b0', 'b1'}, self.named_workers(self.plan()))

    def test_a_ticket_from_before_is_not_used(self):
        """Guard against starts by tickets that came as the domain closed."""
        self.make_advised_state()
        run = self.submit_tasks(4).runs[0, 0]
        named = sorted(self.named_workers(self.plan()))
        self.assertEqual(4, len(named))
        self.close('a')
        plan_module.apply_advice(
            run, named, {'a0': 't', 'b0': 't'}, self.now_ms + _TICKET_MS
        )
        self.assertEqual({'b'}, self.domains(self.plan()))


class PreemptionTest(ClosedDomainCase):
    """Guard tasks that run in a closed domain against a gang."""

    def crowd(self, limit=workflow.Need()):
        """Fill the cell with less urgent tasks that may give way."""
        queues = [
            cell_case.make_queue('queue', priority=1),
            cell_case.make_queue('small', priority=2),
        ]
        self.make_state(
            configuration=cell_case.make_configuration(queues, limit)
        )
        self.add_workers()
        self.submit(
            cell_case.make_definition(
                _OTHER_JOB,
                cell_case.make_step(16, estimate_ms=60_000, checkpoints=True),
                queue='small',
                priority=2,
                stretch=8.0,
            )
        )
        self.assertEqual(16, len(self.start_all(self.plan())))

    def stopped_domains(self):
        definition = cell_case.make_definition(
            _JOB, cell_case.make_step(4, gang=True), priority=1
        )
        # Its expected start is tested elsewhere; this one is accepted already.
        self.adopt(definition)
        stopped = set()
        for _ in range(30):
            self.now_ms += _STEP_MS
            for worker in self.state.workers.values():
                worker.last_contact_ms = self.now_ms
            stopped |= {
                self.state.workers[order.worker_id].failure_domain
                for order in self.plan().stops
            }
        return stopped

    def test_no_task_is_stopped_to_free_capacity_there(self):
        """Guard against stops that make room where no gang may start."""
        self.crowd()
        self.close('a')
        self.assertEqual({'b'}, self.stopped_domains())

    def test_none_is_stopped_for_the_limit_of_its_workspace(self):
        """Guard against an evacuation that moves what runs there."""
        self.crowd(workflow.Need(16_000, 1_000_000))
        self.close('a')
        self.assertEqual({'b'}, self.stopped_domains())


class ExpectedCapacityTest(ClosedDomainCase):
    """Guard admission against capacity that may not be used."""

    def test_cores_of_a_closed_domain_do_not_count(self):
        """Guard against jobs that are accepted and wait for its reopening."""
        self.add_workers()
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        expectation = expected_start.expected_start_ms(
            self.state, definition, False, self.now_ms
        )
        self.assertEqual(16_000, expectation.free_millicores)
        self.close('a')
        self.now_ms += 1_000
        for worker in self.state.workers.values():
            worker.last_contact_ms = self.now_ms
        expectation = expected_start.expected_start_ms(
            self.state, definition, False, self.now_ms
        )
        self.assertEqual(8_000, expectation.free_millicores)


class SourceTest(unittest.IsolatedAsyncioTestCase):
    """Test what is read of the records of evacuations."""

    async def asyncSetUp(self):
        self.store = platform.StandinStore()
        await self.enterAsyncContext(self.store)
        client = await self.enterAsyncContext(client_module.Client())
        self.source = evacuation_source.StoreEvacuationSource(
            store_module.LogStore(client, self.store.server.address)
        )

    def put(self, key, value=b'{}'):
        self.store.put('keyed.op', key, value)

    async def poll(self, next_offset, wait_ms=20):
        poll = await self.source.poll(next_offset, wait_ms)
        return poll.changes, poll.is_whole, poll.next_offset, poll.is_current

    async def test_all_records_and_then_the_changes(self):
        """Guard against records that are missed between two reads."""
        self.assertEqual(({}, True, 0, True), await self.poll(None))
        self.put('config')
        self.put('evacuate/a')
        self.put('evacuate/b')
        self.put('evacuate/b', b'')
        self.assertEqual(({'a': True}, True, 4, True), await self.poll(None))
        self.assertEqual(({}, False, 4, True), await self.poll(4))
        self.put('evacuate/c')
        self.put('wave/1')
        self.put('evacuate/a', b'')
        self.assertEqual(
            ({'c': True, 'a': False}, False, 7, True), await self.poll(4)
        )

    async def test_the_last_of_several_records_counts(self):
        """Guard against a record that is removed and written again."""
        for value in (b'{}', b'', b'{}'):
            self.put('evacuate/a', value)
        self.assertEqual(({'a': True}, False, 3, True), await self.poll(0))
        self.put('evacuate/a', b'')
        self.assertEqual(({'a': False}, False, 4, True), await self.poll(0))

    async def test_records_of_other_writers(self):
        """Guard against a reader that stops at what it cannot decode.

        A record closes a domain whatever its value is.
        """
        self.put('evacuate/')
        self.put('evacuate')
        self.put('evacuated/b')
        self.put('evacuate/a', b'\xff\x00 no JSON')
        self.put('\ufffd\ufffd', b'\xff')
        self.assertEqual({'a': True}, (await self.poll(None))[0])
        self.assertEqual({'a': True}, (await self.poll(0))[0])

    async def test_a_trimmed_stream(self):
        """Guard against a domain that opens as its record is trimmed."""
        self.put('evacuate/a')
        self.put('evacuate/b')
        self.put('evacuate/b', b'')
        self.store.drop_history()
        self.assertEqual(({'a': True}, True, 3, True), await self.poll(0))
        self.assertEqual(({}, False, 3, True), await self.poll(3))

    async def test_a_stream_that_was_reset(self):
        """Guard against a reader that waits beyond the end for ever."""
        self.put('evacuate/a')
        self.assertEqual(({'a': True}, True, 1, True), await self.poll(9))

    async def test_a_waiting_read_returns_with_the_record(self):
        """Guard against domains that are closed only at the next read."""
        reading = asyncio.ensure_future(self.poll(0, 5_000))
        await asyncio.sleep(0.05)
        self.put('evacuate/a')
        async with asyncio.timeout(1):
            self.assertEqual({'a': True}, (await reading)[0])


class _Clock(clock_module.Clock):
    """Clock that the test sets; what sleeps goes on at once."""

    __slots__ = ('now',)

    def __init__(self):
        self.now = 100_000

    def now_ms(self):
        return self.now

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(0)


class _Source:
    """Answers each read with the next of the given answers.

    An answer that is a number of ms passes as time first; None is no answer.
    """

    def __init__(self, clock, answers):
        self.clock = clock
        self.answers = list(answers)
        self.reads = []
        self.exhausted = asyncio.Event()

    async def poll(self, next_offset, wait_ms, on_progress=None):
        self.reads.append((next_offset, wait_ms))
        if not self.answers:
            self.exhausted.set()
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, int):
            self.clock.now += answer
            answer = self.answers.pop(0)
        if answer is None:
            await asyncio.Event().wait()
        if isinstance(answer, Exception):
            raise answer
        return answer


def _whole(*closed, end=1):
    changes = dict.fromkeys(closed, True)
    return ports.EvacuationPoll(changes, True, end, True)


def _later(end, is_current=True, **changes):
    return ports.EvacuationPoll(changes, False, end, is_current)


_NO_ANSWER = errors.LogUnavailable('no answer; retry', retry_after_ms=1)


class FollowCase(unittest.IsolatedAsyncioTestCase):
    """A reader of the closed domains whose store is played by the test."""

    evacuate_ms = 5_000

    def make(self, *answers):
        self.clock = _Clock()
        self.source = _Source(self.clock, answers)
        self.confirmation = confirmation_module.Confirmation(self.clock)
        self.changes = []
        self.evacuation = evacuation_module.Evacuation(
            self.source,
            self.clock,
            self.evacuate_ms,
            self.confirmation,
            self.changes.append,
        )

    async def follow(self, load=True):
        """Read until all answers are used."""
        if load:
            await self.evacuation.load()
        following = asyncio.ensure_future(self.evacuation.follow())
        try:
            async with asyncio.timeout(5):
                await self.source.exhausted.wait()
        finally:
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)


class FollowTest(FollowCase):
    """Test which domains are closed after a series of reads."""

    async def test_changes_add_to_what_was_known(self):
        """Guard against domains that open as another one is closed."""
        self.make(
            _whole('a', end=3),
            _later(4, b=True),
            _later(6, a=False, c=True),
            _later(6),
        )
        await self.follow()
        self.assertEqual(
            [{'a'}, {'a', 'b'}, {'b', 'c'}],
            [set(closed) for closed in self.changes],
        )
        self.assertEqual(
            [None, 3, 4, 6, 6], [read[0] for read in self.source.reads]
        )

    async def test_a_listing_replaces_what_was_known(self):
        """Guard against a domain that stays closed as the stream is trimmed.

        The record that opens it is not in the stream any more.
        """
        self.make(_whole('a', 'b'), _whole('b', end=9), _later(9))
        await self.follow()
        self.assertEqual({'b'}, self.evacuation.closed_domains)
        self.assertEqual(9, self.source.reads[-1][0])

    async def test_a_failed_read_leaves_the_domains_closed(self):
        """Guard against domains that open as the store goes away."""
        self.make(_whole('a'), _NO_ANSWER, ValueError('odd'), _later(1))
        await self.follow()
        self.assertEqual([{'a'}], [set(closed) for closed in self.changes])

    async def test_the_first_read_is_repeated_until_it_is_answered(self):
        """Guard against a leader that starts tasks without the records."""
        self.make(_NO_ANSWER, _NO_ANSWER, _whole('a'))
        await self.follow()
        self.assertEqual({'a'}, self.evacuation.closed_domains)

    async def test_a_connection_that_went_silent(self):
        """Guard against a read that is never answered.

        The later records are read on another connection.
        """
        self.make(_whole(), None, _later(2, a=True))
        begun = asyncio.get_running_loop().time()
        await self.follow()
        self.assertEqual({'a'}, self.evacuation.closed_domains)
        self.assertLess(asyncio.get_running_loop().time() - begun, 2)


class HoldTest(FollowCase):
    """Test when no task is started because the records are not known."""

    async def known(self):
        self.make(_whole('a'))
        await self.evacuation.load()
        self.assertFalse(self.evacuation.holds_starts())

    async def test_nothing_starts_before_the_first_read(self):
        """Guard against a new leader that does not know of an evacuation."""
        self.make()
        self.assertTrue(self.evacuation.holds_starts())

    async def test_starts_are_held_while_only_these_reads_fail(self):
        """Guard against starts by a daemon that is in contact with the store.

        Its appends are confirmed, so the operator may reach the store, too.
        """
        await self.known()
        self.source.answers += [_NO_ANSWER] * 3
        self.clock.now += 2_500
        self.assertFalse(self.evacuation.holds_starts())
        await self.follow(load=False)
        self.confirmation.extend(self.clock.now)
        self.clock.now += 1
        self.assertTrue(self.evacuation.holds_starts())
        self.source.answers.append(_later(1))
        self.source.exhausted.clear()
        await self.follow(load=False)
        self.assertFalse(self.evacuation.holds_starts())

    async def test_work_goes_on_while_the_store_is_away(self):
        """Guard against a cell that stops in an outage of the store."""
        await self.known()
        self.clock.now += 4_000
        self.source.answers += [_NO_ANSWER] * 2
        await self.follow(load=False)
        self.assertFalse(self.evacuation.holds_starts())
        self.assertEqual({'a'}, self.evacuation.closed_domains)
        # The store is back: the records come first.
        self.confirmation.extend(self.clock.now)
        self.assertTrue(self.evacuation.holds_starts())

    async def test_a_process_that_stood_still_reads_first(self):
        """Guard against starts by a leader that was paused.

        The read under way has failed by the clock only, and failures from
        before the pause do not tell what holds now.
        """
        await self.known()
        self.clock.now += 10_000
        self.assertTrue(self.evacuation.holds_starts())
        self.source.answers.append(_NO_ANSWER)
        await self.follow(load=False)
        self.assertTrue(self.evacuation.holds_starts())
        self.source.answers += [_NO_ANSWER] * 2
        self.source.exhausted.clear()
        await self.follow(load=False)
        self.assertFalse(self.evacuation.holds_starts())
        self.clock.now += 10_000
        self.assertTrue(self.evacuation.holds_starts())

    async def test_an_answer_counts_from_the_begin_of_its_read(self):
        """Guard against an answer that was on its way for long."""
        self.make(_whole(), 3_000, _later(1))
        await self.follow()
        self.assertEqual(3_000, self.evacuation.age_ms)
        self.assertTrue(self.evacuation.holds_starts())

    async def test_records_that_are_not_the_last_do_not_count(self):
        """Guard against a reader that is behind and takes itself for current.

        The record that closes a domain may be among those not read yet.
        """
        self.make(_whole(), 1_000, _later(2, is_current=False))
        await self.follow()
        self.assertEqual(1_000, self.evacuation.age_ms)

    async def test_an_old_state_is_confirmed_without_a_wait(self):
        """Guard against starts that are held by the wait of a read."""
        self.make(_whole(), 2_000, _later(1), _later(1))
        await self.follow()
        self.assertEqual([0, 500, 0], [r[1] for r in self.source.reads][:3])


class ShortNoticeTest(FollowCase):
    """Test a deployment that gives less time."""

    evacuate_ms = 1_000

    async def test_reads_wait_for_less_than_the_records_may_be_old(self):
        """Guard against starts that are held between any two reads."""
        self.make(_whole(), _later(1))
        await self.follow()
        self.assertEqual(100, self.source.reads[1][1])


class _Worker:
    """Answers starts as given; a domain may close while it is asked."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.on_start = lambda: None
        self.calls = 0

    async def start(self, *values):
        self.calls += 1
        self.on_start()
        answer = self.answers.pop(0) if self.answers else _Outcome.NO_ROOM
        if isinstance(answer, Exception):
            raise answer
        return start_outcome.StartAnswer(answer)


class _Owner(cell_case.ConfirmedOwner):
    def __init__(self):
        self.is_closed = False
        self.outcomes = []

    def withholds_start(self, order):
        return self.is_closed

    def handle_start_outcome(self, order, outcome):
        self.outcomes.append(outcome)


_UNKNOWN = errors.WorkerOutcomeUnknown('no answer; ask again')


class OrderTest(ClosedDomainCase):
    """Test orders to start that are under way as their domain closes."""

    def send(self, *answers, is_closed=False, closes=False, count=1, **step):
        """Send orders as the domain closes or while the first has no answer.

        Returns the outcomes and the number of calls.
        """
        self.add_workers()
        self.job = self.submit_tasks(count, **step)
        worker_calls = _Worker(*answers)
        self.owner = _Owner()
        self.owner.is_closed = is_closed
        if closes:
            worker_calls.on_start = lambda: setattr(
                self.owner, 'is_closed', True
            )
        for order in self.plan().starts:
            self.order = order
            session = session_module.Session(
                self.state.workers[order.worker_id],
                worker_calls,
                self.owner,
                _Clock(),
                1,
                10_000,
                first_calls.FirstCalls(clock_module.Clock()),
            )
            session._lease.observe(0, 0)
            asyncio.run(session._start(order))
            self.apply_outcome(order, self.owner.outcomes[-1])
        return self.owner.outcomes, worker_calls.calls

    def test_an_order_that_waits_is_not_sent(self):
        """Guard against starts that were ordered before the domain closed.

        Orders wait for the answer to an acknowledgement of ends.
        """
        outcomes, calls = self.send(_Outcome.RUNS, is_closed=True)
        self.assertEqual(([_Outcome.NOT_SENT], 0), (outcomes, calls))
        [task] = self.job.runs[0, 0].tasks
        self.assertEqual('', task.worker_id)
        self.close(self.state.workers[self.order.worker_id].failure_domain)
        self.now_ms += _STEP_MS
        [order] = self.plan().starts
        self.assertFalse(
            self.state.is_closed(self.state.workers[order.worker_id])
        )
        self.assertGreater(order.run, self.order.run)

    def test_an_unanswered_start_is_not_repeated(self):
        """Guard against a repeat that starts the task in a closed domain.

        The first order may have been carried out, or may be carried out
        later: the run is stopped, and only its end lets the task start
        elsewhere.
        """
        outcomes, calls = self.send(_UNKNOWN, _Outcome.RUNS, closes=True)
        self.assertEqual(([_Outcome.UNKNOWN], 1), (outcomes, calls))
        [task] = self.job.runs[0, 0].tasks
        self.assertIs(task_state.TaskState.STOPPING, task.state)
        self.assertEqual(self.order.worker_id, task.worker_id)
        [stop] = self.plan().stops
        self.assertEqual((task.name, self.order.run), (stop.name, stop.run))

    def test_a_start_that_is_answered_goes_on(self):
        """Guard against the stop of a task that runs when a domain closes."""
        outcomes, calls = self.send(_Outcome.RUNS, closes=True)
        self.assertEqual(([_Outcome.RUNS], 1), (outcomes, calls))
        [task] = self.job.runs[0, 0].tasks
        self.assertIs(task_state.TaskState.RUNNING, task.state)

    def test_a_gang_of_which_a_part_was_sent_is_stopped(self):
        """Guard against members that wait for others which never start."""
        outcomes, calls = self.send(
            _Outcome.RUNS, closes=True, count=2, gang=True
        )
        self.assertEqual(
            ([_Outcome.RUNS, _Outcome.NOT_SENT], 1), (outcomes, calls)
        )
        self.assertEqual(1, len(self.state.take_orders().stops))


class LeaderTest(unittest.IsolatedAsyncioTestCase):
    """Test what a leader makes of the closed domains."""

    def make(self, *answers, evacuate_ms=5_000):
        self.clock = _Clock()
        self.source = _Source(self.clock, answers)
        self.leader = leader_module.Leader(
            claim_module.Claim('n', 'n:1', 'i', 0, epoch=1),
            None,
            None,
            None,
            None,
            self.clock,
            bounds_module.Bounds(evacuate_ms=evacuate_ms),
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration()
            ),
            None,
            evacuations=self.source,
        )
        return self.leader

    async def enter(self):
        """Let the leader begin with an empty log and no workers."""
        leader = self.leader
        for name, value in (
            ('_journal.load', journal_module.RecoveredState()),
            ('_journal.run', None),
            ('_worker_tracker.follow', None),
        ):
            owner = getattr(leader, name.partition('.')[0])
            patch = mock.patch.object(
                type(owner),
                name.partition('.')[2],
                mock.AsyncMock(return_value=value),
            )
            patch.start()
            self.addCleanup(patch.stop)
        return await self.enterAsyncContext(leader)

    async def test_the_records_are_known_before_it_is_ready(self):
        """Guard against a leader that starts tasks before it knows them."""
        leader = self.make(None, None)
        entering = asyncio.ensure_future(self.enter())
        await asyncio.sleep(0.05)
        self.assertFalse(leader.ready)
        entering.cancel()
        await asyncio.gather(entering, return_exceptions=True)
        leader = self.make(_NO_ANSWER, _whole('a'))
        await self.enter()
        self.assertTrue(leader.ready)
        self.assertEqual({'a'}, leader.state.closed_domains)

    async def test_later_records_take_effect_at_once(self):
        """Guard against a leader that knows only the records it began with."""
        leader = self.make(_whole('a'))
        await self.enter()
        with mock.patch.object(leader, '_schedule_plan') as schedule:
            leader._evacuation._apply(_later(2, a=False, b=True), 0)
        schedule.assert_called_once()
        self.assertEqual({'b'}, leader.state.closed_domains)

    async def test_no_call_without_evacuations(self):
        """Guard against more calls to the store where none are needed."""
        leader = self.make(_whole('a'), evacuate_ms=0)
        await self.enter()
        await asyncio.sleep(0.05)
        self.assertEqual([], self.source.reads)
        self.assertEqual(frozenset(), leader.state.closed_domains)
        self.clock.now += 60_000
        self.assertFalse(leader.withholds_start(mock.Mock(worker_id='w')))
        with mock.patch.object(plan_module.Planner, 'plan') as plan:
            leader._plan()
        plan.assert_called_once()

    def withheld(self, domain):
        worker = worker_module.Worker(
            'w', 'w:1', '', '', domain, frozenset(), state_module.NO_NEED
        )
        self.leader.state.workers['w'] = worker
        order = mock.Mock(worker_id='w', run=1)
        order.task.name = 't'
        return self.leader.withholds_start(order)

    async def test_orders_of_a_closed_domain_are_withheld(self):
        """Guard against orders that were on their way to a session."""
        self.make(_whole('a'))
        await self.enter()
        self.assertTrue(self.withheld('a'))
        self.assertFalse(self.withheld('b'))

    async def test_nothing_is_placed_or_sent_while_starts_are_held(self):
        """Guard against starts by what was known too long ago."""
        leader = self.make(_whole('a'))
        await self.enter()
        self.clock.now += 2_501
        self.assertTrue(self.withheld('b'))
        with mock.patch.object(plan_module.Planner, 'plan') as plan:
            leader._plan()
            plan.assert_not_called()
            leader._evacuation._apply(_later(1), self.clock.now)
            leader._plan()
            plan.assert_called_once()
        self.assertFalse(self.withheld('b'))
