"""Test who may say that a submission never runs (docs/decisions/refusals.md).

Each test guards one way by which a refused submission could run.
"""

import asyncio
import contextlib
import random
import socket
import unittest
from unittest import mock

import msgspec

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import confirmation as confirmation_module
from basilspindle.cell import copies as copies_module
from basilspindle.cell import journal as journal_module
from basilspindle.cell import leader as leader_module
from basilspindle.cell import messages
from basilspindle.cell import ports
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.platform import frontend as frontend_module
from basilspindle.platform import listener
from basilspindle.workflow import job_state
from tests import cell_case
from tests.standins import narrow_cell
from tests import test_refused_copies

_JOB = '00000000000000aa'
_OTHER = '00000000000000bb'
_LONG_MS = 5_000
# More than servers usually allow when they limit what is open.
_OPEN_REQUESTS = 300
# Beyond what a connection is read for in one turn of the event loop.
_READ_COPIES = 400
_FIRST = 'x' * 4_000
_SECOND = 'second'
_PLAYS = 200
_STEPS = 40
# Longer than a leader takes to read a connection.
_LATE_S = 0.5
# Shorter than any append of these tests.
_SHORT_MS = 10


def make_leader(clock):
    """Return a leader without a store that is ready."""
    leader = leader_module.Leader(
        claim_module.Claim('n', 'n:1', 'i', 0, epoch=1),
        None,
        None,
        None,
        None,
        clock,
        bounds_module.Bounds(),
        configuration_index.ConfigurationIndex(cell_case.make_configuration()),
        None,
    )
    leader.ready = True
    return leader


class LeaderCase(unittest.IsolatedAsyncioTestCase):
    """A leader whose appends are collected and confirmed by the test."""

    def setUp(self):
        self.leader = make_leader(clock_module.Clock())
        self.recorder = self.leader._recorder
        self.table = self.leader.state.table

    async def begin(self, request):
        """Return a task with the reply to a request that has arrived."""
        task = asyncio.ensure_future(self.leader.handle(request))
        await asyncio.sleep(0)
        return task

    def submission(self, timeout_ms=_LONG_MS, job_id=_JOB):
        return messages.Submit(
            cell_case.make_definition(job_id, cell_case.make_step()),
            timeout_ms,
            1,
        )


class LeaderPromiseTest(LeaderCase):
    """Guard the refusals of a leader against jobs that it may record."""

    def silence_store(self):
        journal = self.leader._journal
        journal.pending_since_ms = self.leader._clock.now_ms() - 60_000

    def refuse_new_jobs(self):
        self.enterContext(
            mock.patch.object(
                type(self.leader._intake),
                '_check_backlog',
                side_effect=errors.Overloaded('full', retry_after_ms=1),
            )
        )

    async def test_a_job_in_an_append_is_not_refused(self):
        """Guard against a refused job that the silent store has taken."""
        first = await self.begin(self.submission())
        batch = self.recorder.collect()
        self.silence_store()
        self.recorder.withdraw_unsent()
        second = await self.begin(self.submission(_SHORT_MS))
        third = await self.begin(self.submission())
        self.assertIsInstance(await second, messages.NotLeading)
        self.recorder.apply(batch)
        for waiting in (first, third):
            self.assertIsInstance(await waiting, messages.Accepted)

    async def test_a_job_in_no_append_is_refused_to_all_who_wait(self):
        """Guard against callers that wait for a store that is silent."""
        waiting = [await self.begin(self.submission()) for _ in range(2)]
        self.silence_store()
        self.recorder.withdraw_unsent()
        waiting.append(await self.begin(self.submission()))
        for request in waiting:
            self.assertIsInstance(await request, messages.Refused)
        self.assertEqual([], self.recorder.collect().jobs)

    async def test_a_waiting_job_is_not_refused_for_overload(self):
        """Guard against a refusal of a job that is being recorded."""
        first = await self.begin(self.submission())
        self.refuse_new_jobs()
        second = await self.begin(self.submission())
        self.recorder.apply(self.recorder.collect())
        for request in (first, second):
            self.assertIsInstance(await request, messages.Accepted)

    async def test_a_job_outlasts_the_connection_that_brought_it(self):
        """Guard against a later copy refused for a job that is recorded.

        The connection is lost between the adoption of the job and its
        append.
        """
        first = await self.begin(self.submission())
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        self.refuse_new_jobs()
        second = await self.begin(self.submission())
        batch = self.recorder.collect()
        self.assertEqual([_JOB], [job.job_id for job, _, _ in batch.jobs])
        self.recorder.apply(batch)
        self.assertIsInstance(await second, messages.Accepted)

    async def test_a_leader_that_ends_refuses_only_what_no_append_has(self):
        """Guard against a refused job that the successor reads."""
        first = await self.begin(self.submission())
        self.recorder.collect()
        other = await self.begin(self.submission(job_id=_OTHER))
        self.leader.lose_leadership('another daemon leads')
        self.recorder.close()
        self.assertIsInstance(await first, messages.NotLeading)
        self.assertIsInstance(await other, messages.Refused)
        self.assertEqual([], self.recorder.collect().jobs)

    async def test_a_job_that_could_not_be_written_is_refused_for_good(self):
        """Guard against a record that is tried again after the refusal."""
        first = await self.begin(self.submission(_SHORT_MS))
        with mock.patch.object(journal_module, 'put_job', _fail_to_put):
            self.assertEqual([], self.recorder.collect().jobs)
        self.assertIsInstance(await first, messages.Refused)
        self.recorder._failed_job_retry_ms = 0
        self.assertEqual([], self.recorder.collect().jobs)


