"""Account for the connections of one or more listeners."""

import asyncio
import typing

from basilspindle.cell import events as cell_events
from basilspindle.cell import metrics
from basilspindle import events
from basilspindle.platform import client_limits

# For so long a connection without a whole request does not give way to a new
# one. It is above the least time to a retransmission, 200 ms, and decides how
# many connections without requests pass through the table in a second.
_GRACE_S = 0.25
# Above the limit, so much is freed that the next bytes need no other search.
_HELD_LOW_DIVISOR = 8


class Connection(typing.Protocol):
    """What a table needs to know of a connection."""

    # Time since which the connection has been at its place in the table.
    since_s: float

    @property
    def held_bytes(self) -> int:
        """Return the estimated memory of the request being received."""

    def abort(self) -> None:
        """Close the connection and drop what was not sent."""


class HeldBytes:
    """Estimate of the memory that requests of all listeners hold."""

    __slots__ = ('max_bytes', 'total_bytes', 'tables')

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.tables: list['ConnectionTable'] = []
        metrics.CLIENT_HELD_BYTES.set_function(lambda: self.total_bytes)

    def add(self, size_bytes: int) -> None:
        """Count bytes, or free them if they are negative."""
        self.total_bytes += size_bytes
        if size_bytes > 0 and self.total_bytes > self.max_bytes:
            self._close_incomplete()

    @property
    def is_full(self) -> bool:
        """Tell whether a new request has to be refused."""
        return self.total_bytes > self.max_bytes

    def _close_incomplete(self) -> None:
        # Nothing of a request that is not complete has been forwarded.
        target_bytes = self.max_bytes - self.max_bytes // _HELD_LOW_DIVISOR
        excess_bytes = self.total_bytes - target_bytes
        found = [
            (connection.since_s, number, connection, table)
            for table in self.tables
            for number, connection in enumerate(table.waiting)
            if connection.held_bytes
        ]
        found.sort(key=lambda each: each[:2])
        for _, _, connection, table in found:
            if excess_bytes <= 0:
                return
            excess_bytes -= connection.held_bytes
            table.close(connection, 'held_bytes')


class ConnectionTable:
    """Connections of one listener and which of them may be closed.

    ``waiting`` has those that have not sent a whole request yet, ``idle``
    those without a request after an earlier one, both with the longest
    there first. A connection with a request in progress is in neither.
    ``refuses`` tells whether requests are refused while too much is held.
    """

    __slots__ = (
        'name',
        'limits',
        'held',
        'waiting',
        'idle',
        'refuses',
        '_max_connections',
        '_open',
        '_loop',
    )

    def __init__(
        self,
        name: str,
        limits: client_limits.ClientLimits,
        held: HeldBytes,
        max_connections: int,
        *,
        refuses: bool,
    ) -> None:
        self.refuses = refuses
        self.name = name
        self.limits = limits
        self.held = held
        self.waiting: dict[Connection, None] = {}
        self.idle: dict[Connection, None] = {}
        self._max_connections = max_connections
        self._open: set[Connection] = set()
        self._loop = asyncio.get_running_loop()
        metrics.CLIENT_CONNECTIONS.labels(name).set_function(
            lambda: len(self._open)
        )
        held.tables.append(self)

    @property
    def is_full(self) -> bool:
        """Tell whether there is no room for another connection."""
        return len(self._open) >= self._max_connections

    def make_room(self) -> bool:
        """Close a connection for another one; false if none may be closed."""
        waiting = next(iter(self.waiting), None)
        if waiting is None or (waiting.since_s > self._loop.time() - _GRACE_S):
            waiting = next(iter(self.idle), None)
        if waiting is not None:
            self.close(waiting, 'connections')
        return waiting is not None

    def add(self, connection: Connection) -> None:
        """Add a new connection."""
        self._open.add(connection)

    def discard(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self._open.discard(connection)

    def close(self, connection: Connection, limit: str) -> None:
        """Close a connection because of a limit."""
        self.report(limit)
        # The transport reports the end later; until then, this one no
        # longer counts.
        self._open.discard(connection)
        self.waiting.pop(connection, None)
        self.idle.pop(connection, None)
        connection.abort()

    def report(self, limit: str, status: int = 0) -> None:
        """Count and log a client that reached a limit.

        ``status`` is that of its response, 0 for a closed connection.
        """
        metrics.CLIENTS_LIMITED.labels(self.name, limit).inc()
        events.emit(
            cell_events.CLIENT_LIMITED,
            listener=self.name,
            limit=limit,
            status=status,
            connections=len(self._open),
            held_bytes=self.held.total_bytes,
        )
