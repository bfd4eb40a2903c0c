"""Define the interfaces to the platform, which adapters implement."""

import collections.abc
import typing

from basilspindle.cell import configuration_update
from basilspindle.cell import report as report_module
from basilspindle.cell import start_outcome
from basilspindle.workflow import need as need_module

Records = collections.abc.Sequence[tuple[str, bytes | None]]


class StoreChunk:
    """Records read from a stream, and its first and end offsets.

    ``transfer_ms`` is the time from the first to the last byte of the answer.
    """

    __slots__ = ('records', 'first', 'end', 'transfer_ms')

    def __init__(
        self,
        records: list[tuple[str, bytes | None]],
        first: int,
        end: int,
        transfer_ms: int = 0,
    ) -> None:
        self.records = records
        self.first = first
        self.end = end
        self.transfer_ms = transfer_ms


class Store(typing.Protocol):
    """Keyed streams that keep the newest record of each key forever.

    A record without a value removes its key. Every call raises
    ``LogUnavailable`` if it certainly had no effect, and
    ``LogOutcomeUnknown`` if it may have had an effect or may still have one.
    """

    async def read_latest(
        self,
        stream: str,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> tuple[dict[str, bytes], int]:
        """Return the newest value of each key and an end offset.

        The values include every record before that offset. ``on_progress`` is
        called whenever a part of them comes.
        """
        ...

    async def read(
        self,
        stream: str,
        from_offset: int,
        wait_ms: int,
        max_kb: int | None = None,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> StoreChunk:
        """Return records from an offset, waiting for the first one.

        Returns one record or more, up to ``max_kb`` in all if there are
        several. ``on_progress`` is called whenever a part of the answer
        comes. Raises ``LogTrimmed`` if the records at that offset were
        dropped.
        """
        ...

    async def probe_end(self, stream: str) -> int:
        """Return the end offset of a stream."""
        ...

    async def put(self, stream: str, records: Records) -> None:
        """Append unconditionally."""
        ...

    async def append_at(
        self, stream: str, records: Records, at: int
    ) -> int | None:
        """Append if the stream ends at ``at``, else return None."""
        ...

    async def fence(self, stream: str, epoch: int) -> None:
        """Reject appends of lower epochs from now on.

        Raises ``Deposed`` if a higher epoch has been fenced already.
        """
        ...

    async def append(
        self,
        stream: str,
        records: Records,
        epoch: int,
        sequence: int,
        timeout_ms: int,
    ) -> None:
        """Append at most once per sequence number.

        Raises ``Deposed`` if a higher epoch has fenced off this one.
        """
        ...


class RegisteredWorker:
    """One entry of the worker registry, and its offset there."""

    __slots__ = (
        'worker_id',
        'address',
        'pool',
        'failure_domain',
        'rack',
        'labels',
        'capacity',
        'is_ready',
        'remaining_ms',
        'born_wall_ms',
        'offset',
    )

    def __init__(
        self,
        worker_id: str,
        address: str,
        pool: str,
        failure_domain: str,
        rack: str,
        labels: tuple[str, ...],
        capacity: need_module.Need,
        is_ready: bool,
        remaining_ms: int,
        born_wall_ms: int,
        offset: int,
    ) -> None:
        self.worker_id = worker_id
        self.address = address
        self.pool = pool
        self.failure_domain = failure_domain
        self.rack = rack
        self.labels = labels
        self.capacity = capacity
        self.is_ready = is_ready
        self.remaining_ms = remaining_ms
        self.born_wall_ms = born_wall_ms
        self.offset = offset


class WorkerRegistry(typing.Protocol):
    """The registry in which the platform lists the workers."""

    async def refresh(self) -> dict[str, RegisteredWorker]:
        """Return all workers; raises ``LogUnavailable``."""
        ...


class WorkerOrders(typing.Protocol):
    """Calls to workers; ``token`` fences off leaders that were replaced.

    Each call raises ``WorkerUnavailable`` if nothing was sent,
    ``WorkerOutcomeUnknown`` if no answer came, ``StaleEpoch`` if the worker
    has seen a higher token and ``WorkerReplaced`` if another worker answers
    at the address.
    """

    async def renew(
        self,
        address: str,
        worker_id: str,
        token: int,
        deadline_ms: int | None,
        acknowledged_end_number: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> report_module.Report:
        """Extend the lease, acknowledge run ends and return the report.

        The worker may forget run ends up to ``acknowledged_end_number``. It
        waits up to ``wait_ms`` for a new one before it answers.
        """
        ...

    async def start(
        self,
        address: str,
        worker_id: str,
        token: int,
        deadline_ms: int,
        name: str,
        run: int,
        payload: str,
        checkpoint: str,
        ticket: str,
        timeout_ms: int,
    ) -> start_outcome.StartAnswer:
        """Start a run; a repeated call does not start it again."""
        ...

    async def stop(
        self,
        address: str,
        worker_id: str,
        token: int,
        name: str,
        run: int,
        timeout_ms: int,
    ) -> None:
        """Stop a run, or prevent it if its start has not arrived yet."""
        ...

    async def pace(
        self,
        address: str,
        worker_id: str,
        token: int,
        name: str,
        run: int,
        percent: int,
        timeout_ms: int,
    ) -> None:
        """Throttle a run to a percentage of its full speed, 0 to 100."""
        ...


class AdviceResult(typing.NamedTuple):
    """Tickets by worker id, and how long they are valid."""

    tickets: dict[str, str]
    valid_ms: int


class AdviceService(typing.Protocol):
    """The service that knows which workers may run a step."""

    async def ask(
        self, step_key: str, worker_ids: list[str], timeout_ms: int
    ) -> AdviceResult:
        """Return tickets for those workers that may run the step.

        Raises ``Overloaded`` if too many calls are waiting, and
        ``WorkerUnavailable`` or ``WorkerOutcomeUnknown`` if no answer came.
        """
        ...


class ConfigurationPoll:
    """What one read of the published configuration returned.

    ``update`` is None if no version came. ``next_offset`` is where to read
    on, None if there may be newer versions than the one returned.
    """

    __slots__ = ('update', 'next_offset')

    def __init__(
        self,
        update: configuration_update.ConfigurationUpdate | None,
        next_offset: int | None,
    ) -> None:
        self.update = update
        self.next_offset = next_offset


class ConfigurationSource(typing.Protocol):
    """The configuration that operators publish."""

    async def poll(
        self,
        next_offset: int | None,
        wait_ms: int,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> ConfigurationPoll:
        """Read the next version from an offset on, or the newest one.

        Waits up to ``wait_ms`` for a version at the offset, and not at all if
        ``next_offset`` is None. ``on_progress`` is called whenever a part of
        the answer comes. Raises ``LogError``.
        """
        ...


class EvacuationPoll:
    """What one read of the records of evacuations returned.

    ``changes`` tells by failure domain whether it is closed. With
    ``is_whole``, all others are open; else they are as before.
    ``next_offset`` is where to read on, and ``is_current`` tells whether
    there were no later records.
    """

    __slots__ = ('changes', 'is_whole', 'next_offset', 'is_current')

    def __init__(
        self,
        changes: dict[str, bool],
        is_whole: bool,
        next_offset: int,
        is_current: bool,
    ) -> None:
        self.changes = changes
        self.is_whole = is_whole
        self.next_offset = next_offset
        self.is_current = is_current


class EvacuationSource(typing.Protocol):
    """The failure domains that operators have evacuated."""

    async def poll(
        self,
        next_offset: int | None,
        wait_ms: int,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> EvacuationPoll:
        """Read what changed from an offset on, or all with None.

        Waits up to ``wait_ms`` for a record at the offset. ``on_progress`` is
        called whenever a part of the answer comes. Raises ``LogError``.
        """
        ...