def _fail_to_put(batch, job, now_wall_ms):
    raise ValueError('too long')


class SeveralWaitersTest(LeaderCase):
    """Guard requests that wait for the same job against each other."""

    async def test_a_cancelled_job_is_not_withdrawn_from_its_cancellation(
        self,
    ):
        """Guard against a job that runs after its cancelling was accepted.

        The submission gives up, and the record of a later one under the same
        id was taken for that of the cancelled job (UNASKED).
        """
        first = await self.begin(self.submission(_SHORT_MS))
        cancelling = await self.begin(
            messages.Cancel(_JOB, cell_case.WORKSPACE)
        )
        await first
        again = await self.begin(self.submission())
        self.recorder.apply(self.recorder.collect())
        self.assertIsInstance(await again, messages.Accepted)
        self.assertIsInstance(await cancelling, messages.Accepted)
        self.assertIs(
            job_state.JobState.CANCELLED,
            self.leader._intake.find_state(_JOB, cell_case.WORKSPACE),
        )

    async def test_a_request_that_gives_up_leaves_the_job_to_another(self):
        """Guard against a wait for a job that its leader has dropped."""
        first = await self.begin(self.submission(_SHORT_MS))
        second = await self.begin(self.submission())
        self.assertIsInstance(await first, messages.NotLeading)
        self.assertTrue(self.table.knows(_JOB))
        self.recorder.apply(self.recorder.collect())
        self.assertIsInstance(await second, messages.Accepted)

    async def test_the_last_request_that_gives_up_withdraws_the_job(self):
        """Guard against callers that are told less than is known."""
        first = await self.begin(self.submission(_SHORT_MS))
        second = await self.begin(self.submission(2 * _SHORT_MS))
        await first
        self.assertIsInstance(await second, messages.Refused)
        self.assertFalse(self.table.knows(_JOB))
        self.assertEqual([], self.recorder.collect().jobs)
        self.assertEqual({}, self.recorder._waiters)


class EndOfLeadershipTest(LeaderCase):
    """Guard requests that wait when their leader steps down."""

    async def test_a_waiter_that_has_just_given_up_holds_up_no_other(self):
        """Guard against a DELETE that is answered seconds after the end.

        The connection of one request is lost in the turn of the event loop
        in which the leader ends.
        """
        first = await self.begin(messages.Cancel(_JOB, cell_case.WORKSPACE))
        other = await self.begin(messages.Cancel(_OTHER, cell_case.WORKSPACE))
        first.cancel()
        self.recorder.close()
        self.assertIsInstance(
            await asyncio.wait_for(other, 1), messages.NotLeading
        )


