"""Combine the writes of one event loop iteration into one system call."""

import asyncio
import typing


class BufferedTransport:
    """Buffer writes until the next iteration of the event loop.

    grpclib writes each HTTP/2 frame separately. Without the buffer, a reply
    takes three writes and as many system calls and packets.
    """

    __slots__ = ('_transport', '_chunks')

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._chunks: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Buffer data that is sent in the next iteration."""
        if not data:
            return
        if not self._chunks:
            asyncio.get_running_loop().call_soon(self._flush)
        self._chunks.append(data)

    def close(self) -> None:
        """Send the buffered data and close the transport."""
        self._flush()
        self._transport.close()

    def _flush(self) -> None:
        chunks, self._chunks = self._chunks, []
        if chunks and not self._transport.is_closing():
            self._transport.write(b''.join(chunks))

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)
