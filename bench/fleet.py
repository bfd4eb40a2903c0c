"""Measure placement, lease renewal and memory of the fleet.

Run ``python -m bench.fleet``; prints one JSON object a line. The baselines
are the design targets: 2,000 decisions per second, 350 B for each lease
renewal, and 2.3% of a core and 32 MB for all control work of a daemon.
"""

import asyncio
import collections.abc
import contextlib
import gc
import json
import random
import socket
import sys
import time
import tracemalloc
import typing

import loguru

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import fleet
from basilspindle.fleet import amounts
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy

_SEED = 7
_WORKER_COUNTS = (24, 123)
_BATCH_SIZE = 32
_PLACEMENTS = 8_000
# Number of tasks that are started before all running tasks are ended.
_TASKS_BEFORE_END = 700
_MEASURED_POLLS = 2_000
_HELD_WORKERS = 123
_CAPACITY = model.Resources(64_000, 262_144, 0, 64)
_TARGET_PLACEMENTS_PER_S = 2_000
_TARGET_RENEWAL_BYTES = 350
_TARGET_CORE_PERCENT = 2.3
_TARGET_MEMORY_BYTES = 32 * 1024 * 1024
# Settings of the design for the load expected in two years.
_LARGE_SETTINGS = fleet.FleetSettings(
    worker_lease_ms=20_000, worker_poll_ms=10_000, task_lease_ms=60_000
)


class _FakeClient:
    """Answers at once, so that only the cost of the fleet is measured."""

    def __init__(self, address: str) -> None:
        self._id = address
        self._changed = asyncio.Event()
        self._running: list[tuple[str, int]] = []
        self._events: list[fleet.WorkerEvent] = []
        self._seq = 0

    async def lease(
        self, _holder: str, ttl_ms: int, _epoch: int
    ) -> fleet.LeaseGrant:
        return fleet.LeaseGrant(
            epoch=1,
            incarnation=self._id,
            capacity=amounts.Amounts.from_resources(_CAPACITY),
            ttl_ms=ttl_ms,
        )

    async def inventory(self) -> fleet.WorkerInventory:
        return fleet.WorkerInventory(
            incarnation=self._id, epoch=1, next=0, running=[], ended=[]
        )

    async def start(
        self,
        _epoch: int,
        order: model.TaskOrder,
        guard: collections.abc.Callable[[], None],
    ) -> None:
        guard()
        self._running.append((order.task_id, order.attempt))

    async def events(
        self, _epoch: int, _after: int, wait_ms: int, _task_lease_ms: int
    ) -> fleet.EventPage:
        if not self._events:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await self._changed.wait()
        self._changed.clear()
        events, self._events = self._events, []
        return fleet.EventPage(
            incarnation=self._id, epoch=1, next=self._seq, events=events
        )

    async def release_results(self, _epoch: int, _through: int) -> None:
        return

    async def reset(self) -> None:
        return

    def finish(self) -> None:
        """Report all running tasks as succeeded."""
        for task_id, attempt in self._running:
            self._seq += 1
            self._events.append(
                fleet.WorkerEvent(
                    seq=self._seq,
                    task_id=task_id,
                    attempt=attempt,
                    outcome=fleet.Outcome.SUCCEEDED,
                )
            )
        self._running.clear()
        self._changed.set()


async def _confirm_report(
    _partition: int,
    _ends: list[model.TaskEnd],
    _running: list[model.RunningTask],
) -> bool:
    return True


def _worker_info(number: int) -> fleet.WorkerInfo:
    return fleet.WorkerInfo(
        worker_id=f'w{number}',
        address=f'w{number}',
        failure_domain=f'fd{number % 4}',
        rack=f'r{number % 20}',
    )


def _make_order(number: int, rng: random.Random) -> model.TaskOrder:
    return model.TaskOrder(
        task_id=f'j{number // 4}/{number % 4}',
        attempt=1,
        job_id=f'j{number // 4}',
        index=number % 4,
        workspace='team1',
        kind='kind1',
        priority=model.Priority.BATCH,
        resources=model.Resources(
            rng.randint(1, 4) * 500, rng.randint(1, 16) * 256, 0, 1
        ),
        run_time_ms=1_000,
        idempotent=True,
        service=False,
        input=b'{}',
        partition=number % 12,
        partition_epoch=1,
    )


