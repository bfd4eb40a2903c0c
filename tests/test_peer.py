"""Test peer calls and what they report when the network fails."""

import asyncio
import contextlib
import unittest
from unittest import mock

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import peer
from basilspindle.peer import connection as connection_module
from basilspindle.peer import messages

_FENCE = messages.Fence(partition=1, epoch=7, member_id='a')
_LIMIT_MS = 5_000
_SHORT_MS = 60
_SETTLE_S = 0.2


async def _fenced(request):
    return messages.Fenced(epoch=request.epoch)


class _Relay:
    """A TCP relay that can stop forwarding on open connections."""

    def __init__(self, port):
        self.target = port
        self.opened = 0
        self.silent = set()
        self.silence_new = False
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return '127.0.0.1:%d' % self._server.sockets[0].getsockname()[1]

    def go_silent(self):
        self.silent.add(self.opened)

    async def _serve(self, reader, writer):
        self.opened += 1
        number = self.opened
        if self.silence_new:
            self.silent.add(number)
        peer_reader, peer_writer = await asyncio.open_connection(
            '127.0.0.1', self.target
        )
        self._writers += [writer, peer_writer]
        await asyncio.gather(
            self._pump(number, reader, peer_writer),
            self._pump(number, peer_reader, writer),
        )

    async def _pump(self, number, reader, writer):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if number not in self.silent:
                    writer.write(data)
        writer.close()

    async def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()


class _ServedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.stack = contextlib.AsyncExitStack()
        enter = self.stack.enter_async_context
        self.handlers = {messages.Fence: _fenced}
        self.server = await enter(peer.PeerServer(self.handlers))
        await self.server.start('127.0.0.1', 0)
        self.address = f'127.0.0.1:{self.server.port}'
        self.client = await enter(peer.PeerClient(clock_module.Clock()))
        self.addAsyncCleanup(self.stack.aclose)


