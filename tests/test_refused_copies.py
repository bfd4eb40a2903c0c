"""Test what a daemon answers after it has sent copies of a submission."""

import asyncio
import contextlib
import io
import json
import socket
import unittest
from unittest import mock

import msgspec

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import copies as copies_module
from basilspindle.cell import identity as identity_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import node as node_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.platform import frontend as frontend_module
from tests import cell_case
from tests.standins import late_path
from tests.standins import narrow_cell

_JOB = '00000000000000aa'
_TIMEOUT_MS = 5_000
# Longer than a leader takes to read a connection.
_LATE_S = 0.5
# The system of a sender takes the one at once, that of a receiver the other.
_SENT_BYTES = 500_000
_RECEIVE_BYTES = 8_192
_NO_REPLY = errors.PeerOutcomeUnknown('no reply; ask again')
_NOT_SENT = errors.PeerUnavailable('the connection was closed; ask again')
_OVERLOADED = messages.Refused(errors.Overloaded.kind, 'too much work', 1_000)
_STORE_SILENT = messages.Refused(errors.NotReady.kind, 'no store', 1_000)


class _Clock(clock_module.Clock):
    """Clock that a sleep moves on."""

    __slots__ = ('now',)

    def __init__(self):
        self.now = 100_000

    def now_ms(self):
        return self.now

    async def sleep_ms(self, duration_ms):
        self.now += duration_ms

    async def wait_for(self, waiting, timeout_ms):
        # Nothing that is waited for comes in these tests.
        waiting.close()
        self.now += timeout_ms
        raise errors.DeadlineExceeded('nothing came; try again')


class _Link:
    """Link to a leader with a given answer to each copy."""

    def __init__(self, clock, *answers, epoch=1):
        self.node = 'leader'
        self.epoch = epoch
        self.sent = []
        self._clock = clock
        self._answers = list(answers)

    async def call(self, request, timeout_ms):
        self.sent.append(request)
        self._clock.now += 10
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class CopiesCase(unittest.IsolatedAsyncioTestCase):
    """A daemon that forwards a submission over links made by the test."""

    def setUp(self):
        self.clock = _Clock()
        self.node = node_module.Node(
            identity_module.Identity('follower', 'n:1', 'a'),
            node_module.Platform(*[mock.Mock()] * 5),
            bounds_module.Bounds(),
            self.clock,
        )
        self.copies = copies_module.Copies(self.clock)
        self.submission = messages.Submit(
            cell_case.make_definition(_JOB, cell_case.make_step()), 4_000
        )

    def follow(self, *answers, epoch=1):
        """Follow a leader that gives these answers."""
        election = self.node._election
        election.claim = claim_module.Claim(
            'leader', 'l:1', 'i', 0, epoch=epoch
        )
        election.link = _Link(self.clock, *answers, epoch=epoch)
        return election.link

    async def submit(self):
        """Return the reply, or the error that the submission raised."""
        try:
            return await self.node.request(
                self.submission, _TIMEOUT_MS, self.copies
            )
        except errors.BasilspindleError as error:
            return error


class SubmissionLineTest(CopiesCase):
    """Guard the line that tells who refused a submission."""

    async def post(self):
        """Post a job and return the status and the lines that name it."""
        index = mock.Mock()
        index.queue_of.return_value = cell_case.make_queue(
            prefix='/jobs/', is_open=True
        )
        index.configuration.limits.max_body_bytes = 1_000
        sent = []

        async def receive():
            return {'type': 'http.request', 'body': b'{}'}

        async def send(message):
            sent.append(message)

        stream = io.StringIO()
        scope = {
            'type': 'http',
            'method': 'POST',
            'path': f'/jobs/{_JOB}',
            'headers': [],
        }
        with (
            mock.patch.object(node_module.Node, 'index', index),
            mock.patch.object(
                frontend_module.job_body,
                'decode',
                return_value=self.submission.definition,
            ),
            mock.patch.object(
                frontend_module.events,
                'emit',
                lambda event, **fields: print(
                    json.dumps({'name': event.name, **fields}), file=stream
                ),
            ),
        ):
            await frontend_module.Frontend(self.node, self.clock)(
                scope, receive, send
            )
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        return sent[0]['status'], [
            line for line in lines if line['name'] == 'submission_failed'
        ]

    async def test_a_refusal_passed_on_names_the_leader_and_its_copies(self):
        """Guard against a refused job that no line of a daemon names."""
        self.follow(_NO_REPLY, _OVERLOADED)
        _, (line,) = await self.post()
        self.assertEqual(_JOB, line['job'])
        self.assertEqual(2, line['copies'])
        self.assertEqual(
            [
                'leader epoch 1 after 0 ms: no_reply',
                'leader epoch 1 after 30 ms: overloaded',
            ],
            line['outcomes'],
        )

    async def test_a_refusal_at_once_names_who_refused(self):
        """Guard against a refusal whose sender cannot be told."""
        self.follow(_OVERLOADED)
        status, (line,) = await self.post()
        self.assertEqual(429, status)
        self.assertEqual(429, line['status'])
        self.assertEqual('overloaded', line['reason'])
        self.assertEqual('leader', line['refused_by'])

    async def test_a_daemon_without_a_leader_names_itself(self):
        """Guard against a refusal whose sender cannot be told."""
        status, (line,) = await self.post()
        self.assertEqual(503, status)
        self.assertEqual('follower', line['refused_by'])
        self.assertEqual(0, line['copies'])


