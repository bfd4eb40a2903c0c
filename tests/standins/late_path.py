"""Path to a daemon that delivers late what was sent over one connection."""

import asyncio
import contextlib
import typing

_SEGMENT_BYTES = 65_536


class LatePath(contextlib.AsyncExitStack):
    """Carry connections to a target; ``hold`` keeps what clients send.

    What is held from a connection arrives at ``release``, also if the client
    has closed the connection since. Connections made after ``hold`` are not
    affected.
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        self.address = ''
        self._target = target
        self._tasks: set[asyncio.Task[None]] = set()
        # One for each open connection, set while it delivers.
        self._gates: list[asyncio.Event] = []

    async def __aenter__(self) -> typing.Self:
        server = await asyncio.start_server(self._connect, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        self.push_async_callback(self._stop)
        self.callback(server.close)
        return self

    def hold(self) -> None:
        """Keep what clients send over the connections that are open."""
        for gate in self._gates:
            gate.clear()

    def release(self) -> None:
        """Deliver what was kept."""
        for gate in self._gates:
            gate.set()

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        gate = asyncio.Event()
        gate.set()
        self._gates.append(gate)
        host, _, port = self._target.rpartition(':')
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        back = asyncio.ensure_future(self._carry_back(far_reader, writer))
        try:
            await self._carry(reader, far_writer, gate)
        except asyncio.CancelledError:
            # The path is closed; streams log tasks that are cancelled.
            return
        finally:
            back.cancel()
            far_writer.transport.abort()
            writer.transport.abort()
            self._tasks.discard(task)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        held = bytearray()
        with contextlib.suppress(OSError):
            while data := await reader.read(_SEGMENT_BYTES):
                held += data
                if gate.is_set():
                    writer.write(bytes(held))
                    held.clear()
        await gate.wait()
        # The client has closed the connection.
        writer.write(bytes(held))
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    async def _carry_back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_SEGMENT_BYTES):
                if not writer.is_closing():
                    writer.write(data)
