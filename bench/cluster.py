"""Measure heartbeats and peer calls over loopback.

Run ``python -m bench.cluster``; prints one JSON object a line. The
baselines are the design limits for all control work of a daemon: 6 KB/s
and 2.3% of a core.
"""

import asyncio
import contextlib
import gc
import time

import click
from grpclib import protocol
import hdrh.histogram
import loguru
import msgspec

from basilspindle import clock as clock_module
from basilspindle import cluster
from basilspindle import model
from basilspindle import peer
from basilspindle.peer import messages

_PARTITION_COUNT = 12
_TARGET_CORE_PERCENT = 2.3
_TARGET_BYTES_PER_S = 6_000
_MEMBER_COUNTS = (2, 6, 12)
_HEARTBEAT_INTERVALS_MS = (500, 1_000)
# Age of the last answered read of the log by its state; -1 means never.
_LOG_AGES_MS = {'log_up': 123, 'log_down': -1}
_CONCURRENT_CALLS = 16
_CALL_TIMEOUT_MS = 10_000


class _Timing(msgspec.Struct, frozen=True):
    """Durations that Membership takes from the settings."""

    heartbeat_ms: int
    suspect_ms: int
    settle_ms: int = 500
    assurance_ms: int = 1_500
    worker_lease_ms: int = 3_000
    task_lease_ms: int = 30_000


class _ReceivedByteCounter:
    """Counts the bytes that all HTTP/2 connections of the process receive."""

    def __init__(self) -> None:
        self.received = 0
        self._original = protocol.H2Protocol.data_received

    def __enter__(self) -> '_ReceivedByteCounter':
        counter, original = self, self._original

        def data_received(self: protocol.H2Protocol, data: bytes) -> None:
            counter.received += len(data)
            original(self, data)

        protocol.H2Protocol.data_received = data_received
        return self

    def __exit__(self, *_: object) -> None:
        protocol.H2Protocol.data_received = self._original


class _VmListSource:
    """An in-memory list of virtual machines."""

    def __init__(self) -> None:
        self.vms: list[cluster.VirtualMachine] = []

    async def fetch(self) -> list[cluster.VirtualMachine]:
        return self.vms


def _make_heartbeat(
    number: int, size: int, port: int, log_age_ms: int = -1
) -> messages.Heartbeat:
    owned = range(number, _PARTITION_COUNT, size)
    capacity = model.Resources(64_000, 256_000, 8, 64)
    return messages.Heartbeat(
        member_id=f'entry-{number}',
        incarnation=f'1700000000000-{number:08x}',
        address=f'127.0.0.1:{port}',
        api_address=f'127.0.0.1:{port + 1}',
        failure_domain=f'fd-{number % 5}',
        region='r1',
        config_version=510,
        config_age_ms=321,
        log_age_ms=log_age_ms,
        claims=[messages.Claim(p, 1_234_567 + p, True) for p in owned],
        room=messages.Room(123, capacity, capacity, capacity),
        waiting_shares=[0.25, -1.0, 0.5],
    )


async def _create_member(
    stack: contextlib.AsyncExitStack,
    source: _VmListSource,
    timing: _Timing,
    number: int,
    size: int,
    log_age_ms: int,
) -> cluster.Membership:
    clock = clock_module.Clock()
    server = await stack.enter_async_context(peer.PeerServer({}))
    await server.start('127.0.0.1', 0)
    client = await stack.enter_async_context(peer.PeerClient(clock))
    heartbeat = _make_heartbeat(number, size, server.port, log_age_ms)
    source.vms.append(
        cluster.VirtualMachine(
            id=heartbeat.member_id,
            address=heartbeat.address,
            role=cluster.Role.ENTRY,
        )
    )
    vm_list = await stack.enter_async_context(cluster.VmList(source, clock))
    membership = cluster.Membership(
        clock, timing, client, vm_list, lambda: heartbeat
    )
    server.set_handler(messages.Heartbeat, membership.handle)
    return membership


