"""Call the HTTP interface of one worker."""

import collections.abc
import types
import typing
import urllib.parse

import msgspec

from basilspindle import clock as clock_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.fleet import answers
from basilspindle.fleet import connection
from basilspindle.fleet import event_page
from basilspindle.fleet import events as fleet_events
from basilspindle.fleet import lease_grant
from basilspindle.fleet import task_spec
from basilspindle.fleet import worker_inventory
from basilspindle import model

# The event poll has its own connection, so that calls never wait for it.
# A worker accepts 64 connections: 28 for each of two successive holders,
# and 8 for lease calls.
_CALL_CONNECTIONS = 27
_POLL_CONNECTIONS = 1
_FIRST_FAILURE_STATUS = 300
_FIRST_SERVER_ERROR_STATUS = 500
_CONFLICT_STATUS = 409
_MAX_LOGGED_CHARS = 200

_T = typing.TypeVar('_T')


class _Refusal(msgspec.Struct):
    kind: str = 'refused'
    message: str = ''
    holder: str = ''
    remaining_ms: decoding.Count = 0


class WorkerClient:
    """Call one worker over at most 28 connections.

    Every method raises ``StaleEpoch`` if the worker does not accept the
    lease epoch, ``WorkerRefused`` if it rejected the call for another
    reason (the call had no effect), ``WorkerUnavailable`` if the call
    certainly did not reach the worker, and ``WorkerOutcomeUnknown`` if
    the call was sent but no usable answer arrived.

    ``call_ms`` limits the wait for an answer. ``silent_ms`` is how long
    an event poll may take beyond its ``wait_ms``.
    """

    __slots__ = (
        'address',
        '_calls',
        '_polls',
        '_call_ms',
        '_silent_ms',
        '_fault_logged',
    )

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
        self._fault_logged = False
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
        """Request a new lease (epoch 0) or renew the lease of an epoch.

        Also raises ``LeaseHeld`` while another holder has a valid lease.
        """
        body = {'holder': holder, 'ttl_ms': ttl_ms, 'epoch': epoch}
        answer = await self._post('/v1/lease', body)
        try:
            return msgspec.json.decode(answer, type=lease_grant.LeaseGrant)
        except decoding.FAULTS as fault:
            raise self._unreadable(fault) from fault

    async def start(
        self,
        epoch: int,
        order: model.TaskOrder,
        guard: connection.Guard | None = None,
    ) -> None:
        """Start one attempt of a task.

        ``guard`` is called immediately before the request is sent. If it
        raises, nothing is sent and the exception is passed on.
        """
        body = {'epoch': epoch, 'task': task_spec.TaskSpec.from_order(order)}
        await self._post('/v1/tasks', body, guard)

    async def stop(self, epoch: int, task_id: str) -> None:
        """Stop a task; an event reports when it has ended."""
        await self._post_task_action(epoch, task_id, 'stop')

    async def checkpoint(self, epoch: int, task_id: str) -> None:
        """Ask a task to write a checkpoint."""
        await self._post_task_action(epoch, task_id, 'checkpoint')

    async def throttle(self, epoch: int, task_id: str) -> None:
        """Ask a worker to throttle a task."""
        await self._post_task_action(epoch, task_id, 'throttle')

    async def events(
        self, epoch: int, after: int, wait_ms: int, task_lease_ms: int
    ) -> event_page.EventPage:
        """Wait for task ends with a number above ``after``.

        Also renews the placement lease and all task leases. If a poll
        takes longer than ``wait_ms`` plus ``silent_ms``, all connections
        are closed: a firewall or router on the path that lost its
        connection state drops the packets of every one of them.
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
        return self._decode(data, answers.decode_page)

    async def inventory(self) -> worker_inventory.WorkerInventory:
        """List the running tasks and the ended tasks with kept results."""
        status, data = await self._calls.send(
            'GET', '/v1/tasks', b'', self._call_ms
        )
        self._check(status, data)
        return self._decode(data, answers.decode_inventory)

    async def release_results(self, epoch: int, through: int) -> None:
        """Let the worker discard results up to an event number."""
        await self._post('/v1/release', {'epoch': epoch, 'through': through})

    async def return_lease(self, epoch: int) -> None:
        """Return the placement lease before it expires."""
        await self._post('/v1/unlease', {'epoch': epoch})

    async def _post_task_action(
        self, epoch: int, task_id: str, action: str
    ) -> None:
        quoted = urllib.parse.quote(task_id, safe='')
        await self._post(f'/v1/tasks/{quoted}/{action}', {'epoch': epoch})

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
        if status < _FIRST_FAILURE_STATUS:
            return
        if status >= _FIRST_SERVER_ERROR_STATUS:
            raise errors.WorkerOutcomeUnknown(
                f'worker at {self.address} failed with status {status}; '
                'query its inventory'
            )
        raise self._refusal(status, data)

    def _refusal(self, status: int, data: bytes) -> errors.WorkerRefused:
        try:
            refusal = msgspec.json.decode(data, type=_Refusal)
        except decoding.FAULTS:
            refusal = _Refusal(message=f'status {status}')
        text = f'worker at {self.address} refused: {refusal.kind}'
        if refusal.kind == errors.StaleEpoch.kind:
            return errors.StaleEpoch(f'{text}; request a new lease')
        if status == _CONFLICT_STATUS and refusal.holder:
            return errors.LeaseHeld(
                f'{text}; {refusal.holder} holds the lease, wait until it '
                'expires',
                holder=refusal.holder,
                remaining_ms=refusal.remaining_ms,
            )
        return errors.WorkerRefused(f'{text} {refusal.message}'.rstrip())

    def _decode(
        self,
        data: bytes,
        decode: collections.abc.Callable[[bytes], tuple[_T, str]],
    ) -> _T:
        try:
            answer, fault = decode(data)
        except decoding.FAULTS as error:
            raise self._unreadable(error) from error
        if fault and not self._fault_logged:
            # A worker repeats the entry in each answer.
            self._fault_logged = True
            events.emit(
                fleet_events.ENTRY_UNREADABLE,
                address=self.address,
                error=fault[:_MAX_LOGGED_CHARS],
            )
        return answer

    def _unreadable(self, fault: Exception) -> errors.WorkerOutcomeUnknown:
        return errors.WorkerOutcomeUnknown(
            f'worker at {self.address} sent an unreadable answer: {fault}'
        )
