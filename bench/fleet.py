"""Measure placement, lease renewal and memory of the fleet.

Run ``python -m bench.fleet``; prints one JSON object a line. The baselines
are the targets of the design: 2,000 decisions per second, 350 B for each
renewal, 2.3% of a core and 32 MB for all control of a daemon.
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
_SIZES = (24, 123)
_BATCH = 32
_PLACEMENTS = 8_000
# Tasks that run before all of them end at once.
_RUNNING = 700
_RENEWALS = 2_000
_HELD_WORKERS = 123
_CAPACITY = model.Resources(64_000, 262_144, 0, 64)
_TARGET_PER_S = 2_000
_TARGET_RENEWAL_BYTES = 350
_TARGET_CORE_PERCENT = 2.3
_TARGET_BYTES = 32 * 1024 * 1024
# Settings of the design at two years' size.
_LARGE = fleet.FleetSettings(
    worker_lease_ms=20_000, worker_poll_ms=10_000, task_lease_ms=60_000
)


class _FakeClient:
    """Answer at once, so that only the fleet itself is measured."""

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
        found, self._events = self._events, []
        return fleet.EventPage(
            incarnation=self._id, epoch=1, next=self._seq, events=found
        )

    async def release_results(self, _epoch: int, _through: int) -> None:
        return

    async def reset(self) -> None:
        return

    def finish(self) -> None:
        """End all running tasks."""
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


async def _confirm(
    _partition: int,
    _ends: list[model.TaskEnd],
    _found: list[model.RunningTask],
) -> bool:
    return True


def _info(number: int) -> fleet.WorkerInfo:
    return fleet.WorkerInfo(
        worker_id=f'w{number}',
        address=f'w{number}',
        failure_domain=f'fd{number % 4}',
        rack=f'r{number % 20}',
    )


def _order(number: int, rng: random.Random) -> model.TaskOrder:
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
async def _open(
    workers: int, clients: dict[str, _FakeClient]
) -> collections.abc.AsyncIterator[fleet.Fleet]:
    def make(address: str) -> _FakeClient:
        return clients.setdefault(address, _FakeClient(address))

    async with fleet.Fleet(
        clock_module.Clock(),
        'd1',
        settings=_LARGE,
        check_fence=lambda partition, epoch: None,
        choose=policy.choose,
        report=_confirm,
        client_factory=make,
    ) as opened:
        await opened.assign([_info(number) for number in range(workers)])
        while opened.free_capacity().workers < workers:
            await asyncio.sleep(0)
        yield opened


async def _measure_placement(workers: int, batch: int) -> tuple[float, float]:
    """Return placements per second, and the 99th percentile in ms.

    The rate includes the ends of the tasks and their reports.
    """
    rng = random.Random(_SEED)
    clients: dict[str, _FakeClient] = {}
    spent_ms = []
    ended = 0
    async with _open(workers, clients) as opened:
        orders = [_order(number, rng) for number in range(_PLACEMENTS)]
        start = time.perf_counter()
        for first in range(0, _PLACEMENTS, batch):
            begun = time.perf_counter()
            placed = await opened.place(
                messages.Place(
                    member_id='d2', orders=orders[first : first + batch]
                )
            )
            spent_ms.append((time.perf_counter() - begun) * 1000)
            if not all(p.worker_id for p in placed.placements):
                raise errors.Overloaded('the benchmark has filled the fleet')
            if first - ended >= _RUNNING:
                ended = first
                for client in clients.values():
                    client.finish()
                await asyncio.sleep(0)
        spent_s = time.perf_counter() - start
    spent_ms.sort()
    return _PLACEMENTS / spent_s, spent_ms[int(len(spent_ms) * 0.99)]


async def _measure_task_memory() -> float:
    clients: dict[str, _FakeClient] = {}
    rng = random.Random(_SEED)
    async with _open(_HELD_WORKERS, clients) as opened:
        count = 2_000
        gc.collect()
        tracemalloc.start()
        for first in range(0, count, _BATCH):
            last = min(first + _BATCH, count)
            await opened.place(
                messages.Place(
                    member_id='d2',
                    orders=[_order(n, rng) for n in range(first, last)],
                )
            )
        for client in clients.values():
            client._running.clear()
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used / count


async def _measure_worker_memory() -> float:
    """Return the bytes for one worker without its connections."""
    gc.collect()
    tracemalloc.start()
    async with _open(_HELD_WORKERS, {}):
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / _HELD_WORKERS


class _Relay:
    """Forward one port and count the bytes."""

    def __init__(self, port: int) -> None:
        self.bytes = 0
        self._port = port
        self._tasks: set[asyncio.Task[None]] = set()

    async def serve(self) -> asyncio.Server:
        return await asyncio.start_server(self._accept, '127.0.0.1', 0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            '127.0.0.1', self._port
        )
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer)
        )

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.bytes += len(data)
            writer.write(data)
            await writer.drain()
        writer.close()


class _CountingClient(fleet.WorkerClient):
    """Count the polls that a fleet makes."""

    __slots__ = ('polls', '_enough', '_done')

    def __init__(self, address: str, clock: clock_module.Clock) -> None:
        super().__init__(address, clock)
        self.polls = 0
        self._enough = 0
        self._done = asyncio.Event()

    async def events(
        self, epoch: int, after: int, wait_ms: int, task_lease_ms: int
    ) -> fleet.EventPage:
        page = await super().events(epoch, after, wait_ms, task_lease_ms)
        self.polls += 1
        if self.polls >= self._enough:
            self._done.set()
        return page

    async def wait_polls(self, count: int) -> None:
        """Wait for a number of further polls."""
        self._enough = self.polls + count
        self._done.clear()
        await self._done.wait()


async def _renew(api: fleet.WorkerClient, count: int) -> None:
    grant = await api.lease('d1', 20_000, 0)
    for _ in range(count):
        await api.events(grant.epoch, 0, 0, 60_000)


async def _measure_renewal(port: int) -> tuple[float, float]:
    """Return bytes in both directions, and CPU in ms."""
    clock = clock_module.Clock()
    relay = _Relay(port)
    async with await relay.serve() as server:
        relayed = server.sockets[0].getsockname()[1]
        async with fleet.WorkerClient(f'127.0.0.1:{relayed}', clock) as api:
            await _renew(api, 1)
            before = relay.bytes
            await _renew(api, 201)
            # One lease call in 202 requests is left in the figure.
            per_renewal = (relay.bytes - before) / 202
    return per_renewal, await _measure_renewal_cpu(port)


async def _measure_renewal_cpu(port: int) -> float:
    """Return the CPU in ms of a poll with the controller's part of it."""
    api = _CountingClient(f'127.0.0.1:{port}', clock_module.Clock())
    async with fleet.Fleet(
        clock_module.Clock(),
        'd1',
        settings=fleet.FleetSettings(worker_poll_ms=0),
        check_fence=lambda partition, epoch: None,
        choose=policy.choose,
        report=_confirm,
        client_factory=lambda address: api,
    ) as opened:
        await opened.assign([_info(0)])
        await api.wait_polls(50)
        start_s, first = time.process_time(), api.polls
        await api.wait_polls(_RENEWALS)
        spent_s = time.process_time() - start_s
        return spent_s * 1000 / (api.polls - first)