async def _measure_heartbeats(
    size: int, heartbeat_ms: int, seconds: int, log_age_ms: int
) -> tuple[float, float]:
    """Return the bytes/s and the percent of a core for one member.

    All members run in this process, so the bytes that they receive are
    those that they send.
    """
    timing = _Timing(heartbeat_ms, 3 * heartbeat_ms)
    source = _VmListSource()
    async with contextlib.AsyncExitStack() as stack:
        members = [
            await _create_member(
                stack, source, timing, number, size, log_age_ms
            )
            for number in range(size)
        ]
        for membership in members:
            await stack.enter_async_context(membership)
        clock = clock_module.Clock()
        while any(len(m.live()) < size for m in members):
            await clock.sleep_ms(50)
        # A member calls all others until it is settled, for suspect_ms.
        await clock.sleep_ms(timing.suspect_ms + heartbeat_ms)
        gc.collect()
        with _ReceivedByteCounter() as counter:
            wall_s, cpu_s = time.perf_counter(), time.process_time()
            await clock.sleep_ms(seconds * 1_000)
            wall_s = time.perf_counter() - wall_s
            cpu_s = time.process_time() - cpu_s
            received = counter.received
        assert all(len(m.live()) == size for m in members)
    return received / wall_s / size, 100 * cpu_s / wall_s / size


async def _measure_calls(count: int, concurrency: int) -> tuple[float, float]:
    """Return calls/s and their p99 latency in ms.

    Client and server share one process.
    """
    histogram = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
    request = _make_heartbeat(0, 6, 1_000)

    async def answer(heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        return heartbeat

    clock = clock_module.Clock()
    async with (
        peer.PeerServer({messages.Heartbeat: answer}) as server,
        peer.PeerClient(clock) as client,
    ):
        await server.start('127.0.0.1', 0)
        address = f'127.0.0.1:{server.port}'

        async def call_repeatedly(calls: int) -> None:
            for _ in range(calls):
                start_ns = time.perf_counter_ns()
                await client.call(address, request, _CALL_TIMEOUT_MS)
                taken_ns = time.perf_counter_ns() - start_ns
                histogram.record_value(max(1, taken_ns // 1_000))

        await call_repeatedly(100)
        histogram.reset()
        start_s = time.perf_counter()
        calls_per_task = count // concurrency
        await asyncio.gather(
            *(call_repeatedly(calls_per_task) for _ in range(concurrency))
        )
        spent_s = time.perf_counter() - start_s
    p99_us = histogram.get_value_at_percentile(99)
    return calls_per_task * concurrency / spent_s, p99_us / 1_000


def _print_result(
    name: str, value: float, unit: str, baseline: float | None, size: int
) -> None:
    line = {
        'name': name,
        'value': round(value, 3),
        'unit': unit,
        'baseline': baseline,
        'ratio': round(value / baseline, 3) if baseline else None,
        'seed': 0,
        'size': size,
    }
    click.echo(msgspec.json.encode(line).decode())


@click.command()
@click.option('--quick', is_flag=True, help='Measure for a shorter time.')
def main(quick: bool) -> None:
    """Print the results of all measurements."""
    loguru.logger.remove()
    seconds = 2 if quick else 10
    count = 800 if quick else 8_000
    for heartbeat_ms in _HEARTBEAT_INTERVALS_MS:
        for log, log_age_ms in _LOG_AGES_MS.items():
            name = f'cluster.heartbeat_{heartbeat_ms}ms_{log}'
            for size in _MEMBER_COUNTS:
                bytes_per_s, core_percent = asyncio.run(
                    _measure_heartbeats(
                        size, heartbeat_ms, seconds, log_age_ms
                    )
                )
                _print_result(
                    f'{name}.sent',
                    bytes_per_s,
                    'bytes/s',
                    _TARGET_BYTES_PER_S,
                    size,
                )
                _print_result(
                    f'{name}.cpu',
                    core_percent,
                    '% core',
                    _TARGET_CORE_PERCENT,
                    size,
                )
    for concurrency in (1, _CONCURRENT_CALLS):
        rate, p99_ms = asyncio.run(_measure_calls(count, concurrency))
        _print_result('peer.calls', rate, 'calls/s', None, concurrency)
        _print_result('peer.call_p99', p99_ms, 'ms', None, concurrency)


if __name__ == '__main__':
    main()
