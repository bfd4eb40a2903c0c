"""Serve the HTTP API with uvicorn in the event loop of the daemon."""

import asyncio
import contextlib
import typing

import uvicorn

_LISTEN_BACKLOG = 2_048
# Longer than load balancers keep idle connections. If the daemon closed them
# first, a request that is being sent at that moment would fail.
_KEEP_ALIVE_S = 75
_START_POLL_S = 0.01


class _Server(uvicorn.Server):
    """A server without signal handlers; the daemon handles signals itself."""

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        yield


class ApiServer:
    """An HTTP server that finishes its open requests when it is closed.

    ``shutdown_timeout_ms`` limits how long closing waits for them.
    """

    __slots__ = ('_server', '_task')

    def __init__(
        self,
        app: typing.Any,
        address: str,
        shutdown_timeout_ms: int,
        *,
        cert_file: str | None = None,
        key_file: str | None = None,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._server = _Server(
            uvicorn.Config(
                app,
                host=host.strip('[]'),
                port=int(port),
                log_config=None,
                access_log=False,
                lifespan='off',
                backlog=_LISTEN_BACKLOG,
                timeout_keep_alive=_KEEP_ALIVE_S,
                timeout_graceful_shutdown=shutdown_timeout_ms // 1000,
                ssl_certfile=cert_file,
                ssl_keyfile=key_file,
            )
        )
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> typing.Self:
        self._task = asyncio.ensure_future(self._server.serve())
        while not self._server.started:
            if self._task.done():
                # uvicorn has stopped, as it does if it cannot bind the
                # address. Awaiting its task raises its own error, if any.
                await self._task
                raise OSError('the API address cannot be bound')
            await asyncio.sleep(_START_POLL_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.should_exit = True
        if self._task is not None:
            await self._task