class RefusalAfterUnknownCopyTest(CopiesCase):
    """Guard the promise of a refusal where an earlier copy may arrive."""

    async def test_a_refusal_of_another_copy_is_no_promise(self):
        """Guard against a refused job that runs (issue 38, REFUSED)."""
        for refusals in (
            (_OVERLOADED,),
            (_STORE_SILENT, _OVERLOADED),
        ):
            with self.subTest(refusals=refusals):
                self.follow(_NO_REPLY, *refusals)
                answer = await self.submit()
                self.assertIsInstance(answer, errors.OutcomeUnknown)

    async def test_a_daemon_that_loses_its_leader_makes_no_promise(self):
        """Guard against a copy that a later refusal lets one forget."""
        link = self.follow(_NO_REPLY, _STORE_SILENT)
        call = link.call

        async def lose_leader(request, timeout_ms):
            reply = await call(request, timeout_ms)
            if not link._answers:
                self.node._election.link = None
            return reply

        link.call = lose_leader
        answer = await self.submit()
        self.assertIsInstance(answer, errors.OutcomeUnknown)

    async def test_a_leader_refuses_for_the_copies_that_it_outdates(self):
        """Guard against callers that are told less than is known."""
        for epoch, refused_epoch in ((1, 1), (1, 2)):
            with self.subTest(epoch=epoch, refused_epoch=refused_epoch):
                self.copies = copies_module.Copies(self.clock)
                refusal = msgspec.structs.replace(
                    _OVERLOADED, epoch=refused_epoch
                )
                link = self.follow(_NO_REPLY, refusal, epoch=epoch)
                answer = await self.submit()
                self.assertEqual(refusal, answer)
                self.assertEqual([epoch] * 2, [c.epoch for c in link.sent])

    async def test_an_earlier_leader_cannot_refuse_for_its_successor(self):
        """Guard against a refused job that a successor has accepted."""
        link = self.follow(_NO_REPLY, _OVERLOADED, epoch=4)
        call = link.call

        async def return_to_predecessor(request, timeout_ms):
            try:
                return await call(request, timeout_ms)
            finally:
                self.follow(
                    msgspec.structs.replace(_OVERLOADED, epoch=2), epoch=2
                )

        link.call = return_to_predecessor
        answer = await self.submit()
        self.assertIsInstance(answer, errors.OutcomeUnknown)

    async def test_a_copy_that_was_not_sent_leaves_nothing_open(self):
        """Guard against callers that are told less than is known."""
        self.follow(_NOT_SENT, _OVERLOADED)
        answer = await self.submit()
        self.assertEqual(_OVERLOADED, answer)

    async def test_a_refused_cancellation_covers_no_other_copy(self):
        """Guard against a 503 for a cancellation that has an effect."""
        self.submission = messages.Cancel(_JOB, '')
        refusal = messages.Refused(errors.NotReady.kind, 'ask again', 1_000)
        self.clock.now += 10
        self.follow(_NO_REPLY, *[refusal] * 9)
        answer = await self.submit()
        self.assertIsInstance(answer, errors.OutcomeUnknown)

    async def test_the_refusal_of_the_only_copy_is_a_promise(self):
        """Guard against refusals that tell callers less than is known."""
        self.follow(_OVERLOADED)
        answer = await self.submit()
        self.assertEqual(_OVERLOADED.kind, answer.kind)


