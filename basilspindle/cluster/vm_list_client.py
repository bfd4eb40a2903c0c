"""Fetch the platform's VM list over HTTP."""

import types

import httpx
import msgspec

from basilspindle import clock as clock_module
from basilspindle.cluster import events as cluster_events
from basilspindle.cluster import virtual_machine
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle import json_parts

_NOT_MODIFIED = 304
_MAX_LOGGED_CHARS = 200


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
        '_fault_logged',
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
        # Whether the last list had an entry that cannot be decoded.
        self._fault_logged = False
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

        A list with an ``ETag`` is transferred only if it has changed. A VM
        that cannot be decoded stays as it was in the last list. A new one is
        left out.
        """
        headers = {'If-None-Match': self._etag} if self._etag else {}
        try:
            response = await self._clock.wait_for(
                self._http.get('/v1/vms', headers=headers), self._timeout_ms
            )
            if response.status_code == _NOT_MODIFIED:
                return list(self._cached_vms)
            response.raise_for_status()
            self._cached_vms = self._decode(response.content)
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

    def _decode(self, content: bytes) -> list[virtual_machine.VirtualMachine]:
        try:
            vms = self._decoder.decode(content).vms
        except decoding.FAULTS as fault:
            return self._decode_parts(content, fault)
        self._fault_logged = False
        return vms

    def _decode_parts(
        self, content: bytes, fault: Exception
    ) -> list[virtual_machine.VirtualMachine]:
        parts = json_parts.split_object(content)
        last_by_id = {vm.id: vm for vm in self._cached_vms}
        vms: dict[str, virtual_machine.VirtualMachine] = {}
        some_decoded = some_without_id = False
        for raw in json_parts.split_list(parts.get('vms', b'')):
            vm = _decode_vm(raw)
            some_decoded |= vm is not None
            vm_id = vm.id if vm is not None else _decode_id(raw)
            vm = vm or last_by_id.get(vm_id)
            if vm is not None:
                vms[vm_id] = vm
            some_without_id |= not vm_id
        if not some_decoded:
            # Not a list with an odd entry.
            raise fault
        if some_without_id:
            # Each of the last list that is missing may be the one.
            vms = last_by_id | vms
        if not self._fault_logged:
            # The same list is fetched every 2 s.
            self._fault_logged = True
            events.emit(
                cluster_events.VM_UNREADABLE,
                error=str(fault)[:_MAX_LOGGED_CHARS],
            )
        return list(vms.values())


def _decode_vm(raw: bytes) -> virtual_machine.VirtualMachine | None:
    try:
        return msgspec.json.decode(raw, type=virtual_machine.VirtualMachine)
    except decoding.FAULTS:
        # The caller logs the fault.
        return None


def _decode_id(raw: bytes) -> str:
    """Return the id of a VM, '' if it cannot be decoded."""
    try:
        raw_id = json_parts.split_object(raw).get('id', b'')
        return msgspec.json.decode(raw_id, type=str)
    except decoding.FAULTS:
        return ''
