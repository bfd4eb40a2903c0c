"""Call the HTTP interface of one worker."""

import types
import typing
import urllib.parse

import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.fleet import connection
from basilspindle.fleet import event_page
from basilspindle.fleet import lease_grant
from basilspindle.fleet import task_spec
from basilspindle.fleet import worker_inventory
from basilspindle import model

# The poll has a connection of its own. Two successive holders and 8 lease
# calls fit into the 64 connections of a worker.
_CALL_CONNECTIONS = 27
_POLL_CONNECTIONS = 1
_ACCEPTED = 300
_SERVER_FAULT = 500
_CONFLICT = 409

_T = typing.TypeVar('_T')


class _Refusal(msgspec.Struct):
    kind: str = 'refused'
    message: str = ''
    holder: str = ''
    remaining_ms: int = 0


class WorkerClient:
    """Speak to one worker over at most 28 connections.

    Every method raises ``StaleEpoch`` if the epoch is not the live one,
    ``WorkerRefused`` if the worker refused otherwise (no effect),
    ``WorkerUnavailable`` if the call certainly did not reach it, and
    ``WorkerOutcomeUnknown`` if it was sent and the answer was lost.
    """

    __slots__ = ('address', '_calls', '_polls', '_call_ms', '_silent_ms')

    def __init__(
        self,
        address: str,
        clock: clock_module.Clock,
        *,
        transport: connection.TransportFactory | None = None,
        call_ms: int = 1_000,
        silent_ms: int = 1_000,
    ) -> None:
        self.address = address
        self._call_ms = call_ms
        self._silent_ms = silent_ms
        self._calls = connection.Connection(
            address, clock, _CALL_CONNECTIONS, transport
        )
        self._polls = connection.Connection(
            address, clock, _POLL_CONNECTIONS, transport
        )

    async def __aenter__(self) -> 'WorkerClient':
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self.reset()

    async def reset(self) -> None:
        """Close all connections; later calls open new ones."""
        await self._polls.close()
        await self._calls.close()

    async def lease(
        self, holder: str, ttl_ms: int, epoch: int
    ) -> lease_grant.LeaseGrant:
        """Request a lease (epoch 0) or renew the one of an epoch.

        Also raises ``LeaseHeld`` while another holder's lease lives.
        """
        body = {'holder': holder, 'ttl_ms': ttl_ms, 'epoch': epoch}
        answer = await self._post('/v1/lease', body)
        return self._decode(answer, lease_grant.LeaseGrant)

    async def start(
        self,
        epoch: int,
        order: model.TaskOrder,
        guard: connection.Guard | None = None,
    ) -> None:
        """Start one attempt of a task.

        ``guard`` runs immediately before the request is sent; what it
        raises means that nothing was sent.
        """
        body = {'epoch': epoch, 'task': task_spec.TaskSpec.from_order(order)}
        await self._post('/v1/tasks', body, guard)

    async def stop(self, epoch: int, task_id: str) -> None:
        """Stop a task; its end is reported as an event."""
        await self._act(epoch, task_id, 'stop')

    async def checkpoint(self, epoch: int, task_id: str) -> None:
        """Ask a task to write a checkpoint."""
        await self._act(epoch, task_id, 'checkpoint')

    async def throttle(self, epoch: int, task_id: str) -> None:
        """Ask for a task to be throttled."""
        await self._act(epoch, task_id, 'throttle')

    async def events(
        self, epoch: int, after: int, wait_ms: int, task_lease_ms: int
    ) -> event_page.EventPage:
        """Wait for ends above a number; renew all leases.

        A poll that does not return within ``wait_ms`` and ``silent_ms``
        closes all connections, since the others are silent too when a
        network element lost its state.
        """
        path = (
            f'/v1/events?epoch={epoch}&after={after}&wait_ms={wait_ms}'
            f'&task_lease_ms={task_lease_ms}'
        )
        try:
            status, data = await self._polls.send(
                'GET', path, b'', wait_ms + self._silent_ms
            )
        except errors.WorkerOutcomeUnknown:
            await self.reset()
            raise
        self._check(status, data)
        return self._decode(data, event_page.EventPage)

    async def inventory(self) -> worker_inventory.WorkerInventory:
        """Read all running tasks and all results that are kept."""
        status, data = await self._calls.send(
            'GET', '/v1/tasks', b'', self._call_ms
        )
        self._check(status, data)
        return self._decode(data, worker_inventory.WorkerInventory)

    async def release_results(self, epoch: int, through: int) -> None:
        """Discard the results of ends up to a number."""
        await self._post('/v1/release', {'epoch': epoch, 'through': through})

    async def return_lease(self, epoch: int) -> None:
        """Give the placement lease back."""
        await self._post('/v1/unlease', {'epoch': epoch})

    async def _act(self, epoch: int, task_id: str, verb: str) -> None:
        quoted = urllib.parse.quote(task_id, safe='')
        await self._post(f'/v1/tasks/{quoted}/{verb}', {'epoch': epoch})

    async def _post(
        self,
        path: str,
        body: dict[str, typing.Any],
        guard: connection.Guard | None = None,
    ) -> bytes:
        status, data = await self._calls.send(
            'POST', path, msgspec.json.encode(body), self._call_ms, guard
        )
        self._check(status, data)
        return data

    def _check(self, status: int, data: bytes) -> None:
        if status < _ACCEPTED:
            return
        if status >= _SERVER_FAULT:
            raise errors.WorkerOutcomeUnknown(
                f'worker at {self.address} failed with status {status}; '
                'query its inventory'
            )
        raise self._refusal(status, data)

    def _refusal(self, status: int, data: bytes) -> errors.WorkerRefused:
        try:
            refusal = msgspec.json.decode(data, type=_Refusal)
        except msgspec.MsgspecError:
            refusal = _Refusal(message=f'status {status}')
        text = f'worker at {self.address} refused: {refusal.kind}'
        if refusal.kind == errors.StaleEpoch.kind:
            return errors.StaleEpoch(f'{text}; request a new lease')
        if status == _CONFLICT and refusal.holder:
            return errors.LeaseHeld(
                f'{text}; {refusal.holder} holds the lease, wait until it '
                'expires',
                holder=refusal.holder,
                remaining_ms=refusal.remaining_ms,
            )
        return errors.WorkerRefused(f'{text} {refusal.message}'.rstrip())

    def _decode(self, data: bytes, kind: type[_T]) -> _T:
        try:
            return msgspec.json.decode(data, type=kind)
        except msgspec.MsgspecError as fault:
            raise errors.WorkerOutcomeUnknown(
                f'worker at {self.address} sent an unreadable answer: {fault}'
            ) from fault
