"""Measure what changes of the configuration cost daemons of the platform.

Daemons run as processes against the stand-in of the store, or, for narrow
links, in this process. Prints one JSON object a line.

Usage: ``python -m bench.configuration [--root PATH] [--quick]``; ``--root``
measures the daemons of another checkout.
"""

import asyncio
import contextlib
import datetime
import io
import json
import pathlib
import statistics
import tempfile
import time
import typing

import click
import httpx

from basilspindle import events
from bench import path as path_bench
from tests import platform_case
from tests.standins import narrow_cell
from tests.standins import platform

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_CHANGES = 20
_IN_FORCE_TIMEOUT_S = 30.0
_START_TIMEOUT_S = 30.0
_IDLE_S = 5.0
_TARGET_IN_FORCE_MS = 3_000
_QUEUE_COUNTS = (45, 1_445, 2_845, 4_245)
_DAEMON_COUNTS = (2, 6, 12, 24)
_RATES_PER_S = (0.5, 2.0, 5.0)
_LINK_BYTES_S = (125_000, 625_000, 1_250_000, 12_500_000)
_DEFAULT_QUEUES = 1_445
_DEFAULT_DAEMONS = 6
_DEFAULT_RATE_PER_S = 2.0


def print_result(
    name: str, value: float, unit: str, size: str, target: float | None = None
) -> None:
    """Print one result."""
    line = {
        'name': f'configuration.{name}',
        'value': round(value, 3),
        'unit': unit,
        'baseline': target,
        'size': size,
    }
    print(json.dumps(line), flush=True)


class Cell(contextlib.AsyncExitStack):
    """Daemons as processes with a store that the bench publishes to."""

    def __init__(self, count: int, root: pathlib.Path) -> None:
        super().__init__()
        self._count = count
        self._root = root
        self.version = 0
        self.queue_count = 0
        self.daemons: list[platform_case.Daemon] = []

    async def __aenter__(self) -> typing.Self:
        folder = self.enter_context(tempfile.TemporaryDirectory())
        self.store = platform.StandinStore()
        advice = platform.StandinAdvice()
        await self.enter_async_context(self.store)
        await self.enter_async_context(advice)
        self._client = await self.enter_async_context(
            httpx.AsyncClient(
                timeout=10, limits=httpx.Limits(max_connections=200)
            )
        )
        self.publish(45)
        for number in range(self._count):
            daemon = platform_case.Daemon(
                f'd{number}',
                pathlib.Path(folder),
                self.store.server.address,
                advice.server.address,
            )
            daemon.root = self._root
            self.daemons.append(daemon)
            self.push_async_callback(daemon.kill)
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_status(daemon, f'key-{self.version}', 200)
        return self

    def publish(self, queue_count: int) -> None:
        """Publish a version with a new key instead of the one before."""
        self.version += 1
        self.queue_count = queue_count
        routes = narrow_cell.make_routes(queue_count - 1)
        self.store.put(
            'keyed.op',
            'config',
            platform.make_configuration(
                self.version,
                keys=(f'key-{self.version}',),
                routes=('jobs', *routes),
            ),
        )

    async def wait_status(
        self, daemon: platform_case.Daemon, key: str, status: int
    ) -> None:
        """Wait until a daemon answers a key with a status."""
        url = f'http://127.0.0.1:{daemon.frontend_port}/jobs/'
        headers = {
            'Host': platform_case.HOST,
            'Authorization': f'Bearer {key}',
        }
        deadline_s = time.monotonic() + _START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(httpx.TransportError):
                response = await self._client.get(url, headers=headers)
                if response.status_code == status:
                    return
            await asyncio.sleep(0.02)
        raise TimeoutError(f'{daemon.node} does not answer {status}')

    def in_force_ms(self, version: int, published_wall_s: float) -> float:
        """Return when the last daemon had a version, from the logs."""
        return (
            max(
                (
                    _find_in_force(daemon.log_path, version) - published_wall_s
                    for daemon in self.daemons
                )
            )
            * 1000
        )

    def usage(self) -> list['Usage']:
        """Return what each daemon has used so far, the leader first."""
        usages = [Usage(daemon) for daemon in self.daemons]
        return sorted(usages, key=lambda usage: not usage.leads)


class Usage:
    """Processor time, memory and bytes of one daemon."""

    def __init__(self, daemon: platform_case.Daemon) -> None:
        assert daemon.process is not None
        pid = daemon.process.pid
        text = daemon.log_path.read_text()
        self.leads = text.rfind('"name":"leader_ready"') > text.rfind(
            '"name":"leader_lost"'
        )
        self.cpu_ms = path_bench.read_cpu_s(pid) * 1000
        self.rss_mb = path_bench.read_rss_mb(pid)
        self.sockets = path_bench.read_socket_bytes(pid)

    def bytes_since(self, earlier: 'Usage') -> int:
        """Return the bytes sent and received since an earlier reading."""
        return sum(
            count - earlier.sockets.get(name, 0)
            for name, count in self.sockets.items()
        )


def _find_in_force(log_path: pathlib.Path, version: int) -> float:
    for text in log_path.read_text().splitlines():
        if '"configuration_in_force"' not in text:
            continue
        line = json.loads(text)
        if line['version'] >= version:
            return datetime.datetime.fromisoformat(line['time']).timestamp()
    raise LookupError(f'{log_path.name}: version {version} not in force')


