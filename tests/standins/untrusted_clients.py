"""Run clients that respect no limit, as a process of their own.

In the process of the test they would slow down the ordinary caller and the
stand-ins for the platform, which share its loop.

    python -m tests.standins.untrusted_clients PORT KIND...

prints a line when all clients have sent what they have to send, and keeps the
connections until it is ended.
"""

import asyncio
import socket
import sys

MAX_BODY_BYTES = 262_144
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
        body = b' ' * (MAX_BODY_BYTES - 1)
        self._add(
            _MANY,
            lambda n: self._send([_POST % (0xFF00 + n, MAX_BODY_BYTES), body]),
        )


async def _run(port, kinds):
    crowd = _Crowd(port)
    for kind in kinds:
        getattr(crowd, kind)()
    await asyncio.gather(*crowd.tasks)
    print('sent', flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(_run(int(sys.argv[1]), sys.argv[2:]))