class PeerTest(_ServedTest):
    """Guard against errors that misstate whether a request was run."""

    async def test_every_request_type_reaches_its_handler(self):
        """Guard against request types that share a gRPC path."""
        paths = {peer.path_of(request) for request in messages.REPLIES}
        self.assertEqual(len(messages.REPLIES), len(paths))
        for request in messages.REPLIES:
            self.assertIn(request.__name__, peer.path_of(request))
        reply = await self.client.call(self.address, _FENCE, _LIMIT_MS)
        self.assertEqual(messages.Fenced(epoch=7), reply)

    async def test_replies_match_their_requests(self):
        """Guard against swapped replies on a shared connection (I5)."""
        gates = [asyncio.Event() for _ in range(30)]

        async def late(request):
            await gates[request.epoch].wait()
            return messages.Fenced(epoch=request.epoch)

        self.server.set_handler(messages.Fence, late)
        calls = [
            asyncio.ensure_future(
                self.client.call(
                    self.address,
                    messages.Fence(partition=0, epoch=n, member_id='a'),
                    _LIMIT_MS,
                )
            )
            for n in range(30)
        ]
        for gate in reversed(gates):
            gate.set()
        replies = await asyncio.gather(*calls)
        self.assertEqual(list(range(30)), [r.epoch for r in replies])

    async def test_many_waiting_calls_do_not_block_others(self):
        """Guard against the default limit of 100 streams per connection."""
        gate = asyncio.Event()

        async def wait(request):
            await gate.wait()
            return messages.Stopping(unknown_tasks=[])

        self.server.set_handler(messages.Stop, wait)
        stop = messages.Stop(partition=0, partition_epoch=1, tasks=[])
        calls = [
            asyncio.ensure_future(
                self.client.call(self.address, stop, _LIMIT_MS)
            )
            for _ in range(150)
        ]
        reply = await self.client.call(self.address, _FENCE, _LIMIT_MS)
        self.assertEqual(7, reply.epoch)
        gate.set()
        await asyncio.gather(*calls)

    async def test_handler_errors_keep_kind_and_promise(self):
        """Guard against an error that wrongly reports "not run" (I6)."""
        cases = [
            (errors.QueueFull('full', retry_after_ms=9), errors.Ran.NO),
            (errors.OutcomeUnknown('lost', job_id='j'), errors.Ran.UNKNOWN),
            (errors.StaleEpoch('old'), errors.Ran.NO),
            (errors.DeadlineExceeded('late'), errors.Ran.UNKNOWN),
        ]
        for error, ran in cases:

            async def fail(request, error=error):
                raise error

            self.server.set_handler(messages.Fence, fail)
            with self.subTest(kind=error.kind):
                with self.assertRaises(type(error)) as caught:
                    await self.client.call(self.address, _FENCE, _LIMIT_MS)
                self.assertEqual(error.message, caught.exception.message)
                self.assertEqual(ran, caught.exception.ran)
                self.assertEqual(
                    (error.retry_after_ms, error.job_id),
                    (caught.exception.retry_after_ms, caught.exception.job_id),
                )

    async def test_unexpected_exception_is_not_called_not_run(self):
        """Guard against a handler crash reported as "not run" (I6)."""

        async def crash(request):
            raise ZeroDivisionError

        self.server.set_handler(messages.Fence, crash)
        with self.assertRaises(errors.BasilspindleError) as caught:
            await self.client.call(self.address, _FENCE, _LIMIT_MS)
        self.assertEqual('internal', caught.exception.kind)
        self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)

    async def test_request_without_handler_is_refused(self):
        """Guard against calls that hang while a daemon is starting."""
        with self.assertRaises(errors.NotReady):
            await self.client.call(
                self.address, messages.Drop(tasks=[]), _LIMIT_MS
            )

    async def test_refused_connection_did_not_reach_the_peer(self):
        """Guard against treating a dead process as an unreachable one.

        A refused connection proves that no process listens.
        """
        await self.client.call(self.address, _FENCE, _LIMIT_MS)
        self.assertFalse(self.client.refused(self.address))
        await self.server.__aexit__(None, None, None)
        async with asyncio.timeout(5):
            while not self.client.lost(self.address):
                await asyncio.sleep(0)
        with self.assertRaises(errors.PeerUnavailable) as caught:
            await self.client.call(self.address, _FENCE, _LIMIT_MS)
        self.assertEqual(errors.Ran.NO, caught.exception.ran)
        self.assertTrue(self.client.refused(self.address))

    async def test_connection_that_is_late_carries_no_request(self):
        """Guard against ``ran: no`` for a request that is sent afterwards."""
        requests = []

        async def record(request):
            requests.append(request)
            return messages.Fenced(epoch=1)

        self.server.set_handler(messages.Fence, record)
        gate = asyncio.Event()
        connect = connection_module.Connection.connect

        async def connect_late(connection):
            await gate.wait()
            await connect(connection)

        with mock.patch.object(
            connection_module.Connection, 'connect', connect_late
        ):
            with self.assertRaises(errors.PeerUnavailable) as caught:
                await self.client.call(self.address, _FENCE, _SHORT_MS)
            self.assertEqual(errors.Ran.NO, caught.exception.ran)
            gate.set()
            await self.client.call(self.address, _FENCE, _LIMIT_MS)
        self.assertEqual(1, len(requests))

    async def test_server_that_stops_during_a_call_leaves_it_open(self):
        """Guard against ``ran: no`` for a call whose handler has begun."""
        begun = asyncio.Event()

        async def hang(request):
            begun.set()
            await asyncio.Event().wait()

        self.server.set_handler(messages.Fence, hang)
        call = asyncio.ensure_future(
            self.client.call(self.address, _FENCE, _LIMIT_MS)
        )
        await begun.wait()
        await self.server.__aexit__(None, None, None)
        with self.assertRaises(errors.PeerOutcomeUnknown) as caught:
            await call
        self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)

    async def test_malformed_address_is_refused(self):
        """Guard against a heartbeat task that ends on a malformed address."""
        for address in ('', 'host', ':1', '1.2.3.4:x'):
            with self.assertRaises(errors.PeerUnavailable):
                await self.client.call(address, _FENCE, _LIMIT_MS)

    async def test_late_reply_is_unknown_and_the_handler_ends(self):
        """Guard against cancelling a handler when its caller times out."""
        gate, ended = asyncio.Event(), asyncio.Event()

        async def slow(request):
            await gate.wait()
            ended.set()
            return messages.Fenced(epoch=1)

        self.server.set_handler(messages.Fence, slow)
        with self.assertRaises(errors.PeerOutcomeUnknown):
            await self.client.call(self.address, _FENCE, _SHORT_MS)
        self.assertFalse(self.client.refused(self.address))
        gate.set()
        await asyncio.wait_for(ended.wait(), 5)

    async def test_handler_goes_on_after_its_connection_closed(self):
        """Guard against a refusal while a cancelled copy is half done."""
        ended = []

        async def slow(request):
            try:
                await gate.wait()
            finally:
                ended.append(asyncio.current_task().cancelling())
            return messages.Fenced(epoch=1)

        gate = asyncio.Event()
        self.server.set_handler(messages.Fence, slow)
        with self.assertRaises(errors.PeerOutcomeUnknown):
            await self.client.call(self.address, _FENCE, _SHORT_MS)
        # Longer than the server takes to see that the connection is closed.
        await asyncio.sleep(_SETTLE_S)
        self.assertEqual([], ended)
        gate.set()
        self.assertTrue(await self.server.drain(_LIMIT_MS))
        self.assertEqual([0], ended)

    async def test_timeout_does_not_end_other_calls(self):
        """Guard against a timeout that fails other calls of the connection."""
        gate = asyncio.Event()

        async def slow(request):
            await gate.wait()
            return messages.Fenced(epoch=request.epoch)

        self.server.set_handler(messages.Fence, slow)
        other_call = asyncio.ensure_future(
            self.client.call(self.address, _FENCE, _LIMIT_MS)
        )
        with self.assertRaises(errors.PeerOutcomeUnknown):
            await self.client.call(self.address, _FENCE, _SHORT_MS)
        gate.set()
        self.assertEqual(7, (await other_call).epoch)


class SilentConnectionTest(_ServedTest):
    """Guard against failures of a single connection, using a relay."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.relay = _Relay(self.server.port)
        self.relayed = await self.relay.start()
        self.addAsyncCleanup(self.relay.stop)

    async def test_silent_connection_is_replaced(self):
        """Guard against reusing a connection that never responds again."""
        await self.client.call(self.relayed, _FENCE, _LIMIT_MS)
        await self.client.call(self.relayed, _FENCE, _LIMIT_MS)
        self.assertEqual(1, self.relay.opened)
        self.relay.go_silent()
        with self.assertRaises(errors.PeerOutcomeUnknown):
            await self.client.call(self.relayed, _FENCE, _SHORT_MS)
        reply = await self.client.call(self.relayed, _FENCE, _LIMIT_MS)
        self.assertEqual((7, 2), (reply.epoch, self.relay.opened))

    async def test_lost_reply_is_unknown(self):
        """Guard against ``ran: no`` for a request that was handled."""
        requests = []

        async def record_request(request):
            requests.append(request)
            self.relay.go_silent()
            return messages.Fenced(epoch=1)

        self.server.set_handler(messages.Fence, record_request)
        with self.assertRaises(errors.PeerOutcomeUnknown) as caught:
            await self.client.call(self.relayed, _FENCE, _SHORT_MS)
        self.assertEqual(1, len(requests))
        self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)
