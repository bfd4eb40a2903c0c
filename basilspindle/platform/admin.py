"""Serve metrics and a state dump to operators."""

import typing

import msgspec

from basilspindle.cell import metrics
from basilspindle.cell import node as node_module

_TEXT = b'text/plain; version=0.0.4; charset=utf-8'
_JSON = b'application/json'


class AdminApp:
    """ASGI application that serves ``/metrics`` and ``/state``."""

    __slots__ = ('_node',)

    def __init__(self, node: node_module.Node) -> None:
        self._node = node

    async def __call__(
        self, scope: dict[str, typing.Any], receive: object, send: typing.Any
    ) -> None:
        """Answer one request."""
        if scope['type'] != 'http':
            return
        status, content_type, body = (
            404,
            _JSON,
            b'{"error":"use /metrics or /state"}',
        )
        if scope['path'] == '/metrics':
            status, content_type, body = 200, _TEXT, metrics.render()
        elif scope['path'] == '/state':
            status, body = 200, msgspec.json.encode(self._node.dump())
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