class ReplacedLinkTest(CopiesCase):
    """Guard links that a daemon closes as the other end has a newer one."""

    async def is_older_closed(self, older, newer):
        """Tell whether the ping of a newer link closes an older one."""
        links = []
        for ping in (older, newer):
            link = link_module.Link(
                self.node.handle,
                self.node._on_link_open,
                self.node._on_link_close,
                self.node._close_replaced_links,
            )
            link.connection_made(mock.Mock(spec=asyncio.Transport))
            await link._answer(1, ping)
            links.append(link)
        abort = [link._transport.abort for link in links]
        abort[1].assert_not_called()
        return abort[0].called

    async def test_an_earlier_link_of_the_process_is_closed(self):
        """Guard against what it still carries (issue 38, REFUSED)."""
        self.assertTrue(
            await self.is_older_closed(
                messages.Ping('d1', 'p1', 1), messages.Ping('d1', 'p1', 2)
            )
        )

    async def test_links_of_other_processes_stay(self):
        """Guard against daemons that cut each other off."""
        for older, newer in (
            (messages.Ping('d1', 'p1', 1), messages.Ping('d2', 'p2', 2)),
            (messages.Ping('d1', 'p1', 1), messages.Ping('d1', 'p2', 2)),
            # Builds that name no process.
            (messages.Ping('d1'), messages.Ping('d1')),
            (messages.Ping('d1'), messages.Ping('d1', 'p1', 1)),
        ):
            with self.subTest(older=older, newer=newer):
                self.assertFalse(await self.is_older_closed(older, newer))


class DiscardedLinkTest(unittest.IsolatedAsyncioTestCase):
    """Guard refused jobs against what the system sends after a close."""

    async def test_what_a_silent_leader_has_not_received_is_dropped(self):
        """Guard against submissions that the system delivers late.

        It sends again what it holds of a connection that the process has
        closed, until the other machine receives it (issue 38, REFUSED).
        """
        for is_discarded in (False, True):
            with self.subTest(is_discarded=is_discarded):
                received, sent = await self.close_link(is_discarded)
                self.assertEqual(is_discarded, received < sent)

    async def close_link(self, is_discarded):
        """Return the bytes that arrive, and those sent before the close."""
        with socket.socket() as listener:
            # The machine has no room for more, as if it were cut off.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES
            )
            listener.bind(('127.0.0.1', 0))
            listener.listen()
            host, port = listener.getsockname()
            link = await link_module.connect(f'{host}:{port}', None, 1_000)
            far, _ = listener.accept()
            with far:
                link._transport.write(b'x' * _SENT_BYTES)
                await asyncio.sleep(0.1)
                self.assertEqual(0, link._transport.get_write_buffer_size())
                (link.discard if is_discarded else link.close)()
                await link.closed.wait()
                await asyncio.sleep(0.1)
                return await asyncio.to_thread(self.read_all, far), _SENT_BYTES

    def read_all(self, sock):
        """Return how many bytes arrive until the connection ends."""
        sock.settimeout(_TIMEOUT_MS / 1000)
        count = 0
        with contextlib.suppress(ConnectionResetError):
            while data := sock.recv(65_536):
                count += len(data)
        return count


class LateCopyTest(unittest.IsolatedAsyncioTestCase):
    """Guard refused jobs against copies that the network delivers late."""

    async def test_a_refused_job_is_not_accepted_late(self):
        """Guard against a refused job that runs (issue 38, REFUSED).

        The connection of the first copy is closed before the copy arrives,
        and the copy that follows it over a new one is refused.
        """
        cell = await self.enterAsyncContext(narrow_cell.NarrowCell())
        cell.publish(1)
        leading = (await cell.start_leader()).node
        following = (
            await cell.start('follower', narrow_cell.WIDE_LINK_BYTES_S)
        ).node
        await narrow_cell.wait_until(lambda: following.is_ready)
        path = await self.enterAsyncContext(
            late_path.LatePath(leading._identity.address)
        )
        await self.take_path(following, path)
        intake = leading.leader._intake
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        path.hold()
        with mock.patch.object(
            type(intake),
            '_check_backlog',
            side_effect=errors.Overloaded('too much work', retry_after_ms=1),
        ) as check:
            try:
                reply = await following.request(
                    messages.Submit(definition, 4_000), _TIMEOUT_MS
                )
                is_refused = isinstance(reply, messages.Refused)
            except errors.OutcomeUnknown:
                is_refused = False
            self.assertEqual(1, check.call_count)
        path.release()
        await asyncio.sleep(_LATE_S)
        is_accepted = leading.leader.state.table.knows(_JOB)
        self.assertFalse(is_refused and is_accepted)
        # The leader takes no more from the connection of the first copy, so
        # the caller is told what is known.
        self.assertTrue(is_refused)

    async def take_path(self, following, path):
        """Have a daemon reach its leader over another path."""
        connect = link_module.connect

        async def connect_through_path(address, handler, timeout_ms):
            if handler == following.handle:
                address = path.address
            return await connect(address, handler, timeout_ms)

        self.enterContext(
            mock.patch.object(link_module, 'connect', connect_through_path)
        )
        link = following._election.link
        link.close()
        await narrow_cell.wait_until(
            lambda: following._election.link not in (None, link)
        )
