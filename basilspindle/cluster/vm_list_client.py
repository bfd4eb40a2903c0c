"""Fetch the platform's VM list over HTTP."""

import types

import httpx
import msgspec

from basilspindle import clock as clock_module
from basilspindle.cluster import virtual_machine
from basilspindle import decoding
from basilspindle import errors

_NOT_MODIFIED = 304


class _VmListBody(msgspec.Struct):
    """Body of the response to ``GET /v1/vms``."""

    vms: list[virtual_machine.VirtualMachine]


class VmListClient:
    """Fetch the VM list from the platform's HTTP API.

    ``url`` is the base URL, without ``/v1/vms``. Tests pass a
    ``transport`` to replace the network.
    """

    __slots__ = (
        '_cached_vms',
        '_clock',
        '_decoder',
        '_etag',
        '_http',
        '_timeout_ms',
    )

    def __init__(
        self,
        url: str,
        *,
        clock: clock_module.Clock,
        timeout_ms: int = 2_000,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._clock = clock
        self._timeout_ms = timeout_ms
        self._decoder = msgspec.json.Decoder(_VmListBody)
        self._etag = ''
        self._cached_vms: list[virtual_machine.VirtualMachine] = []
        self._http = httpx.AsyncClient(
            base_url=url, timeout=None, transport=transport, trust_env=False
        )

    async def __aenter__(self) -> 'VmListClient':
        await self._http.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._http.__aexit__(kind, error, trace)

    async def fetch(self) -> list[virtual_machine.VirtualMachine]:
        """Return all VMs; raises ``VmListUnavailable``.

        A list with an ``ETag`` is transferred only if it has changed.
        """
        headers = {'If-None-Match': self._etag} if self._etag else {}
        try:
            response = await self._clock.wait_for(
                self._http.get('/v1/vms', headers=headers), self._timeout_ms
            )
            if response.status_code == _NOT_MODIFIED:
                return list(self._cached_vms)
            response.raise_for_status()
            self._cached_vms = self._decoder.decode(response.content).vms
            self._etag = response.headers.get('etag', '')
            return list(self._cached_vms)
        except (
            httpx.HTTPError,
            *decoding.FAULTS,
            errors.DeadlineExceeded,
        ) as error:
            reason = str(error) or type(error).__name__
            raise errors.VmListUnavailable(
                f'fetching the VM list failed: {reason}; the last known list '
                'stays in use'
            ) from None