class _Leader:
    """Leader of this daemon that refuses, or gives no answer."""

    def __init__(self, epoch, is_silent=False):
        self.ready = True
        self.store_age_ms = 0
        self.claim = claim_module.Claim('n', 'n:1', 'i', 0, epoch=epoch)
        self.handled = []
        self._is_silent = is_silent

    async def handle(self, request):
        self.handled.append(request)
        if self._is_silent:
            raise errors.DeadlineExceeded('no append; ask again')
        return messages.Refused(
            errors.Overloaded.kind, 'full', 1, self.claim.epoch
        )


class _PromptClock(test_refused_copies._Clock):
    __slots__ = ()

    async def wait_for(self, waiting, timeout_ms):
        return await waiting


class OwnCopyTest(test_refused_copies.CopiesCase):
    """Guard submissions that a daemon handles itself as it leads."""

    def setUp(self):
        super().setUp()
        self.clock = self.node._clock = _PromptClock()

    def lead(self, epoch, **changes):
        self.node.leader = _Leader(epoch, **changes)
        return self.node.leader

    async def test_only_the_own_leadership_of_the_copy_may_accept_it(self):
        """Guard against a copy that outlasts the leadership it was for."""
        leader = self.lead(3)
        self.assertIsInstance(await self.submit(), messages.Refused)
        self.assertEqual([3], [copy.epoch for copy in leader.handled])

    async def test_an_own_copy_without_an_outcome_is_not_refused(self):
        """Guard against a refused job that the daemon itself records."""
        leader = self.lead(3, is_silent=True)
        handle = leader.handle

        async def step_down(request):
            self.node.leader = None
            self.follow(test_refused_copies._OVERLOADED, epoch=2)
            return await handle(request)

        leader.handle = step_down
        self.assertIsInstance(await self.submit(), errors.OutcomeUnknown)

    async def test_an_own_refusal_covers_earlier_leaders_only(self):
        """Guard against a refused job that another leader has accepted."""
        for epoch, expected in (
            (2, messages.Refused),
            (4, errors.OutcomeUnknown),
        ):
            with self.subTest(epoch=epoch):
                self.node.leader = None
                self.copies = copies_module.Copies(self.clock)
                link = self.follow(test_refused_copies._NO_REPLY, epoch=epoch)
                call = link.call

                async def lead_next(request, timeout_ms, call=call):
                    self.lead(3)
                    return await call(request, timeout_ms)

                link.call = lead_next
                self.assertIsInstance(await self.submit(), expected)