async def _measure_connection_memory(port: int) -> float:
    """Return the bytes for a client with both kinds of connection open."""
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
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return used / _HELD_WORKERS


@contextlib.asynccontextmanager
async def _worker_process() -> collections.abc.AsyncIterator[int]:
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
            await _wait_up(api)
        yield port
    finally:
        process.terminate()
        await process.wait()


async def _wait_up(api: fleet.WorkerClient) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                await api.inventory()
                return
            except errors.WorkerUnavailable:
                await asyncio.sleep(0.05)


def _print(
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


async def _run() -> None:
    for workers in _SIZES:
        for batch in (1, _BATCH):
            per_s, p99_ms = await _measure_placement(workers, batch)
            size = {'workers': workers, 'batch': batch}
            _print('fleet_placements', per_s, '1/s', _TARGET_PER_S, **size)
            if batch == 1:
                _print('fleet_place_p99', p99_ms, 'ms', 5.0, **size)
    async with _worker_process() as port:
        renewal_bytes, renewal_ms = await _measure_renewal(port)
        connection_bytes = await _measure_connection_memory(port)
    renewals_per_s = (
        _HELD_WORKERS * 1000 / _LARGE.poll_wait_ms(_LARGE.worker_lease_ms)
    )
    size = {'workers': _HELD_WORKERS}
    _print('renewal_bytes', renewal_bytes, 'B', _TARGET_RENEWAL_BYTES)
    _print(
        'renewal_traffic', renewal_bytes * renewals_per_s, 'B/s', 6_000, **size
    )
    _print(
        'renewal_cpu',
        renewal_ms * renewals_per_s / 10,
        '% of a core',
        _TARGET_CORE_PERCENT,
        **size,
    )
    worker_bytes = await _measure_worker_memory() + connection_bytes
    _print(
        'worker_memory',
        worker_bytes,
        'B',
        _TARGET_BYTES / _HELD_WORKERS,
        **size,
    )
    # A sixth of 5,100 running tasks is held by one daemon.
    _print(
        'task_memory',
        await _measure_task_memory(),
        'B',
        _TARGET_BYTES / 850,
        tasks=2_000,
    )


def main() -> None:
    """Print all figures."""
    loguru.logger.remove()
    asyncio.run(_run())


if __name__ == '__main__':
    main()