async def _measure_changes(
    root: pathlib.Path,
    daemon_count: int,
    queue_count: int,
    rate_per_s: float,
    changes: int,
) -> None:
    size = (
        f'{queue_count} queues, {daemon_count} daemons, {rate_per_s} changes/s'
    )
    async with Cell(daemon_count, root) as cell:
        cell.publish(queue_count)
        for daemon in cell.daemons:
            await cell.wait_status(daemon, f'key-{cell.version}', 200)
        idle_begin = cell.usage()
        await asyncio.sleep(_IDLE_S)
        begin = cell.usage()
        store_bytes = cell.store.server.sent_bytes
        begun_s = time.monotonic()
        published: dict[int, float] = {}
        for number in range(changes):
            await asyncio.sleep(
                max(0.0, begun_s + number / rate_per_s - time.monotonic())
            )
            cell.publish(queue_count)
            published[cell.version] = time.time()
        for daemon in cell.daemons:
            await cell.wait_status(daemon, f'key-{cell.version}', 200)
            await cell.wait_status(daemon, f'key-{cell.version - 1}', 401)
        await asyncio.sleep(1.0 / rate_per_s)
        spent_s = time.monotonic() - begun_s
        end = cell.usage()
        times_ms = [
            cell.in_force_ms(version, wall_s)
            for version, wall_s in published.items()
        ]
    _print_times(times_ms, size)
    store_bytes = cell.store.server.sent_bytes - store_bytes
    print_result('store_bytes_a_change', store_bytes / changes, 'B', size)
    for name, chosen in (
        ('leader', slice(0, 1)),
        ('follower', slice(1, None)),
    ):
        rows = list(
            zip(idle_begin[chosen], begin[chosen], end[chosen], strict=True)
        )
        cpu_ms = statistics.mean(
            late.cpu_ms
            - early.cpu_ms
            - (early.cpu_ms - idle.cpu_ms) * spent_s / _IDLE_S
            for idle, early, late in rows
        )
        traffic = statistics.mean(
            late.bytes_since(early)
            - early.bytes_since(idle) * spent_s / _IDLE_S
            for idle, early, late in rows
        )
        print_result(f'{name}_cpu_a_change', cpu_ms / changes, 'ms', size)
        print_result(f'{name}_bytes_a_change', traffic / changes, 'B', size)
        print_result(
            f'{name}_memory',
            statistics.mean(late.rss_mb for _, _, late in rows),
            'MB',
            size,
        )


def _print_times(times_ms: list[float], size: str) -> None:
    times_ms.sort()
    print_result('in_force_median', statistics.median(times_ms), 'ms', size)
    print_result(
        'in_force_slowest', times_ms[-1], 'ms', size, _TARGET_IN_FORCE_MS
    )


async def _measure_link(rate: int, with_leader: bool) -> None:
    """Measure how long a daemon on a narrow link takes to follow."""
    async with narrow_cell.NarrowCell() as cell:
        cell.publish(1)
        if with_leader:
            await cell.start_leader()
        daemon = await cell.start('narrow', rate)
        await narrow_cell.wait_until(lambda: daemon.node.is_ready)
        source = 'leader' if with_leader else 'store'
        steps = (
            ('first growth', 1_445, 1),
            ('change', 1_445, 2),
            ('second growth', 2_845, 2),
            ('third growth', 4_245, 2),
            ('change', 4_245, 3),
        )
        for version, (step, queue_count, key) in enumerate(steps, start=2):
            received = daemon.link.received_bytes
            cell.publish(
                version,
                routes=narrow_cell.make_routes(queue_count),
                keys=(f'key-{key}',),
            )
            await narrow_cell.wait_until(
                lambda version=version: daemon.version >= version,
                _IN_FORCE_TIMEOUT_S,
            )
            took_ms = (time.monotonic() - cell.published_s[version]) * 1000
            size = (
                f'{step} to {queue_count} queues from the {source}, '
                f'{rate * 8 / 1_000_000:g} Mbit/s'
            )
            print_result('narrow_in_force', took_ms, 'ms', size, 3_000)
            print_result(
                'narrow_bytes',
                daemon.link.received_bytes - received,
                'B',
                size,
            )


async def _measure_all(root: pathlib.Path, quick: bool) -> None:
    changes = 6 if quick else _CHANGES
    cases = [
        *(
            (_DEFAULT_DAEMONS, count, _DEFAULT_RATE_PER_S)
            for count in _QUEUE_COUNTS
        ),
        *(
            (count, _DEFAULT_QUEUES, _DEFAULT_RATE_PER_S)
            for count in _DAEMON_COUNTS
        ),
        *((_DEFAULT_DAEMONS, _DEFAULT_QUEUES, rate) for rate in _RATES_PER_S),
    ]
    for daemon_count, queue_count, rate_per_s in dict.fromkeys(cases):
        await _measure_changes(
            root, daemon_count, queue_count, rate_per_s, changes
        )
    if root == _ROOT:
        events.configure_logging(io.StringIO())
        for rate in _LINK_BYTES_S:
            for with_leader in (True, False):
                await _measure_link(rate, with_leader)


@click.command()
@click.option(
    '--root',
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
    default=_ROOT,
    help='Source tree of the daemons.',
)
@click.option('--quick', is_flag=True, help='Fewer changes.')
def main(root: pathlib.Path, quick: bool) -> None:
    """Measure what changes of the configuration cost."""
    asyncio.run(_measure_all(root, quick))


if __name__ == '__main__':
    main()
