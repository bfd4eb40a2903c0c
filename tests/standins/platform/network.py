"""Stand-in for a network in which machines can be cut off from each other."""

import asyncio
import collections.abc
import contextlib
import ctypes
import re
import socket
import struct
import time
import typing

from tests.standins.platform import server as server_module

# Name of the machine of the store.
STORE = 'store'
_SEGMENT_BYTES = 65_536
# Segments of one direction of a connection that a cut holds; senders wait
# beyond that, as for a full socket buffer.
_QUEUED_SEGMENTS = 32
_TARGET_POLL_S = 0.05
# All ports of stand-ins and daemons have five digits, so that an address can
# be replaced without a change of the length of what holds it.
_ADDRESS = re.compile(rb'127\.0\.0\.1:(\d{5})')
# Options of Linux sockets that the socket module has no names for, and the
# instruction of a packet filter that returns how many bytes to keep.
_SO_ATTACH_FILTER = 26
_SO_DETACH_FILTER = 27
_RETURN_CONSTANT = 0x06


def _set_packet_loss(sock: socket.socket, is_lost: bool) -> None:
    """Have the kernel drop all packets that arrive for a socket, or none.

    The kernel of the sender sends again what is lost, also for a connection
    that has been closed.
    """
    if sock.fileno() < 0:
        return
    if not is_lost:
        with contextlib.suppress(FileNotFoundError):
            # It has no filter.
            sock.setsockopt(socket.SOL_SOCKET, _SO_DETACH_FILTER, 0)
        return
    instruction = ctypes.create_string_buffer(
        struct.pack('HBBI', _RETURN_CONSTANT, 0, 0, 0)
    )
    program = struct.pack('HxxxxxxP', 1, ctypes.addressof(instruction))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


class _Gate:
    """One direction of a path; holds what is sent while a cut lasts."""

    __slots__ = ('_is_open', '_late_s', '_late_until_s')

    def __init__(self) -> None:
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._late_s = 0.0
        self._late_until_s = 0.0

    @property
    def is_open(self) -> bool:
        return self._is_open.is_set()

    def set_cuts(self, cuts: list['Cut']) -> None:
        """Set the cuts that hold in this direction."""
        self._late_s = max((self._late_s, *(cut.late_s for cut in cuts)))
        if cuts:
            self._is_open.clear()
        elif not self.is_open:
            self._late_until_s = time.monotonic() + self._late_s
            self._late_s = 0.0
            self._is_open.set()

    async def wait_open(self) -> None:
        """Wait until no cut holds."""
        await self._is_open.wait()

    async def pass_on(self) -> None:
        """Wait until what was read may be delivered."""
        while not self.is_open:
            await self._is_open.wait()
            await asyncio.sleep(self._late_until_s - time.monotonic())