@contextlib.asynccontextmanager
async def _open_fleet(
    workers: int, clients: dict[str, _FakeClient]
) -> collections.abc.AsyncIterator[fleet.Fleet]:
    def make_client(address: str) -> _FakeClient:
        return clients.setdefault(address, _FakeClient(address))

    async with fleet.Fleet(
        clock_module.Clock(),
        'd1',
        settings=_LARGE_SETTINGS,
        check_fence=lambda partition, epoch: None,
        choose=policy.choose,
        report=_confirm_report,
        client_factory=make_client,
    ) as opened:
        await opened.assign(
            [_worker_info(number) for number in range(workers)]
        )
        while opened.free_capacity().workers < workers:
            await asyncio.sleep(0)
        yield opened


async def _measure_placement(workers: int, batch: int) -> tuple[float, float]:
    """Return placements per second, and the p99 latency of a call in ms.

    The rate includes the time for the ends of the tasks and their reports.
    """
    rng = random.Random(_SEED)
    clients: dict[str, _FakeClient] = {}
    latencies_ms = []
    ended = 0
    async with _open_fleet(workers, clients) as opened:
        orders = [_make_order(number, rng) for number in range(_PLACEMENTS)]
        start_s = time.perf_counter()
        for first in range(0, _PLACEMENTS, batch):
            call_start_s = time.perf_counter()
            placed = await opened.place(
                messages.Place(
                    member_id='d2', orders=orders[first : first + batch]
                )
            )
            latencies_ms.append((time.perf_counter() - call_start_s) * 1000)
            if not all(p.worker_id for p in placed.placements):
                raise errors.Overloaded(
                    'the benchmark filled the fleet: a task was not placed'
                )
            if first - ended >= _TASKS_BEFORE_END:
                ended = first
                for client in clients.values():
                    client.finish()
                await asyncio.sleep(0)
        spent_s = time.perf_counter() - start_s
    latencies_ms.sort()
    return _PLACEMENTS / spent_s, latencies_ms[int(len(latencies_ms) * 0.99)]


async def _measure_task_memory() -> float:
    clients: dict[str, _FakeClient] = {}
    rng = random.Random(_SEED)
    async with _open_fleet(_HELD_WORKERS, clients) as opened:
        task_count = 2_000
        gc.collect()
        tracemalloc.start()
        for first in range(0, task_count, _BATCH_SIZE):
            last = min(first + _BATCH_SIZE, task_count)
            await opened.place(
                messages.Place(
                    member_id='d2',
                    orders=[_make_order(n, rng) for n in range(first, last)],
                )
            )
        for client in clients.values():
            client._running.clear()
        gc.collect()
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used_bytes / task_count


async def _measure_worker_memory() -> float:
    """Return the memory in bytes for one worker without connections."""
    gc.collect()
    tracemalloc.start()
    async with _open_fleet(_HELD_WORKERS, {}):
        gc.collect()
        used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used_bytes / _HELD_WORKERS