class LaterCopyTest(test_refused_copies.CopiesCase):
    """Guard what a daemon asks for once a part of its time is used."""

    async def test_no_copy_waits_longer_than_its_daemon(self):
        """Guard against a leader that cannot refuse a job in time.

        It waited for the time of the first copy, so that the daemon gave up
        before, and its wait kept others from withdrawing the job.
        """
        link = self.follow(
            *[test_refused_copies._NO_REPLY] * 2, messages.Accepted()
        )
        call = link.call
        remaining = []

        async def take_long(request, timeout_ms):
            remaining.append(timeout_ms)
            self.clock.now += 1_500
            return await call(request, timeout_ms)

        link.call = take_long
        await self.submit()
        self.assertEqual(3, len(link.sent))
        for copy, timeout_ms in zip(link.sent, remaining, strict=True):
            self.assertLess(copy.accept_timeout_ms, timeout_ms)
            self.assertGreaterEqual(
                copy.accept_timeout_ms, min(4_000, timeout_ms // 2)
            )


class FrontendPromiseTest(test_refused_copies.CopiesCase):
    """Guard the answers that a daemon gives callers by itself."""

    async def post(self, **scope):
        """Post a job and return the status of the response."""
        sent = []

        async def receive():
            return {'type': 'http.request', 'body': b'{}'}

        async def send(message):
            sent.append(message)

        frontend = frontend_module.Frontend(self.node, self.clock)
        frontend.stop_deadline_ms = scope.pop('stop_deadline_ms', None)
        await frontend(
            {
                'type': 'http',
                'method': 'POST',
                'path': f'/queue/{_JOB}',
                'headers': [(b'host', b'h.example')],
                **scope,
            },
            receive,
            send,
        )
        return sent[0]['status']

    def configure(self, is_behind=False):
        """Have the daemon know an open queue."""
        queue = cell_case.make_queue(is_open=True)
        index = configuration_index.ConfigurationIndex(
            cell_case.make_configuration([queue])
        )
        kind = type(self.node)
        self.enterContext(mock.patch.object(kind, 'index', index))
        self.enterContext(
            mock.patch.object(kind, 'is_configuration_behind', is_behind)
        )
        self.enterContext(
            mock.patch.object(
                frontend_module.job_body,
                'decode',
                return_value=self.submission.definition,
            )
        )

    async def test_nothing_is_sent_before_the_daemon_may_refuse(self):
        """Guard against a refusal by a daemon that has sent the job on."""
        link = self.follow(messages.Accepted())
        self.assertEqual(503, await self.post())
        self.configure(is_behind=True)
        self.assertEqual(503, await self.post(path=f'/unknown/{_JOB}'))
        self.assertEqual([], link.sent)
        self.assertEqual(200, await self.post())

    async def test_a_daemon_that_stops_refuses_only_what_it_has_not_sent(self):
        """Guard against a refused job of a daemon that has to answer."""
        self.configure()
        self.assertEqual(503, await self.post(stop_deadline_ms=0))
        link = self.follow(test_refused_copies._NO_REPLY)
        self.assertEqual(504, await self.post(stop_deadline_ms=0))
        self.assertEqual(1, len(link.sent))

    async def test_a_fault_after_a_copy_is_no_refusal(self):
        """Guard against a 503 for a job that was sent on before a fault."""
        self.configure()
        self.follow(ValueError('a fault'))
        with self.assertRaises(ValueError):
            await self.post()


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    """Guard against refusals by the HTTP server, which knows no copies."""

    async def serve(self, app):
        """Serve an application and return its address."""
        serving = await self.enterAsyncContext(
            listener.Listener(app, '127.0.0.1:0')
        )
        return '127.0.0.1', serving.port

    async def post(self, address):
        """Post a body and return the status of the response."""
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                b'POST /jobs/1 HTTP/1.1\r\nHost: h\r\n'
                b'Content-Length: 2\r\n\r\n{}'
            )
            line = await asyncio.wait_for(reader.readline(), _LONG_MS / 1000)
        finally:
            writer.close()
        return int(line.split()[1])

    async def test_many_open_requests_all_reach_the_daemon(self):
        """Guard against a 503 that no part of the daemon knows of."""
        waiting = []
        all_came = asyncio.Event()

        async def app(scope, receive, send):
            waiting.append(scope['path'])
            if len(waiting) == _OPEN_REQUESTS:
                all_came.set()
            await all_came.wait()
            await send(
                {'type': 'http.response.start', 'status': 200, 'headers': []}
            )
            await send({'type': 'http.response.body'})

        address = await self.serve(app)
        statuses = await asyncio.gather(
            *(self.post(address) for _ in range(_OPEN_REQUESTS))
        )
        self.assertEqual({200}, set(statuses))

    async def test_a_fault_of_the_daemon_is_no_refusal(self):
        """Guard against a 503 of the server for an error of the daemon."""

        async def app(scope, receive, send):
            await receive()
            raise ValueError('a fault')

        address = await self.serve(app)
        with self.assertLogs('uvicorn.error'):
            self.assertEqual(500, await self.post(address))


class _LateAppendStore:
    """Store whose earlier leader appends until the fence takes effect."""

    clock = clock_module.Clock()

    def __init__(self, record):
        self._record = record
        self._records = []

    async def fence(self, stream, epoch):
        await asyncio.sleep(_SHORT_MS / 1000)
        self._records.append((f'd{_JOB}', self._record))

    async def read_latest(self, stream, on_progress=None):
        return {}, 0

    async def read(self, stream, start, wait_ms):
        return ports.StoreChunk(
            self._records[start:], 0, len(self._records), 0
        )


class LaterLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Guard the refusals of a leader for copies of earlier leaders."""

    async def test_it_knows_what_was_recorded_up_to_its_fence(self):
        """Guard against a refused job that the predecessor has recorded.

        The append of the predecessor had no answer, and took effect after
        the first read of the new leader.
        """
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        store = _LateAppendStore(msgspec.msgpack.encode(definition))
        confirmation = confirmation_module.Confirmation(store.clock)
        journal = cell_case.make_journal(store, store.clock, confirmation)
        recovered = await journal.load()
        self.assertEqual([definition], [job for job, _ in recovered.jobs])


class BuildTest(unittest.TestCase):
    """Guard the promises to and of builds that send no epochs."""

    def test_messages_without_the_new_fields(self):
        """Guard against a refusal that is taken to cover other copies."""
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        for row, name in (
            (('Submit', definition, 1_000), 'epoch'),
            (('Refused', 'overloaded', 'full', 1), 'epoch'),
            (('Ping', 'd1'), 'link_number'),
        ):
            with self.subTest(message=row[0]):
                raw = msgspec.msgpack.encode((1, row))
                frame = msgspec.msgpack.decode(raw, type=messages.Frame)
                self.assertEqual(0, getattr(frame.message, name))


class _Connection:
    """Connection of another daemon that the test writes by hand."""

    def __init__(self, address):
        host, _, port = address.rpartition(':')
        self._socket = socket.create_connection((host, int(port)))
        self._socket.setblocking(False)
        self._numbers = 0
        self._buffer = b''

    def close(self):
        self._socket.close()

    def send(self, message):
        """Send a frame at once, without the event loop."""
        self._numbers += 1
        payload = msgspec.msgpack.encode(
            messages.Frame(self._numbers, message)
        )
        with contextlib.suppress(OSError):
            # The leader may have closed the connection.
            self._socket.send(len(payload).to_bytes(4, 'big') + payload)

    async def receive(self):
        """Return the message of the next frame."""
        loop = asyncio.get_running_loop()
        while True:
            size = int.from_bytes(self._buffer[:4], 'big') + 4
            if 4 < size <= len(self._buffer):
                payload = self._buffer[4:size]
                self._buffer = self._buffer[size:]
                frame = msgspec.msgpack.decode(payload, type=messages.Frame)
                return frame.message
            self._buffer += await loop.sock_recv(self._socket, 65_536)


class LinkOrderTest(unittest.IsolatedAsyncioTestCase):
    """Guard the order in which a leader reads the links of a daemon."""

    async def test_what_a_replaced_link_carries_is_not_accepted_later(self):
        """Guard against a refused job that a paused leader reads late.

        First copies lie in the buffer of one connection when the leader reads
        the first ping of the next one, and more arrive after it has refused
        the second copies.
        """
        cell = await self.enterAsyncContext(narrow_cell.NarrowCell())
        cell.publish(1)
        leading = (await cell.start_leader()).node
        epoch = leading.leader.claim.epoch
        address = leading._identity.address
        self.enterContext(
            mock.patch.object(
                type(leading.leader._intake), '_check_backlog', _refuse_second
            )
        )
        older = _Connection(address)
        self.addCleanup(older.close)
        older.send(messages.Ping('d', 'p', 1))
        self.assertIsInstance(await older.receive(), messages.Pong)
        # The event loop, and so the leader, stands still until the next await.
        read_ids = [f'{number:016x}' for number in range(_READ_COPIES)]
        late_ids = [f'{number:016x}' for number in range(_READ_COPIES, 999)]
        for job_id in read_ids:
            older.send(_copy(job_id, _FIRST, epoch))
        newer = _Connection(address)
        self.addCleanup(newer.close)
        newer.send(messages.Ping('d', 'p', 2))
        self.assertIsInstance(await newer.receive(), messages.Pong)
        replies = {}
        for job_id in read_ids + late_ids:
            newer.send(_copy(job_id, _SECOND, epoch))
            replies[job_id] = await newer.receive()
        for job_id in late_ids:
            older.send(_copy(job_id, _FIRST, epoch))
        await asyncio.sleep(_LATE_S)
        refused = {
            job_id
            for job_id, reply in replies.items()
            if isinstance(reply, messages.Refused)
        }
        accepted = set(leading.leader.state.table.jobs)
        self.assertLessEqual(set(late_ids), refused)
        self.assertEqual(set(), refused & accepted)
        self.assertEqual(set(replies), refused | accepted)


def _copy(job_id, payload, epoch):
    definition = msgspec.structs.replace(
        cell_case.make_definition(job_id, cell_case.make_step()),
        payload=payload,
    )
    return messages.Submit(definition, _LONG_MS, epoch)


def _refuse_second(intake, definition, is_beyond_share, now_ms):
    if definition.payload == _SECOND:
        raise errors.Overloaded('full', retry_after_ms=1)


class _GateClock(clock_module.Clock):
    """Clock whose waits time out when the test says so."""

    __slots__ = ('now', 'gates')

    def __init__(self):
        self.now = 100_000
        self.gates = []

    def now_ms(self):
        return self.now

    async def wait_for(self, awaitable, timeout_ms):
        waiting = asyncio.ensure_future(awaitable)
        gate = asyncio.get_running_loop().create_future()
        self.gates.append(gate)
        try:
            await asyncio.wait(
                {waiting, gate}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self.gates.remove(gate)
            if not waiting.done():
                waiting.cancel()
        if not waiting.done() or waiting.cancelled():
            raise errors.DeadlineExceeded('the test ended the wait; go on')
        return waiting.result()


class _Play:
    """Requests for two jobs at one leader, in an order drawn from a seed.

    ``faults`` names each answer that was not true.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = _GateClock()
        self.leader = make_leader(self.clock)
        self.recorder = self.leader._recorder
        self.table = self.leader.state.table
        self.batch = None
        self.tasks = []
        self.faults = []
        # Jobs that are refused, and jobs that are cancelled, for good.
        self.refused = set()
        self.cancelled = set()

    async def run(self):
        """Draw steps, then confirm all that waits."""
        steps = (
            self.submit,
            self.submit,
            self.cancel,
            self.collect,
            self.confirm,
            self.expire,
            self.expire,
            self.lose_connection,
            self.withdraw_unsent,
        )
        for _ in range(_STEPS):
            self.random.choice(steps)()
            # Several steps may fall into one turn of the event loop.
            for _ in range(self.random.randrange(4)):
                await asyncio.sleep(0)
                self.check()
        for _ in range(3):
            self.collect()
            self.confirm()
            await asyncio.sleep(0)
        if self.random.random() < 0.5:
            self.leader.lose_leadership('the play ends')
        self.recorder.close()
        for task in self.tasks:
            await asyncio.wait({task}, timeout=1)
        self.check()
        self.leader.lost.set()

    def begin(self, request):
        self.tasks.append(
            asyncio.ensure_future(self.handle(request, request.__class__))
        )

    async def handle(self, request, kind):
        reply = await self.leader.handle(request)
        if kind is messages.Cancel:
            job_id = request.job_id
            if isinstance(reply, messages.Accepted | messages.Gone):
                self.note(job_id, self.cancelled)
        else:
            job_id = request.definition.job_id
            if isinstance(reply, messages.Refused):
                self.note(job_id, self.refused)
            elif isinstance(reply, messages.Accepted):
                if not self.table.knows(job_id):
                    self.faults.append('accepted and unknown')
        return reply

    def note(self, job_id, promised):
        # What comes after the answer is another submission.
        if job := self.table.jobs.get(job_id):
            promised.add(job)

    def check(self):
        for job in self.refused:
            if job.append_started:
                self.faults.append('refused and in an append')
        for job in self.cancelled:
            if not job.state.is_final:
                self.faults.append('cancelled and live')

    def submit(self):
        definition = cell_case.make_definition(
            self.random.choice((_JOB, _OTHER)), cell_case.make_step()
        )
        self.begin(messages.Submit(definition, _LONG_MS, 1))

    def cancel(self):
        job_id = self.random.choice((_JOB, _OTHER))
        self.begin(messages.Cancel(job_id, cell_case.WORKSPACE))

    def collect(self):
        if self.batch is None:
            self.batch = self.recorder.collect()

    def confirm(self):
        if self.batch is not None:
            self.recorder.apply(self.batch)
            self.batch = None

    def expire(self):
        gates = [gate for gate in self.clock.gates if not gate.done()]
        if gates:
            self.random.choice(gates).set_result(None)

    def lose_connection(self):
        if self.tasks:
            self.random.choice(self.tasks).cancel()

    def withdraw_unsent(self):
        self.recorder.withdraw_unsent()


class OrderTest(unittest.IsolatedAsyncioTestCase):
    """Guard the answers of a leader in all orders of what may happen."""

    async def test_answers_are_true_in_any_order(self):
        """Guard against refused jobs that are recorded, in orders drawn."""
        for seed in range(_PLAYS):
            play = _Play(seed)
            await play.run()
            self.assertEqual([], play.faults, f'seed {seed}')
