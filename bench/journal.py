"""Measure the cost of confirmed appends to the journal over loopback.

Prints one JSON object a line. The stand-in for the log service runs as a
process of its own. CPU time is that of this process: of the client and the
journal, and in the idle measurements of the reads of new records.
"""

import asyncio
import contextlib
import json
import math
import os
import pathlib
import re
import socket
import subprocess  # noqa: S404
import sys
import time

import click
import loguru
import msgspec

from basilspindle import clock
from basilspindle import errors
from basilspindle import journal
from basilspindle import model

_SEED = 1
_APPEND_COUNT = 300
_LOAD_RECORDS_PER_S = 60
_LOAD_DURATION_MS = 10_000
_IDLE_DURATION_MS = 10_000
_START_TIMEOUT_MS = 10_000
_NO_LINGER = journal.Timing(linger_ms=0)
_BASELINE_PATH = pathlib.Path(__file__).with_name('journal_baseline.json')


def print_result(name: str, value: float, unit: str, size: int) -> None:
    """Print one result and its ratio to the stored baseline, if any."""
    baseline = None
    if _BASELINE_PATH.exists():
        baseline = json.loads(_BASELINE_PATH.read_text()).get(name)
    ratio = round(value / baseline, 3) if baseline else None
    line = {
        'name': name,
        'value': round(value, 4),
        'unit': unit,
        'baseline': baseline,
        'ratio': ratio,
        'seed': _SEED,
        'size': size,
    }
    print(json.dumps(line), flush=True)


def make_job(job_id: str) -> model.Job:
    """Return a job with an input of 100 B."""
    return model.Job(
        job_id=job_id,
        workspace='workspace-017',
        queue='queue-017-batch',
        kind='nightly-report',
        priority=model.Priority.BATCH,
        tasks=1,
        resources=model.Resources(2000, 4096, 0, 1),
        run_time_ms=60_000,
        deadline_ms=0,
        gang=False,
        service=False,
        idempotent=False,
        durable=True,
        max_attempts=3,
        input=b'x' * 100,
        key_id='a1b2c3d4',
        body_hash='0' * 64,
        submitted_wall_ms=1_700_000_000_000,
    )


def make_records(job_id: str) -> dict[str, journal.Record]:
    """Return one record of each type, with a result of 100 B."""
    state = model.State.SUCCEEDED
    return {
        'claim': journal.Claim('entry-1', '1700000000000-a1b2c3'),
        'release': journal.Release(),
        'job_accepted': journal.JobAccepted(make_job(job_id)),
        'job_cancelled': journal.JobCancelled(job_id),
        'start_intent': journal.StartIntent(job_id, 0, 1, 'worker-12'),
        'task_ended': journal.TaskEnded(
            job_id, 0, 1, state, 'worker-12', b'x' * 100, ''
        ),
        'job_ended': journal.JobEnded(job_id, model.State.EXPIRED, 'late'),
    }


def measure_sizes() -> None:
    """Print the encoded size of each record type and of an empty batch."""
    batch = journal.Batch(
        '1700000000000-a1b2c3', 1_000, 100_000, 1_700_000_000_000, []
    )
    empty_bytes = len(journal.encode(batch))
    print_result('journal.bytes.batch', empty_bytes, 'B', 1)
    job_id = '0123456789abcdef0123456789abcdef'
    for name, record in make_records(job_id).items():
        single = msgspec.structs.replace(batch, records=[record])
        size = len(journal.encode(single)) - empty_bytes
        print_result(f'journal.bytes.{name}', size, 'B', 1)


def quantile(values: list[float], fraction: float) -> float:
    """Return the value at a fraction of the sorted values."""
    ordered = sorted(values)
    return ordered[
        min(len(ordered) - 1, math.ceil(fraction * len(ordered)) - 1)
    ]


async def measure_latency(partition_journal: journal.PartitionJournal) -> None:
    """Print the latency of appends that are made one after the other."""
    times_ms: list[float] = []
    cpu_s = time.process_time()
    for number in range(_APPEND_COUNT):
        start_s = time.perf_counter()
        await partition_journal.append(
            journal.JobAccepted(make_job(f'l{number}'))
        )
        times_ms.append((time.perf_counter() - start_s) * 1_000)
    cpu_ms = (time.process_time() - cpu_s) * 1_000
    print_result(
        'journal.append.p50', quantile(times_ms, 0.5), 'ms', _APPEND_COUNT
    )
    print_result(
        'journal.append.p99', quantile(times_ms, 0.99), 'ms', _APPEND_COUNT
    )
    print_result(
        'journal.append.cpu',
        cpu_ms / _APPEND_COUNT,
        'ms/append',
        _APPEND_COUNT,
    )


