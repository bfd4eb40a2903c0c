"""Test daemon processes with clients that respect no limit.

Each test checks that the process lives, that its memory and its descriptors
stay below a bound, and that an ordinary request gets a response meanwhile.
"""

import asyncio
import json
import pathlib
import resource
import socket
import time

import httpx

from tests import platform_case
from tests.standins import platform

# The smallest VM has this much memory, and the limit in its settings says so.
_VM_MEMORY_MB = 160
_MAX_MEMORY_BYTES = _VM_MEMORY_MB * 1_000_000
# A descriptor limit that a crowd of this test reaches, and how many of them
# have to stay free for the store, the workers and the other daemons.
_MAX_DESCRIPTORS = 400
_FREE_DESCRIPTORS = 100
# Enough descriptors for the bodies of all clients at once.
_BODY_MAX_DESCRIPTORS = 2_000
_HEAD_TIMEOUT_MS = 1_000
_MAX_BODY_BYTES = 262_144
# How long a crowd has before the ordinary request is sent. Its clients stay.
_CROWD_S = 4.0
_ANSWER_TIMEOUT_S = 20.0
_SAMPLE_S = 0.05
_RECONNECT_S = 1.0
_BYTE_PAUSE_S = 0.2

_FEW = 4
# A line is copied with each read; more clients take less time than more bytes.
_LINES = 12
_READERS = 8
_MANY = 600
_LINE_BYTES = 16_000_000
_FIELDS_BYTES = 4_000_000
_OVER_LIMIT_BYTES = 2_000_000
_PIPELINED_BYTES = 2_000_000
_UNREAD_REQUESTS = 12_000
_PIECE_BYTES = 65_536

_JOB_ID = '00000000000000{:02x}'
_START = b'GET /jobs/ HTTP/1.1\r\nHost: h.example\r\n'
_CHUNKED = (
    b'POST /jobs/0000000000000001 HTTP/1.1\r\nHost: h.example\r\n'
    b'Authorization: Bearer key-a\r\nTransfer-Encoding: chunked\r\n\r\n'
)
_ORDINARY = _START + b'Authorization: Bearer key-a\r\nAccept: */*\r\n\r\n'
_POST = (
    b'POST /jobs/%016x HTTP/1.1\r\nHost: h.example\r\n'
    b'Authorization: Bearer key-a\r\nContent-Length: %d\r\n\r\n'
)


