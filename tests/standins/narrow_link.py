"""Stand-in for the narrow link between a VM and the rest of the network."""

import asyncio
import contextlib

_SEGMENT_BYTES = 4_096
# A shorter wait would take as long as this one.
_TIMER_RESOLUTION_S = 0.002
# Bytes of one connection that may be on their way at once.
_WINDOW_BYTES = 65_536


class NarrowLink:
    """Link of one VM; all connections through it share its rate.

    Connections that the VM opens go through ``via``, which returns the
    address to use instead of the server's. Only what the VM receives is
    limited.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.received_bytes = 0
        self._free_at_s = 0.0
        self._turn = asyncio.Lock()
        self._addresses: dict[str, str] = {}
        self._silent_addresses: set[str] = set()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> 'NarrowLink':
        return self

    async def __aexit__(self, *_: object) -> None:
        # Connections that were being accepted are complete after two passes.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def via(self, address: str) -> str:
        """Return the address at which this link leads to a server."""
        if address not in self._addresses:
            server = await asyncio.start_server(
                lambda reader, writer: self._open(address, reader, writer),
                '127.0.0.1',
                0,
            )
            self._servers.append(server)
            host, port = server.sockets[0].getsockname()
            self._addresses[address] = f'{host}:{port}'
        return self._addresses[address]

    def silence(self, address: str) -> None:
        """Drop all that a server sends from now on."""
        self._silent_addresses.add(address)

    async def _open(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        host, _, port = address.rpartition(':')
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port), limit=_WINDOW_BYTES
            )
        except OSError:
            writer.transport.abort()
            return
        for work in (
            self._carry(reader, upstream_writer, None),
            self._carry(upstream_reader, writer, address),
        ):
            task = asyncio.ensure_future(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        sender: str | None,
    ) -> None:
        # ``sender`` is the address of a server, None for the VM itself.
        with contextlib.suppress(OSError):
            while data := await reader.read(_SEGMENT_BYTES):
                if sender in self._silent_addresses:
                    continue
                if sender is not None:
                    await self._wait_for_turn(len(data))
                writer.write(data)
                await writer.drain()
        writer.transport.abort()

    async def _wait_for_turn(self, size_bytes: int) -> None:
        # The lock serves connections in turn, one segment each.
        async with self._turn:
            now_s = asyncio.get_running_loop().time()
            self.received_bytes += size_bytes
            self._free_at_s = (
                max(now_s, self._free_at_s) + size_bytes / self.bytes_per_s
            )
            delay_s = self._free_at_s - now_s
            if delay_s > _TIMER_RESOLUTION_S:
                await asyncio.sleep(delay_s)