class _Relay:
    """Forwards connections to one port and counts the bytes."""

    def __init__(self, port: int) -> None:
        self.bytes = 0
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self) -> asyncio.Server:
        return await asyncio.start_server(self._accept, '127.0.0.1', 0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        await asyncio.gather(
            self._forward(reader, target_writer),
            self._forward(target_reader, writer),
        )

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.bytes += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()


class _CountingClient(fleet.WorkerClient):
    """Counts the event polls that a fleet makes."""

    __slots__ = ('polls', '_awaited_polls', '_reached')

    def __init__(self, address: str, clock: clock_module.Clock) -> None:
        super().__init__(address, clock)
        self.polls = 0
        self._awaited_polls = 0
        self._reached = asyncio.Event()

    async def events(
        self, epoch: int, after: int, wait_ms: int, task_lease_ms: int
    ) -> fleet.EventPage:
        page = await super().events(epoch, after, wait_ms, task_lease_ms)
        self.polls += 1
        if self.polls >= self._awaited_polls:
            self._reached.set()
        return page

    async def wait_polls(self, count: int) -> None:
        """Wait until a number of further polls have been made."""
        self._awaited_polls = self.polls + count
        self._reached.clear()
        await self._reached.wait()


async def _renew(api: fleet.WorkerClient, count: int) -> None:
    grant = await api.lease('d1', 20_000, 0)
    for _ in range(count):
        await api.events(grant.epoch, 0, 0, 60_000)


async def _measure_renewal(port: int) -> tuple[float, float]:
    """Return the bytes in both directions and the CPU ms of one renewal."""
    clock = clock_module.Clock()
    relay = _Relay(port)
    async with await relay.serve() as server:
        relay_port = server.sockets[0].getsockname()[1]
        async with fleet.WorkerClient(f'127.0.0.1:{relay_port}', clock) as api:
            await _renew(api, 1)
            before_bytes = relay.bytes
            await _renew(api, 201)
            # One of these 202 requests is the lease call; the rest renew.
            bytes_per_renewal = (relay.bytes - before_bytes) / 202
    return bytes_per_renewal, await _measure_renewal_cpu(port)


async def _measure_renewal_cpu(port: int) -> float:
    """Return the CPU time in ms of a poll, including the fleet's handling."""
    api = _CountingClient(f'127.0.0.1:{port}', clock_module.Clock())
    async with fleet.Fleet(
        clock_module.Clock(),
        'd1',
        settings=fleet.FleetSettings(worker_poll_ms=0),
        check_fence=lambda partition, epoch: None,
        choose=policy.choose,
        report=_confirm_report,
        client_factory=lambda address: api,
    ) as opened:
        await opened.assign([_worker_info(0)])
        await api.wait_polls(50)
        start_s, first_poll = time.process_time(), api.polls
        await api.wait_polls(_MEASURED_POLLS)
        spent_s = time.process_time() - start_s
        return spent_s * 1000 / (api.polls - first_poll)


async def _measure_connection_memory(port: int) -> float:
    """Return the memory in bytes for a client with both connections open."""
    clock = clock_module.Clock()
    async with contextlib.AsyncExitStack() as stack:
        gc.collect()
        tracemalloc.start()
        for _ in range(_HELD_WORKERS):
            api = await stack.enter_async_context(
                fleet.WorkerClient(f'127.0.0.1:{port}', clock)
            )
            await _renew(api, 1)
        gc.collect()
        used_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return used_bytes / _HELD_WORKERS


@contextlib.asynccontextmanager
async def _run_worker_process() -> collections.abc.AsyncIterator[int]:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'tests.standins.worker',
        '--port',
        str(port),
        '--id',
        'w0',
    )
    try:
        async with fleet.WorkerClient(
            f'127.0.0.1:{port}', clock_module.Clock()
        ) as api:
            await _wait_until_up(api)
        yield port
    finally:
        process.terminate()
        await process.wait()


async def _wait_until_up(api: fleet.WorkerClient) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                await api.inventory()
                return
            except errors.WorkerUnavailable:
                await asyncio.sleep(0.05)


def _print_result(
    name: str, value: float, unit: str, baseline: float, **size: typing.Any
) -> None:
    line = {
        'name': name,
        'value': round(value, 3),
        'unit': unit,
        'baseline': baseline,
        'ratio': round(value / baseline, 4),
        'seed': _SEED,
        'size': size,
    }
    print(json.dumps(line), flush=True)


async def _measure_all() -> None:
    for workers in _WORKER_COUNTS:
        for batch in (1, _BATCH_SIZE):
            per_s, p99_ms = await _measure_placement(workers, batch)
            size = {'workers': workers, 'batch': batch}
            _print_result(
                'fleet_placements',
                per_s,
                '1/s',
                _TARGET_PLACEMENTS_PER_S,
                **size,
            )
            if batch == 1:
                _print_result('fleet_place_p99', p99_ms, 'ms', 5.0, **size)
    async with _run_worker_process() as port:
        renewal_bytes, renewal_ms = await _measure_renewal(port)
        connection_bytes = await _measure_connection_memory(port)
    renewals_per_s = (
        _HELD_WORKERS
        * 1000
        / _LARGE_SETTINGS.poll_wait_ms(_LARGE_SETTINGS.worker_lease_ms)
    )
    size = {'workers': _HELD_WORKERS}
    _print_result('renewal_bytes', renewal_bytes, 'B', _TARGET_RENEWAL_BYTES)
    _print_result(
        'renewal_traffic', renewal_bytes * renewals_per_s, 'B/s', 6_000, **size
    )
    _print_result(
        'renewal_cpu',
        renewal_ms * renewals_per_s / 10,
        '% of a core',
        _TARGET_CORE_PERCENT,
        **size,
    )
    worker_bytes = await _measure_worker_memory() + connection_bytes
    _print_result(
        'worker_memory',
        worker_bytes,
        'B',
        _TARGET_MEMORY_BYTES / _HELD_WORKERS,
        **size,
    )
    # One of six daemons holds 850 of the 5,100 tasks that run.
    _print_result(
        'task_memory',
        await _measure_task_memory(),
        'B',
        _TARGET_MEMORY_BYTES / 850,
        tasks=2_000,
    )


def main() -> None:
    """Print the results of all measurements."""
    loguru.logger.remove()
    asyncio.run(_measure_all())


if __name__ == '__main__':
    main()
