"""Serve HTTP with uvicorn's protocol class, without its server loop."""

import asyncio
import typing

import uvicorn
from uvicorn.protocols.http import httptools_impl
from uvicorn import server as uvicorn_server

_BACKLOG = 1_024
# Long, as the load balancer and callers close idle connections themselves.
_KEEP_ALIVE_TIMEOUT_S = 75


class Listener:
    """HTTP listener that serves an ASGI application on an address."""

    __slots__ = ('_app', '_address', '_server', '_state')

    def __init__(self, app: typing.Any, address: str) -> None:
        self._app = app
        self._address = address
        self._server: asyncio.Server | None = None
        self._state = uvicorn_server.ServerState()

    async def __aenter__(self) -> typing.Self:
        config = uvicorn.Config(
            self._app,
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
        config.load()
        host, _, port = self._address.rpartition(':')
        self._server = await asyncio.get_running_loop().create_server(
            lambda: httptools_impl.HttpToolsProtocol(
                config=config, server_state=self._state, app_state={}
            ),
            host,
            int(port),
            backlog=_BACKLOG,
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._server is not None:
            self._server.close()
        for connection in list(self._state.connections):
            connection.shutdown()
