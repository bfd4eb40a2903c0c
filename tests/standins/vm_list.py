"""Stand in for the VM list service, with a lag and outages.

``python -m tests.standins.vm_list --port N --file F`` serves the list in
file F. ``POST /vms`` replaces the list; ``POST /faults`` sets ``lag_ms``
and ``outage`` ('', 'error' or 'silent').
"""

import asyncio
import hashlib
import pathlib
import typing

import click
import msgspec
import uvicorn

from basilspindle import clock as clock_module


class Faults(msgspec.Struct, frozen=True):
    """Active faults.

    A replaced list becomes visible after ``lag_ms``. In an ``outage``,
    fetches fail ('error') or are never answered ('silent').
    """

    lag_ms: int = 0
    outage: typing.Literal['', 'error', 'silent'] = ''


class StandinVmList:
    """VM list service as an ASGI application; ``fetches`` counts fetches."""

    __slots__ = ('_clock', '_versions', 'faults', 'fetches')

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._versions: list[tuple[int, list[dict]]] = [(-(1 << 62), [])]
        self.faults = Faults()
        self.fetches = 0

    def replace(self, vms: list[dict]) -> None:
        """Replace the list; the new one becomes visible after the lag."""
        self._versions.append((self._clock.now_ms(), vms))

    def visible(self) -> list[dict]:
        """Return the list that is visible now."""
        until_ms = self._clock.now_ms() - self.faults.lag_ms
        visible = [
            vms for since_ms, vms in self._versions if since_ms <= until_ms
        ]
        return visible[-1]

    async def __call__(
        self,
        scope: typing.Any,
        receive: typing.Callable,
        send: typing.Callable,
    ) -> None:
        """Handle one HTTP request."""
        if scope['type'] != 'http':
            return
        body = await _read_body(receive)
        status, answer = await self._answer(
            scope['method'], scope['path'], body
        )
        content = msgspec.json.encode(answer)
        etag = b'"%s"' % hashlib.sha256(content).hexdigest()[:16].encode()
        if status == 200 and (b'if-none-match', etag) in scope['headers']:
            status, content = 304, b''
        headers = [(b'content-type', b'application/json'), (b'etag', etag)]
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': content})

    async def _answer(
        self, method: str, path: str, body: bytes
    ) -> tuple[int, dict]:
        if (method, path) == ('GET', '/v1/vms'):
            return await self._list()
        if (method, path) == ('POST', '/vms'):
            self.replace(msgspec.json.decode(body)['vms'])
            return 200, {}
        if (method, path) == ('POST', '/faults'):
            self.faults = msgspec.json.decode(body, type=Faults)
            return 200, {}
        return 404, {}

    async def _list(self) -> tuple[int, dict]:
        self.fetches += 1
        if self.faults.outage == 'silent':
            await asyncio.Event().wait()
        if self.faults.outage == 'error':
            return 503, {}
        return 200, {'vms': self.visible()}


async def _read_body(receive: typing.Callable) -> bytes:
    body = b''
    while True:
        message = await receive()
        body += message.get('body', b'')
        if not message.get('more_body'):
            return body


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--file', 'path', type=pathlib.Path, required=True)
@click.option('--lag-ms', type=int, default=0)
def main(port: int, path: pathlib.Path, lag_ms: int) -> None:
    """Serve the list in a file until stopped."""
    standin = StandinVmList(clock_module.Clock())
    standin.replace(msgspec.json.decode(path.read_bytes())['vms'])
    standin.faults = Faults(lag_ms)
    uvicorn.run(standin, host='127.0.0.1', port=port, log_level='warning')


if __name__ == '__main__':
    main()
