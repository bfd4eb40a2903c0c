"""Serve HTTP with uvicorn's protocol class, without its server loop."""

import asyncio
import socket
import typing

import uvicorn
from uvicorn import server as uvicorn_server

from basilspindle.cell import events as cell_events
from basilspindle import events
from basilspindle.platform import client_limits
from basilspindle.platform import connection_table
from basilspindle.platform import guarded_protocol

_BACKLOG = 1_024
# Descriptors of a process whose settings do not tell.
_MAX_DESCRIPTORS = 4_096
# Connections that are accepted before others are read again.
_MAX_ACCEPTS = 16
# Time until the next try when there is no room or no descriptor. Connections
# wait in the backlog of the system meanwhile.
_ACCEPT_PAUSE_S = 0.02
# Buffers of the system for each connection, which would otherwise grow to
# several megabytes. The system doubles the value, to about what connections
# begin with.
_SOCKET_BUFFER_BYTES = 65_536
# Long, as the load balancer and callers close idle connections themselves.
_KEEP_ALIVE_TIMEOUT_S = 75


class Listener:
    """HTTP listener that serves an ASGI application on an address."""

    __slots__ = (
        '_address',
        '_table',
        '_config',
        '_state',
        '_socket',
        '_loop',
        '_accept_tasks',
        '_pause_timer',
    )

    def __init__(
        self,
        app: typing.Any,
        address: str,
        table: connection_table.ConnectionTable | None = None,
    ) -> None:
        self._address = address
        self._table = table or _make_table()
        self._config = uvicorn.Config(
            app,
            http='httptools',
            loop='asyncio',
            lifespan='off',
            ws='none',
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
        )
        self._state = uvicorn_server.ServerState()
        self._socket: socket.socket | None = None
        self._loop = asyncio.get_running_loop()
        self._accept_tasks: set[asyncio.Task[typing.Any]] = set()
        self._pause_timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> typing.Self:
        self._config.load()
        host, _, port = self._address.rpartition(':')
        host = host.strip('[]')
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        self._socket = socket.create_server(
            (host, int(port)), family=family, backlog=_BACKLOG
        )
        self._socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(
                socket.SOL_SOCKET, option, _SOCKET_BUFFER_BYTES
            )
        # Accepted sockets inherit it; asyncio sets it only on sockets that it
        # creates. Without it, each response waits for a delayed
        # acknowledgement.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._loop.add_reader(self._socket, self._accept)
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        if self._socket is not None:
            self._loop.remove_reader(self._socket)
            self._socket.close()
        for task in self._accept_tasks:
            task.cancel()
        for connection in list(self._state.connections):
            connection.shutdown()

    @property
    def port(self) -> int:
        """Return the port of the open listener."""
        assert self._socket is not None
        return int(self._socket.getsockname()[1])

    def _accept(self) -> None:
        """Accept connections as long as there is room for them."""
        assert self._socket is not None
        for number in range(_MAX_ACCEPTS):
            if self._table.is_full:
                if number:
                    # Perhaps no other connection waits.
                    return
                if not self._table.make_room():
                    self._pause()
                    return
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            except OSError as error:
                # Without a descriptor, the connection stays in the backlog.
                events.emit(
                    cell_events.ACCEPT_FAILED,
                    listener=self._table.name,
                    error=str(error),
                )
                self._table.make_room()
                self._pause()
                return
            accepted.setblocking(False)
            protocol = guarded_protocol.GuardedProtocol(
                self._config, self._state, self._table
            )
            task = self._loop.create_task(self._open(accepted, protocol))
            self._accept_tasks.add(task)
            task.add_done_callback(self._accept_tasks.discard)

    async def _open(
        self,
        accepted: socket.socket,
        protocol: guarded_protocol.GuardedProtocol,
    ) -> None:
        try:
            await self._loop.connect_accepted_socket(
                lambda: protocol, accepted
            )
        except BaseException:
            accepted.close()
            self._table.discard(protocol)
            raise

    def _pause(self) -> None:
        assert self._socket is not None
        self._loop.remove_reader(self._socket)
        self._pause_timer = self._loop.call_later(
            _ACCEPT_PAUSE_S,
            self._loop.add_reader,
            self._socket,
            self._accept,
        )


def _make_table() -> connection_table.ConnectionTable:
    """Return a table with the limits of settings that set none."""
    limits = client_limits.ClientLimits(
        client_limits.ClientSettings(), _MAX_DESCRIPTORS, 0
    )
    return connection_table.ConnectionTable(
        'callers',
        limits,
        connection_table.HeldBytes(limits.max_held_bytes),
        limits.max_connections,
        refuses=True,
    )
