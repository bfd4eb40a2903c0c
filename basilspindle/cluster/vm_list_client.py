"""Read the platform's VM list."""

import types

import httpx
import msgspec

from basilspindle import clock as clock_module
from basilspindle.cluster import virtual_machine
from basilspindle import errors

_NOT_MODIFIED = 304


class _Body(msgspec.Struct):
    """Body of the answer to ``GET /v1/vms``."""

    vms: list[virtual_machine.VirtualMachine]


class VmListClient:
    """Fetch the list over HTTP.

    ``url`` is the base, without ``/v1/vms``. ``transport`` replaces the
    network in tests.
    """

    __slots__ = (
        '_clock',
        '_decoder',
        '_http',
        '_known',
        '_tag',
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
        self._decoder = msgspec.json.Decoder(_Body)
        self._tag = ''
        self._known: list[virtual_machine.VirtualMachine] = []
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

        A list with an ``ETag`` is transferred only when it has changed.
        """
        headers = {'If-None-Match': self._tag} if self._tag else {}
        try:
            answer = await self._clock.wait_ms(
                self._http.get('/v1/vms', headers=headers), self._timeout_ms
            )
            if answer.status_code == _NOT_MODIFIED:
                return list(self._known)
            answer.raise_for_status()
            self._known = self._decoder.decode(answer.content).vms
            self._tag = answer.headers.get('etag', '')
            return list(self._known)
        except (
            httpx.HTTPError,
            msgspec.MsgspecError,
            errors.DeadlineExceeded,
        ) as error:
            reason = str(error) or type(error).__name__
            raise errors.VmListUnavailable(
                f'the VM list did not answer: {reason}; the last known list '
                'stays in use'
            ) from None