class _Path:
    """Way from one machine to the server of another one."""

    __slots__ = (
        '_back',
        '_client_sockets',
        '_drops_client',
        '_drops_far',
        '_far_sockets',
        '_forward',
        '_holder',
        '_is_down',
        '_is_refused',
        '_listening',
        '_server',
        '_target_wait',
        '_tasks',
        'address',
        'target',
    )

    def __init__(self, target: str) -> None:
        self.target = target
        # Holds the port while nothing listens there.
        self._holder = server_module.hold_port()
        host, port = self._holder.getsockname()
        self.address = f'{host}:{port}'
        self._server: asyncio.Server | None = None
        self._forward = _Gate()
        self._back = _Gate()
        self._is_refused = False
        # Sockets of the connections, by the end whose packets they take.
        self._client_sockets: set[socket.socket] = set()
        self._far_sockets: set[socket.socket] = set()
        self._drops_client = False
        self._drops_far = False
        # Whether the target refuses connections.
        self._is_down = False
        self._target_wait: asyncio.Task[None] | None = None
        # Cuts may begin and end while another one is being healed.
        self._listening = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        """Accept connections unless they are to be refused."""
        async with self._listening:
            if self._server is None and not self._refuses:
                host, _, port = self.address.rpartition(':')
                self._server = await asyncio.start_server(
                    self._connect, host, int(port), limit=_SEGMENT_BYTES
                )
                self._filter_packets()
                if self._refuses:
                    self._stop_listening()

    @property
    def _refuses(self) -> bool:
        return self._is_refused or self._is_down

    def set_cuts(
        self, forward_cuts: list['Cut'], back_cuts: list['Cut']
    ) -> None:
        """Set the cuts that hold; listen() has to follow when one ends."""
        self._forward.set_cuts(forward_cuts)
        self._back.set_cuts(back_cuts)
        cuts = [*forward_cuts, *back_cuts]
        self._is_refused = any(cut.resets for cut in cuts)
        self._drops_client = any(cut.drops for cut in forward_cuts)
        self._drops_far = any(cut.drops for cut in back_cuts)
        self._filter_packets()
        if self._is_refused:
            self._refuse()

    def _filter_packets(self) -> None:
        # A part of the handshake is lost in either direction.
        drops_any = self._drops_client or self._drops_far
        for sock in self._server.sockets if self._server is not None else ():
            _set_packet_loss(sock, drops_any)
        for sock in self._client_sockets:
            _set_packet_loss(sock, self._drops_client)
        for sock in self._far_sockets:
            _set_packet_loss(sock, self._drops_far)

    async def close(self) -> None:
        tasks = self._refuse()
        if self._target_wait is not None:
            self._target_wait.cancel()
            tasks.append(self._target_wait)
        await asyncio.gather(*tasks, return_exceptions=True)
        self._holder.close()

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def _refuse(self) -> list[asyncio.Task[None]]:
        self._stop_listening()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        client = writer.get_extra_info('socket')
        self._client_sockets.add(client)
        # It has the filter that the listening socket had at the handshake.
        _set_packet_loss(client, self._drops_client)
        try:
            await self._carry_both(reader, writer)
        except OSError:
            # Either end has closed the connection or refuses it.
            pass
        except asyncio.CancelledError:
            # The path is closed; streams log tasks that are cancelled.
            return
        finally:
            self._tasks.discard(task)
            self._client_sockets.discard(client)
            writer.transport.abort()

    async def _carry_both(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Each direction carries a part of the handshake.
        while not (self._forward.is_open and self._back.is_open):
            await self._forward.wait_open()
            await self._back.wait_open()
        try:
            far_reader, far_writer = await self._connect_to_target()
        except ConnectionRefusedError:
            # A caller tells a connection that is refused from one that is
            # accepted and closed.
            if not self._is_down:
                self._is_down = True
                self._stop_listening()
                self._target_wait = asyncio.ensure_future(
                    self._wait_for_target()
                )
            raise
        forward = asyncio.ensure_future(
            self._carry(reader, far_writer, self._forward)
        )
        back = asyncio.ensure_future(
            self._carry(far_reader, writer, self._back)
        )
        both = [forward, back]
        far = far_writer.get_extra_info('socket')
        self._far_sockets.add(far)
        _set_packet_loss(far, self._drops_far)
        try:
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if not forward.done() and back.exception() is not None:
                # The client has gone. What it sent before arrives all the
                # same.
                await asyncio.wait([forward])
            if forward.done() and forward.exception() is None:
                far_writer.close()
                await far_writer.wait_closed()
        finally:
            # First, as this task may be cancelled once more.
            self._far_sockets.discard(far)
            far_writer.transport.abort()
            for each in both:
                each.cancel()
            await asyncio.gather(*both, return_exceptions=True)

    async def _connect_to_target(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.target.rpartition(':')
        return await asyncio.open_connection(
            host, int(port), limit=_SEGMENT_BYTES
        )

    async def _wait_for_target(self) -> None:
        while self._is_down:
            await asyncio.sleep(_TARGET_POLL_S)
            try:
                _, writer = await self._connect_to_target()
            except OSError:
                continue
            writer.transport.abort()
            self._is_down = False
        await self.listen()

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: _Gate,
    ) -> None:
        segments: asyncio.Queue[bytes] = asyncio.Queue(_QUEUED_SEGMENTS)
        reading = asyncio.ensure_future(self._read(reader, segments))
        try:
            while data := await segments.get():
                # What is sent during a silent cut arrives once it has healed,
                # as the kernel sends it again.
                await gate.pass_on()
                writer.write(data)
                await writer.drain()
        finally:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)

    async def _read(
        self, reader: asyncio.StreamReader, segments: asyncio.Queue[bytes]
    ) -> None:
        # Ahead of the delivery: a stream that is reset loses what it has not
        # handed out.
        try:
            while data := await reader.read(_SEGMENT_BYTES):
                await segments.put(data)
        except OSError:
            # The end of the stream, as for one that is closed.
            pass
        await segments.put(b'')


