"""Poll the platform's VM list and keep the last known one."""

import asyncio
import collections.abc
import types
import typing

from basilspindle import clock as clock_module
from basilspindle.cluster import events as cluster_events
from basilspindle.cluster import log_and_suppress
from basilspindle.cluster import virtual_machine
from basilspindle import errors
from basilspindle import events

_POLL_MS = 2_000


class VmSource(typing.Protocol):
    """Fetch the current list of VMs."""

    async def fetch(self) -> list[virtual_machine.VirtualMachine]:
        """Return all VMs; raises ``VmListUnavailable``."""


class VmList:
    """Poll the VM list; keep the last known one during an outage."""

    __slots__ = (
        '_clock',
        '_fetched_at_ms',
        '_listeners',
        '_poll_ms',
        '_source',
        '_task',
        '_vms',
    )

    def __init__(
        self,
        source: VmSource,
        clock: clock_module.Clock,
        poll_ms: int = _POLL_MS,
    ) -> None:
        self._source = source
        self._clock = clock
        self._poll_ms = poll_ms
        self._vms: dict[str, virtual_machine.VirtualMachine] = {}
        self._fetched_at_ms: int | None = None
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> 'VmList':
        self._task = asyncio.ensure_future(self._poll())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def fetched_at_ms(self) -> int | None:
        """Return when the last answered fetch was sent, None if none."""
        return self._fetched_at_ms

    def vms(self) -> list[virtual_machine.VirtualMachine]:
        """Return the last known list."""
        return list(self._vms.values())

    def entry_vms(self) -> list[virtual_machine.VirtualMachine]:
        """Return the VMs that run daemons."""
        return self._with_role(virtual_machine.Role.ENTRY)

    def workers(self) -> list[virtual_machine.VirtualMachine]:
        """Return the VMs that run tasks."""
        return self._with_role(virtual_machine.Role.WORKER)

    def get(self, vm_id: str) -> virtual_machine.VirtualMachine | None:
        """Return a VM by id."""
        return self._vms.get(vm_id)

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call a function after each change of the list."""
        self._listeners.append(listener)

    async def refresh(self) -> bool:
        """Fetch the list now; return whether the fetch was answered."""
        sent_ms = self._clock.now_ms()
        try:
            vms = await self._source.fetch()
        except errors.VmListUnavailable as error:
            events.emit(cluster_events.VM_LIST_SILENT, error=error.message)
            return False
        if self._fetched_at_ms is None or sent_ms >= self._fetched_at_ms:
            self._fetched_at_ms = sent_ms
            self._replace(vms)
        return True

    def _with_role(
        self, role: virtual_machine.Role
    ) -> list[virtual_machine.VirtualMachine]:
        return [vm for vm in self._vms.values() if vm.role is role]

    def _replace(self, vms: list[virtual_machine.VirtualMachine]) -> None:
        current = {vm.id: vm for vm in vms}
        if current == self._vms:
            return
        self._vms = current
        log_and_suppress.call_listeners(self._listeners)

    async def _poll(self) -> None:
        while True:
            with log_and_suppress.LogAndSuppress('VM list'):
                await self.refresh()
            await self._clock.sleep_ms(self._poll_ms)