def _repeat(unit, size_bytes):
    """Yield a unit repeatedly in pieces, up to about a size."""
    piece = unit * (_PIECE_BYTES // len(unit))
    for _ in range(size_bytes // len(piece)):
        yield piece


class _Crowd:
    """Clients of one address; their sockets stay open until the end."""

    def __init__(self, port):
        self._address = ('127.0.0.1', port)
        self._sockets = set()
        self.tasks = []

    async def _connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.add(sock)
        await asyncio.get_running_loop().sock_connect(sock, self._address)
        return sock

    async def _send(self, pieces, pause_s=0.0):
        """Send all pieces on a connection and never read."""
        loop = asyncio.get_running_loop()
        try:
            sock = await self._connect()
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
                await asyncio.sleep(pause_s)
        except OSError:
            # The daemon may close the connection of such a client.
            pass

    async def _stay(self, pieces, pause_s=0.0):
        """Send pieces with pauses, wait, and connect again when closed."""
        loop = asyncio.get_running_loop()
        while True:
            sock = None
            try:
                sock = await self._connect()
                for piece in pieces:
                    await loop.sock_sendall(sock, piece)
                    await asyncio.sleep(pause_s)
                while await loop.sock_recv(sock, _PIECE_BYTES):
                    pass
            except OSError:
                # Refused or closed: both are allowed.
                pass
            if sock is not None:
                self._sockets.discard(sock)
                sock.close()
            await asyncio.sleep(_RECONNECT_S)

    def _add(self, count, make):
        self.tasks += [asyncio.ensure_future(make(n)) for n in range(count)]

    def heads_over_limit(self):
        """Send whole heads far above the limit."""
        self._add(
            _FEW,
            lambda n: self._send(
                [_START, *_repeat(b'ab:cd\r\n', _OVER_LIMIT_BYTES), b'\r\n']
            ),
        )

    def heads_without_end(self):
        """Send header fields without end."""
        self._add(
            _FEW,
            lambda n: self._send(
                [_START, *_repeat(b'ab:cd\r\n', _FIELDS_BYTES)]
            ),
        )

    def lines_without_end(self):
        """Send one header line without end."""
        self._add(
            _LINES,
            lambda n: self._send(
                [_START + b'X: ', *_repeat(b'a', _LINE_BYTES)]
            ),
        )

    def targets_without_end(self):
        """Send a request target without end."""
        self._add(
            _LINES,
            lambda n: self._send([b'GET /', *_repeat(b'a', _LINE_BYTES)]),
        )

    def empty_lines(self):
        """Send empty lines without end before a request."""
        self._add(_LINES, lambda n: self._send(_repeat(b'\r\n', _LINE_BYTES)))

    def trailers_without_end(self):
        """Send trailers without end after a chunked body."""
        self._add(
            _FEW,
            lambda n: self._send(
                [
                    _CHUNKED + b'2\r\n{}\r\n0\r\n',
                    *_repeat(b'ab:cd\r\n', _FIELDS_BYTES),
                ]
            ),
        )

    def extensions_without_end(self):
        """Send a chunk extension without end."""
        self._add(
            _LINES,
            lambda n: self._send(
                [_CHUNKED + b'2;', *_repeat(b'a', _LINE_BYTES)]
            ),
        )

    def pipelined(self):
        """Send many requests without the usual headers and never read."""
        self._add(
            _FEW,
            lambda n: self._send(
                _repeat(b'GET / HTTP/1.1\r\n\r\n', _PIPELINED_BYTES)
            ),
        )

    def unread(self):
        """Send ordinary requests in small batches and never read."""
        self._add(
            _READERS,
            lambda n: self._send([_ORDINARY * 20] * (_UNREAD_REQUESTS // 20)),
        )

    def byte_by_byte(self):
        """Send a byte of a head now and then."""
        pieces = [bytes([byte]) for byte in _ORDINARY]
        self._add(_MANY, lambda n: self._stay(pieces, _BYTE_PAUSE_S))

    def never_sending(self):
        """Connect and send nothing."""
        self._add(_MANY, lambda n: self._stay([]))

    def connections(self):
        """Keep connections open after an ordinary request."""
        self._add(_MANY, lambda n: self._stay([_ORDINARY]))

    def bodies(self):
        """Send bodies at the limit but for their last byte."""
        body = b' ' * (_MAX_BODY_BYTES - 1)
        self._add(
            _MANY,
            lambda n: self._send(
                [_POST % (0xFF00 + n, _MAX_BODY_BYTES), body]
            ),
        )

    async def close(self):
        """End all clients."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()


_ALL = (
    _Crowd.heads_over_limit,
    _Crowd.heads_without_end,
    _Crowd.lines_without_end,
    _Crowd.targets_without_end,
    _Crowd.empty_lines,
    _Crowd.trailers_without_end,
    _Crowd.extensions_without_end,
    _Crowd.pipelined,
    _Crowd.unread,
    _Crowd.byte_by_byte,
    _Crowd.never_sending,
    _Crowd.connections,
    _Crowd.bodies,
)


def _descriptors(pid):
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))


def _peak_memory_bytes(pid):
    """Return the largest resident size that the process has had."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        name, _, value = line.partition(':')
        if name == 'VmHWM':
            return int(value.split()[0]) * 1024
    raise AssertionError(f'no VmHWM of process {pid}')


class _UntrustedCase(platform_case.PlatformCase):
    """Two daemons, the leader and a follower, with lowered limits."""

    daemon_count = 2
    worker_count = 1
    max_descriptors = _MAX_DESCRIPTORS

    def choose_builds(self):
        for daemon in self.daemons:
            daemon.add_settings(
                'limits',
                f'memory_mb = {_VM_MEMORY_MB}\n'
                f'max_fds = {self.max_descriptors}',
            )
            daemon.add_settings(
                'clients', f'head_timeout_ms = {_HEAD_TIMEOUT_MS}'
            )
        document = json.loads(platform.make_configuration(2))
        document['limits']['max_body_bytes'] = _MAX_BODY_BYTES
        self.store.put('keyed.op', 'config', json.dumps(document).encode())

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = (self.max_descriptors, self.max_descriptors)
        for daemon in self.daemons:
            resource.prlimit(
                daemon.process.pid, resource.RLIMIT_NOFILE, limits
            )

    def follower(self):
        """Return a daemon that does not lead."""
        leader = self.leader()
        return next(each for each in self.daemons if each is not leader)

    async def attack(self, daemons, kinds, port='frontend_port'):
        """Send crowds to daemons and check these daemons."""
        crowds = []
        most = {daemon: 0 for daemon in daemons}
        for daemon in daemons:
            crowd = _Crowd(getattr(daemon, port))
            crowds.append(crowd)
            self.addAsyncCleanup(crowd.close)
            for kind in kinds:
                kind(crowd)
        tasks = [task for crowd in crowds for task in crowd.tasks]
        sampler = asyncio.ensure_future(self.sample(most))
        try:
            await asyncio.wait(tasks, timeout=_CROWD_S)
            for number, daemon in enumerate(daemons):
                await self.check_answer(daemon, _JOB_ID.format(16 + number))
        finally:
            sampler.cancel()
        for daemon in daemons:
            self.check(daemon, most[daemon])

    async def sample(self, most):
        """Record the largest number of open descriptors of each daemon."""
        while True:
            for daemon in most:
                if daemon.process.returncode is None:
                    count = _descriptors(daemon.process.pid)
                    most[daemon] = max(most[daemon], count)
            await asyncio.sleep(_SAMPLE_S)

    async def check_answer(self, daemon, job_id):
        """Check that a daemon takes an ordinary job, as callers send it."""
        body = platform_case.make_job(50, 1)
        deadline_s = time.monotonic() + _ANSWER_TIMEOUT_S
        seen = ''
        while time.monotonic() < deadline_s:
            self.assertIsNone(
                daemon.process.returncode, f'{daemon.node} has exited'
            )
            async with httpx.AsyncClient(timeout=5.0) as self.client:
                try:
                    answer = await self.call('POST', daemon, job_id, body)
                except httpx.TransportError as error:
                    seen = repr(error)
                else:
                    if answer.status_code == 200:
                        return
                    seen = f'{answer.status_code} {answer.text}'
            await asyncio.sleep(_SAMPLE_S)
        self.check(daemon, 0)
        self.fail(f'{daemon.node} did not take a job: {seen}')

    def check(self, daemon, descriptors):
        """Check that a daemon lives within its memory and descriptors."""
        self.assertIsNone(
            daemon.process.returncode, f'{daemon.node} has exited'
        )
        memory_bytes = _peak_memory_bytes(daemon.process.pid)
        self.assertLess(memory_bytes, _MAX_MEMORY_BYTES, 'bytes of memory')
        self.assertLess(
            descriptors,
            self.max_descriptors - _FREE_DESCRIPTORS,
            'open descriptors',
        )


class ClientTest(_UntrustedCase):
    """Test one kind of client at a time, at the leader and a follower."""

    async def test_heads_over_the_limit(self):
        """Guard against a large head that is kept as many objects."""
        await self.attack(self.daemons, [_Crowd.heads_over_limit])

    async def test_heads_without_end(self):
        """Guard against header fields that are kept without a bound."""
        await self.attack(self.daemons, [_Crowd.heads_without_end])

    async def test_header_lines_without_end(self):
        """Guard against a header line that is kept without a bound."""
        await self.attack(self.daemons, [_Crowd.lines_without_end])

    async def test_request_targets_without_end(self):
        """Guard against a request target that is kept without a bound."""
        await self.attack(self.daemons, [_Crowd.targets_without_end])

    async def test_empty_lines_without_end(self):
        """Guard against a daemon that is busy with empty lines."""
        await self.attack(self.daemons, [_Crowd.empty_lines])

    async def test_trailers_without_end(self):
        """Guard against trailers that are kept without a bound."""
        await self.attack(self.daemons, [_Crowd.trailers_without_end])

    async def test_chunk_extensions_without_end(self):
        """Guard against a daemon that is busy with a chunk extension."""
        await self.attack(self.daemons, [_Crowd.extensions_without_end])

    async def test_pipelined_requests(self):
        """Guard against a task and objects for each pipelined request."""
        await self.attack(self.daemons, [_Crowd.pipelined])

    async def test_pipelined_requests_for_metrics(self):
        """Guard against the same at the listener for metrics."""
        await self.attack(self.daemons, [_Crowd.pipelined], 'metrics_port')

    async def test_pipelined_readiness_checks(self):
        """Guard against the same at the listener for readiness."""
        await self.attack(self.daemons, [_Crowd.pipelined], 'readiness_port')

    async def test_responses_that_are_never_read(self):
        """Guard against responses that are kept without a bound."""
        await self.attack(self.daemons, [_Crowd.unread])

    async def test_a_byte_now_and_then(self):
        """Guard against heads that hold their connections for good."""
        await self.attack(self.daemons, [_Crowd.byte_by_byte])

    async def test_connections_that_never_send(self):
        """Guard against silent connections that take all descriptors."""
        await self.attack(self.daemons, [_Crowd.never_sending])

    async def test_more_connections_than_descriptors(self):
        """Guard against idle connections that take all descriptors."""
        await self.attack(self.daemons, [_Crowd.connections])


class BodyTest(_UntrustedCase):
    """Test bodies with enough descriptors for all of them."""

    max_descriptors = _BODY_MAX_DESCRIPTORS

    async def test_many_bodies_at_the_limit(self):
        """Guard against bodies that need more memory than there is."""
        await self.attack(self.daemons, [_Crowd.bodies])


class AllTest(_UntrustedCase):
    """Test all kinds of clients together."""

    async def test_all_at_the_follower(self):
        """Guard against faults that show only under several of these."""
        await self.attack([self.follower()], _ALL)

    async def test_all_at_the_leader(self):
        """Guard against a leader that loses its parts to such clients."""
        await self.attack([self.leader()], _ALL)