class Cut:
    """Cut of all paths between two groups of machines.

    ``senders`` are the machines whose messages it holds. What they send while
    it lasts arrives ``late_s`` after its end. If it ``drops``, the kernels of
    the machines lose the packets and send them again.
    """

    __slots__ = ('drops', 'late_s', 'pairs', 'resets', 'senders')

    def __init__(
        self,
        pairs: frozenset[frozenset[str]],
        resets: bool,
        senders: frozenset[str],
        late_s: float,
        drops: bool,
    ) -> None:
        self.drops = drops
        self.pairs = pairs
        self.resets = resets
        self.senders = senders
        self.late_s = late_s


class Network(contextlib.AsyncExitStack):
    """Network with a path from each machine to each server.

    Machines are named; a machine may have several servers. The store has to
    ``translate`` what a machine reads and ``restore`` what it writes, so that
    machines learn the addresses of their own paths only.
    """

    def __init__(self) -> None:
        super().__init__()
        self._names: dict[str, str] = {}
        self._paths: dict[tuple[str, str], _Path] = {}
        self._targets: dict[str, str] = {}
        # May overlap: a path is open once the last cut of its pair of
        # machines has ended.
        self._cuts: list[Cut] = []

    def add(self, name: str, address: str) -> None:
        """Add a server of a machine."""
        self._names[address] = name

    async def path(self, machine: str, address: str) -> str:
        """Return the address at which a machine reaches a server."""
        key = (machine, address)
        if key not in self._paths:
            path = self._paths[key] = _Path(address)
            self._targets[path.address] = address
            self.push_async_callback(path.close)
            self._set_path_cuts(path, machine, self._names[address])
        path = self._paths[key]
        await path.listen()
        return path.address

    async def translate(self, machine: str, value: bytes) -> bytes:
        """Replace the addresses of other machines by those of the paths."""
        parts = []
        end = 0
        for match in _ADDRESS.finditer(value):
            address = match[0].decode()
            if self._names.get(address, machine) == machine:
                continue
            path = await self.path(machine, address)
            parts += [value[end : match.start()], path.encode()]
            end = match.end()
        return b''.join([*parts, value[end:]])

    def restore(self, value: bytes) -> bytes:
        """Replace the addresses of paths by those of their servers."""

        def replace(match: re.Match[bytes]) -> bytes:
            address = match[0].decode()
            return self._targets.get(address, address).encode()

        return _ADDRESS.sub(replace, value)

    def is_cut(self, machine: str, other: str) -> bool:
        """Return whether a cut holds between two machines, either way."""
        return bool(self._find_cuts(machine, other))

    def _find_cuts(self, machine: str, other: str) -> list[Cut]:
        pair = frozenset((machine, other))
        return [cut for cut in self._cuts if pair in cut.pairs]

    def cut(
        self,
        machines: collections.abc.Iterable[str],
        others: collections.abc.Iterable[str],
        resets: bool = False,
        one_way: bool = False,
        late_s: float = 0.0,
        drops: bool = False,
    ) -> Cut:
        """Cut all paths between two groups of machines.

        With ``one_way``, only what ``machines`` send is held, and no new
        connection between the groups is made. What is sent over connections
        that are open at the cut arrives ``late_s`` after it has healed, also
        if the sender has closed them meanwhile; other connections are not
        late. With ``drops``, packets are lost as on a network: connections are
        not set up, and the kernel of the sender sends again what was lost.
        """
        machines = list(machines)
        others = list(others)
        cut = Cut(
            frozenset(
                frozenset((machine, other))
                for machine in machines
                for other in others
            ),
            resets,
            frozenset(machines if one_way else (*machines, *others)),
            late_s,
            drops,
        )
        self._cuts.append(cut)
        self._set_cuts([cut])
        return cut

    async def heal(self, cut: Cut | None = None) -> None:
        """End one cut, or all of them."""
        ended = [each for each in self._cuts if cut in (None, each)]
        self._cuts = [each for each in self._cuts if each not in ended]
        paths = self._set_cuts(ended)
        await asyncio.gather(*(path.listen() for path in paths))

    def _set_cuts(self, changed: list[Cut]) -> list[_Path]:
        """Set the cuts of the paths that a change concerns."""
        paths = []
        for (machine, address), path in self._paths.items():
            other = self._names[address]
            pair = frozenset((machine, other))
            if any(pair in cut.pairs for cut in changed):
                self._set_path_cuts(path, machine, other)
                paths.append(path)
        return paths

    def _set_path_cuts(self, path: _Path, machine: str, other: str) -> None:
        cuts = self._find_cuts(machine, other)
        path.set_cuts(
            [cut for cut in cuts if machine in cut.senders],
            [cut for cut in cuts if other in cut.senders],
        )

    async def __aenter__(self) -> typing.Self:
        return self
