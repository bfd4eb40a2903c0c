"""Simulate the network between daemons, with its faults, in one process."""

import asyncio
import contextlib
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors


class Node:
    """One daemon process on the network.

    ``handlers`` maps each type of request to its handler. ``resumed`` is
    cleared while the process is paused.
    """

    __slots__ = ('address', 'handlers', 'listening', 'resumed')

    def __init__(self, address: str) -> None:
        self.address = address
        self.handlers: dict[type, typing.Callable] = {}
        self.listening = True
        self.resumed = asyncio.Event()
        self.resumed.set()


class Late(typing.NamedTuple):
    """Fate of a request whose connection breaks before it arrives.

    Its caller learns after ``break_ms`` that the connection was lost; the
    request arrives after ``arrive_ms`` all the same, from a buffer.
    """

    break_ms: int
    arrive_ms: int


class PeerNetwork:
    """Network that delivers calls between nodes unless a fault prevents it.

    ``cuts`` holds (source, target) pairs of addresses; all packets from
    source to target are lost. ``lost_replies`` holds (caller, callee) pairs
    whose next reply is lost. ``resets`` holds (source, target) pairs whose
    packets are answered with a reset, as if nothing listened at the target.
    ``draw_late`` returns whether a request is late; it gets the addresses of
    the caller and the callee, and the request. ``late_count`` counts the
    requests that a handler got after their caller had given up on them.
    """

    __slots__ = (
        '_late_tasks',
        'clock',
        'cuts',
        'draw_late',
        'late_count',
        'lost_replies',
        'nodes',
        'resets',
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self.clock = clock
        self.nodes: dict[str, Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.lost_replies: set[tuple[str, str]] = set()
        self.resets: set[tuple[str, str]] = set()
        self.draw_late: typing.Callable[
            [str, str, msgspec.Struct], Late | None
        ] = lambda source, target, request: None
        self.late_count = 0
        self._late_tasks: set[asyncio.Task[None]] = set()

    def add(self, address: str) -> Node:
        """Add a node, which replaces any other at the address."""
        self.nodes[address] = Node(address)
        return self.nodes[address]

    def cut(self, source: str, target: str, both: bool = True) -> None:
        """Lose the packets from source to target, by default both ways."""
        self.cuts.add((source, target))
        if both:
            self.cuts.add((target, source))

    def heal(self) -> None:
        """Remove all cuts."""
        self.cuts.clear()
        self.resets.clear()

    def isolate(self, address: str) -> None:
        """Cut a node off from all others."""
        for other in self.nodes:
            if other != address:
                self.cut(address, other)

    def reset(self, address: str) -> None:
        """Cut a node off from all others with resets."""
        for other in self.nodes:
            if other != address:
                self.resets |= {(address, other), (other, address)}

    async def deliver(
        self, source: Node, target: str, request: msgspec.Struct
    ) -> msgspec.Struct | None:
        """Deliver a request and return the reply, None if refused.

        It never returns if a packet is lost.
        """
        await source.resumed.wait()
        node = self.nodes.get(target)
        if (source.address, target) in self.cuts or node is None:
            await _wait_forever()
        assert node is not None
        if not node.listening or (source.address, target) in self.resets:
            return None
        late = self.draw_late(source.address, target, request)
        if late is not None:
            await self._break(source, node, request, late)
        await node.resumed.wait()
        if not node.listening:
            return None
        reply = await self._answer(node, request)
        await node.resumed.wait()
        if (target, source.address) in self.cuts:
            await _wait_forever()
        if (source.address, target) in self.lost_replies:
            self.lost_replies.discard((source.address, target))
            await _wait_forever()
        await source.resumed.wait()
        return reply

    async def _break(
        self,
        source: Node,
        node: Node,
        request: msgspec.Struct,
        late: Late,
    ) -> typing.NoReturn:
        """Lose the connection of a request that arrives late."""
        task = asyncio.ensure_future(
            self._arrive_late(node, request, late.arrive_ms)
        )
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)
        await self.clock.sleep_ms(late.break_ms)
        await source.resumed.wait()
        raise errors.PeerOutcomeUnknown('the connection was lost; try again')

    async def _arrive_late(
        self, node: Node, request: msgspec.Struct, arrive_ms: int
    ) -> None:
        await self.clock.sleep_ms(arrive_ms)
        await node.resumed.wait()
        if not node.listening:
            return
        self.late_count += 1
        with contextlib.suppress(errors.BasilspindleError):
            await self._answer(node, request)

    async def close(self) -> None:
        """Drop the requests that have not arrived."""
        tasks = list(self._late_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _answer(
        self, node: Node, request: msgspec.Struct
    ) -> msgspec.Struct:
        handler = node.handlers.get(type(request))
        if handler is None:
            raise errors.NotReady('no handler for this request; try again')
        task = asyncio.ensure_future(handler(_copy(request)))
        task.add_done_callback(_retrieve_exception)
        return await asyncio.shield(task)


class NetworkClient:
    """Client with the interface of ``peer.PeerClient``."""

    __slots__ = ('_clock', '_network', '_node', '_refused')

    def __init__(
        self, network: PeerNetwork, node: Node, clock: clock_module.Clock
    ) -> None:
        self._network = network
        self._node = node
        self._clock = clock
        self._refused: set[str] = set()

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Return the reply; raises as ``peer.PeerClient`` does."""
        self._refused.discard(address)
        try:
            reply = await self._clock.wait_for(
                self._network.deliver(self._node, address, request),
                timeout_ms,
            )
        except errors.DeadlineExceeded:
            raise errors.PeerOutcomeUnknown(
                'the peer did not answer; try again'
            ) from None
        if reply is None:
            self._refused.add(address)
            raise errors.PeerUnavailable(
                'the peer refused the connection; try again'
            )
        return reply

    def refused(self, address: str) -> bool:
        """Tell whether the last call to an address was refused."""
        return address in self._refused

    def lost(self, address: str) -> bool:
        """Tell whether the peer has ended and no cut hides that."""
        node = self._network.nodes.get(address)
        if (self._node.address, address) in self._network.resets:
            return True
        hidden = (address, self._node.address) in self._network.cuts
        return node is not None and not node.listening and not hidden

    def drop(self, address: str) -> None:
        """Forget an address."""
        self._refused.discard(address)


def _copy(message: msgspec.Struct) -> msgspec.Struct:
    # Encodes the message, so that caller and handler share no objects.
    data = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(data, type=type(message))


def _retrieve_exception(task: asyncio.Task[msgspec.Struct]) -> None:
    # Without a caller that waits, asyncio would report it as unhandled.
    if not task.cancelled():
        task.exception()


async def _wait_forever() -> None:
    await asyncio.get_running_loop().create_future()
