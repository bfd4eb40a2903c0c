"""Measure heartbeats and peer calls over loopback.

Run ``python -m bench.cluster``; prints one JSON object a line. The
baselines are the bounds of the design: 6 KB/s and 2.3% of a core for all
control of a daemon.
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

_PARTITIONS = 12
_CORE_PERCENT = 2.3
_BYTES = 6_000
_SIZES = (2, 6, 12)
_HEARTBEATS_MS = (500, 1_000)
# Age of the last read of the log, by whether it answers.
_LOGS = {'log_up': 123, 'log_down': -1}
_CONCURRENCY = 16
_LIMIT_MS = 10_000


class _Timing(msgspec.Struct, frozen=True):
    heartbeat_ms: int
    suspect_ms: int
    settle_ms: int = 500
    assurance_ms: int = 1_500
    worker_lease_ms: int = 3_000
    task_lease_ms: int = 30_000


class _Counter:
    """Count the bytes that all connections of this process receive."""

    def __init__(self) -> None:
        self.received = 0
        self._original = protocol.H2Protocol.data_received

    def __enter__(self) -> '_Counter':
        counter, original = self, self._original

        def data_received(self: protocol.H2Protocol, data: bytes) -> None:
            counter.received += len(data)
            original(self, data)

        protocol.H2Protocol.data_received = data_received
        return self

    def __exit__(self, *_: object) -> None:
        protocol.H2Protocol.data_received = self._original


class _Source:
    def __init__(self) -> None:
        self.vms: list[cluster.VirtualMachine] = []

    async def fetch(self) -> list[cluster.VirtualMachine]:
        return self.vms


def _heartbeat(
    number: int, size: int, port: int, log_age_ms: int = -1
) -> messages.Heartbeat:
    owned = range(number, _PARTITIONS, size)
    room = model.Resources(64_000, 256_000, 8, 64)
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
        room=messages.Room(123, room, room, room),
        waiting_shares=[0.25, -1.0, 0.5],
    )


async def _join(
    stack: contextlib.AsyncExitStack,
    source: _Source,
    timing: _Timing,
    number: int,
    size: int,
    log_age_ms: int,
) -> cluster.Membership:
    clock = clock_module.Clock()
    server = await stack.enter_async_context(peer.PeerServer({}))
    await server.start('127.0.0.1', 0)
    client = await stack.enter_async_context(peer.PeerClient(clock))
    own = _heartbeat(number, size, server.port, log_age_ms)
    source.vms.append(
        cluster.VirtualMachine(
            id=own.member_id, address=own.address, role=cluster.Role.ENTRY
        )
    )
    vm_list = await stack.enter_async_context(cluster.VmList(source, clock))
    membership = cluster.Membership(
        clock, timing, client, vm_list, lambda: own
    )
    server.set_handler(messages.Heartbeat, membership.handle)
    return membership


async def _heartbeats(
    size: int, heartbeat_ms: int, seconds: int, log_age_ms: int
) -> tuple[float, float]:
    """Return bytes/s and percent of a core, for one daemon."""
    timing = _Timing(heartbeat_ms, 3 * heartbeat_ms)
    source = _Source()
    async with contextlib.AsyncExitStack() as stack:
        members = [
            await _join(stack, source, timing, number, size, log_age_ms)
            for number in range(size)
        ]
        for membership in members:
            await stack.enter_async_context(membership)
        clock = clock_module.Clock()
        while any(len(m.live()) < size for m in members):
            await clock.sleep_ms(50)
        # Until a member is settled it calls every other.
        await clock.sleep_ms(timing.suspect_ms + heartbeat_ms)
        gc.collect()
        with _Counter() as counter:
            wall, cpu = time.perf_counter(), time.process_time()
            await clock.sleep_ms(seconds * 1_000)
            wall = time.perf_counter() - wall
            cpu = time.process_time() - cpu
            received = counter.received
        assert all(len(m.live()) == size for m in members)
    return received / wall / size, 100 * cpu / wall / size


async def _calls(count: int, concurrency: int) -> tuple[float, float]:
    """Return calls/s and the p99 in ms; both ends are in this process."""
    histogram = hdrh.histogram.HdrHistogram(1, 60_000_000, 3)
    request = _heartbeat(0, 6, 1_000)

    async def answer(heartbeat: messages.Heartbeat) -> messages.Heartbeat:
        return heartbeat

    clock = clock_module.Clock()
    async with (
        peer.PeerServer({messages.Heartbeat: answer}) as server,
        peer.PeerClient(clock) as client,
    ):
        await server.start('127.0.0.1', 0)
        address = f'127.0.0.1:{server.port}'

        async def work(calls: int) -> None:
            for _ in range(calls):
                began = time.perf_counter_ns()
                await client.call(address, request, _LIMIT_MS)
                taken = time.perf_counter_ns() - began
                histogram.record_value(max(1, taken // 1_000))

        await work(100)
        histogram.reset()
        began = time.perf_counter()
        share = count // concurrency
        await asyncio.gather(*(work(share) for _ in range(concurrency)))
        spent = time.perf_counter() - began
    p99_us = histogram.get_value_at_percentile(99)
    return share * concurrency / spent, p99_us / 1_000


def _print(
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
@click.option('--quick', is_flag=True, help='Measure shorter.')
def main(quick: bool) -> None:
    """Print the figures."""
    loguru.logger.remove()
    seconds = 2 if quick else 10
    count = 800 if quick else 8_000
    for heartbeat_ms in _HEARTBEATS_MS:
        for log, log_age_ms in _LOGS.items():
            name = f'cluster.heartbeat_{heartbeat_ms}ms_{log}'
            for size in _SIZES:
                sent, core = asyncio.run(
                    _heartbeats(size, heartbeat_ms, seconds, log_age_ms)
                )
                _print(f'{name}.sent', sent, 'bytes/s', _BYTES, size)
                _print(f'{name}.cpu', core, '% core', _CORE_PERCENT, size)
    for concurrency in (1, _CONCURRENCY):
        rate, p99_ms = asyncio.run(_calls(count, concurrency))
        _print('peer.calls', rate, 'calls/s', None, concurrency)
        _print('peer.call_p99', p99_ms, 'ms', None, concurrency)


if __name__ == '__main__':
    main()