async def measure_load(partition_journal: journal.PartitionJournal) -> None:
    """Print latency and CPU time of records that arrive at a fixed rate."""
    times_ms: list[float] = []

    async def append(number: int) -> None:
        start_s = time.perf_counter()
        await partition_journal.append(
            journal.JobAccepted(make_job(f'r{number}'))
        )
        times_ms.append((time.perf_counter() - start_s) * 1_000)

    count = _LOAD_RECORDS_PER_S * _LOAD_DURATION_MS // 1_000
    cpu_s = time.process_time()
    start_s = time.perf_counter()
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            due_s = start_s + number / _LOAD_RECORDS_PER_S
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            group.create_task(append(number))
    cpu_ms = (time.process_time() - cpu_s) * 1_000
    print_result('journal.load.p50', quantile(times_ms, 0.5), 'ms', count)
    print_result('journal.load.p99', quantile(times_ms, 0.99), 'ms', count)
    print_result('journal.load.cpu', cpu_ms / count, 'ms/record', count)


async def measure_idle(
    partition_journal: journal.PartitionJournal, client: journal.LogClient
) -> None:
    """Print the CPU use of an idle owned stream and of an idle reader."""
    cpu_s = time.process_time()
    await asyncio.sleep(_IDLE_DURATION_MS / 1_000)
    owner_percent = (time.process_time() - cpu_s) * 100_000 / _IDLE_DURATION_MS
    print_result(
        'journal.idle_owner.cpu',
        owner_percent,
        '% of a core',
        _IDLE_DURATION_MS,
    )
    async with journal.StreamReader(
        client, clock.Clock(), 'control'
    ) as reader:
        cpu_s = time.process_time()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_IDLE_DURATION_MS / 1_000):
                await anext(reader)
    total_percent = (time.process_time() - cpu_s) * 100_000 / _IDLE_DURATION_MS
    print_result(
        'journal.idle_reader.cpu',
        total_percent - owner_percent,
        '% of a core',
        _IDLE_DURATION_MS,
    )


async def wait_for_log(client: journal.LogClient) -> None:
    """Wait until the stand-in for the log service answers."""
    time_source = clock.Clock()
    start_ms = time_source.now_ms()
    while time_source.now_ms() - start_ms < _START_TIMEOUT_MS:
        try:
            await client.read('control', 1, 1, 0)
            return
        except errors.LogUnavailable:
            await time_source.sleep_ms(50)
    raise RuntimeError(
        f'the log stand-in did not answer within {_START_TIMEOUT_MS} ms'
    )


async def measure(url: str) -> None:
    """Print the results of all measurements that need the log."""
    time_source = clock.Clock()
    async with journal.LogClient(url) as client:
        await wait_for_log(client)
        for partition, timing, measurement in (
            (0, _NO_LINGER, measure_latency),
            (1, journal.Timing(), measure_load),
        ):
            async with journal.PartitionJournal(
                client,
                time_source,
                partition,
                member_id='entry-1',
                writer=f'bench-{os.getpid()}-{partition}',
                timing=timing,
            ) as partition_journal:
                await partition_journal.claim()
                await measurement(partition_journal)
                if measurement is measure_load:
                    await measure_idle(partition_journal, client)


def find_port() -> int:
    """Return a port that is currently free."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def read_peak_mb() -> float:
    """Return the peak resident memory of this process."""
    status = pathlib.Path('/proc/self/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+)', status)[1]) / 1024


@click.command()
def main() -> None:
    """Run all measurements; takes about 35 s."""
    loguru.logger.remove()
    measure_sizes()
    port = find_port()
    command = [sys.executable, '-m', 'tests.standins.log_service']
    with subprocess.Popen([*command, '--port', str(port)]) as process:
        try:
            asyncio.run(measure(f'http://127.0.0.1:{port}'))
        finally:
            process.terminate()
    print_result('journal.peak_memory', read_peak_mb(), 'MB', 1)


if __name__ == '__main__':
    main()
