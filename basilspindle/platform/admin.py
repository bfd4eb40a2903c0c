"""Serve metrics, a state dump and dry runs to operators."""

import typing

import msgspec

from basilspindle.cell import metrics
from basilspindle.cell import node as node_module
from basilspindle import clock as clock_module
from basilspindle.platform import dry_run

_TEXT = b'text/plain; version=0.0.4; charset=utf-8'
_JSON = b'application/json'


class AdminApp:
    """ASGI application that serves ``/metrics``, ``/state``, ``/dry-run``."""

    __slots__ = ('_node', '_dry_runs')

    def __init__(
        self, node: node_module.Node, clock: clock_module.Clock
    ) -> None:
        self._node = node
        self._dry_runs = dry_run.DryRuns(node, clock)

    async def __call__(
        self,
        scope: dict[str, typing.Any],
        receive: typing.Any,
        send: typing.Any,
    ) -> None:
        """Answer one request."""
        if scope['type'] != 'http':
            return
        status, content_type, body = (
            404,
            _JSON,
            b'{"error":"use /metrics, /state or /dry-run"}',
        )
        if scope['path'] == '/metrics':
            status, content_type, body = 200, _TEXT, metrics.render()
        elif scope['path'] == '/state':
            status, body = 200, msgspec.json.encode(self._node.dump())
        elif scope['path'] == dry_run.PATH:
            status, body = await self._dry_runs.answer(scope, receive)
        headers = [
            (b'content-type', content_type),
            (b'content-length', str(len(body)).encode()),
        ]
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': body})
