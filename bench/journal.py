"""Measure the cost of confirmed appends over loopback.

The stand-in of the log runs as a process of its own. Prints one JSON
object a line. CPU figures are of this process: client, journal and, for
the idle figures, the reads of the tail.
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
_SAMPLES = 300
_LOAD_PER_S = 60
_LOAD_MS = 10_000
_IDLE_MS = 10_000
_START_MS = 10_000
_NO_LINGER = journal.Timing(linger_ms=0)
_BASELINES = pathlib.Path(__file__).with_name('journal_baseline.json')


def emit(name: str, value: float, unit: str, size: int) -> None:
    """Print one figure, with its ratio to the stored baseline."""
    baseline = None
    if _BASELINES.exists():
        baseline = json.loads(_BASELINES.read_text()).get(name)
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
    ended = model.State.SUCCEEDED
    return {
        'claim': journal.Claim('entry-1', '1700000000000-a1b2c3'),
        'release': journal.Release(),
        'job_accepted': journal.JobAccepted(make_job(job_id)),
        'job_cancelled': journal.JobCancelled(job_id),
        'start_intent': journal.StartIntent(job_id, 0, 1, 'worker-12'),
        'task_ended': journal.TaskEnded(
            job_id, 0, 1, ended, 'worker-12', b'x' * 100, ''
        ),
        'job_ended': journal.JobEnded(job_id, model.State.EXPIRED, 'late'),
    }


def measure_sizes() -> None:
    """Print the bytes of each record type and of an empty batch."""
    batch = journal.Batch(
        '1700000000000-a1b2c3', 1_000, 100_000, 1_700_000_000_000, []
    )
    empty = len(journal.encode(batch))
    emit('journal.bytes.batch', empty, 'B', 1)
    job_id = '0123456789abcdef0123456789abcdef'
    for name, record in make_records(job_id).items():
        full = msgspec.structs.replace(batch, records=[record])
        size = len(journal.encode(full)) - empty
        emit(f'journal.bytes.{name}', size, 'B', 1)


def rank(values: list[float], share: float) -> float:
    """Return the value at a share of the sorted values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]


async def measure_latency(opened: journal.PartitionJournal) -> None:
    """Print the time of appends one after the other."""
    times: list[float] = []
    cpu_s = time.process_time()
    for number in range(_SAMPLES):
        start_s = time.perf_counter()
        await opened.append(journal.JobAccepted(make_job(f'l{number}')))
        times.append((time.perf_counter() - start_s) * 1_000)
    cpu_ms = (time.process_time() - cpu_s) * 1_000
    emit('journal.append.p50', rank(times, 0.5), 'ms', _SAMPLES)
    emit('journal.append.p99', rank(times, 0.99), 'ms', _SAMPLES)
    emit('journal.append.cpu', cpu_ms / _SAMPLES, 'ms/append', _SAMPLES)


async def measure_load(opened: journal.PartitionJournal) -> None:
    """Print the cost of records that arrive at a fixed rate."""
    times: list[float] = []

    async def append(number: int) -> None:
        start_s = time.perf_counter()
        await opened.append(journal.JobAccepted(make_job(f'r{number}')))
        times.append((time.perf_counter() - start_s) * 1_000)

    count = _LOAD_PER_S * _LOAD_MS // 1_000
    cpu_s = time.process_time()
    start_s = time.perf_counter()
    async with asyncio.TaskGroup() as group:
        for number in range(count):
            due_s = start_s + number / _LOAD_PER_S
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            group.create_task(append(number))
    cpu_ms = (time.process_time() - cpu_s) * 1_000
    emit('journal.load.p50', rank(times, 0.5), 'ms', count)
    emit('journal.load.p99', rank(times, 0.99), 'ms', count)
    emit('journal.load.cpu', cpu_ms / count, 'ms/record', count)


async def measure_idle(
    opened: journal.PartitionJournal, client: journal.LogClient
) -> None:
    """Print the cost of an idle owned stream and of an idle reader."""
    cpu_s = time.process_time()
    await asyncio.sleep(_IDLE_MS / 1_000)
    share = (time.process_time() - cpu_s) * 100_000 / _IDLE_MS
    emit('journal.idle_owner.cpu', share, '% of a core', _IDLE_MS)
    async with journal.StreamReader(
        client, clock.Clock(), 'control'
    ) as reader:
        cpu_s = time.process_time()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_IDLE_MS / 1_000):
                await anext(reader)
    both = (time.process_time() - cpu_s) * 100_000 / _IDLE_MS
    emit('journal.idle_reader.cpu', both - share, '% of a core', _IDLE_MS)


async def wait_for_log(client: journal.LogClient) -> None:
    """Wait until the stand-in answers."""
    time_source = clock.Clock()
    start_ms = time_source.now_ms()
    while time_source.now_ms() - start_ms < _START_MS:
        try:
            await client.read('control', 1, 1, 0)
            return
        except errors.LogUnavailable:
            await time_source.sleep_ms(50)
    raise RuntimeError(f'the stand-in did not answer within {_START_MS} ms')


async def measure(url: str) -> None:
    """Print all figures that need the log."""
    time_source = clock.Clock()
    async with journal.LogClient(url) as client:
        await wait_for_log(client)
        for partition, timing, part in (
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
            ) as opened:
                await opened.claim()
                await part(opened)
                if part is measure_load:
                    await measure_idle(opened, client)


def find_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


def read_peak_mb() -> float:
    """Return the greatest resident size of this process."""
    status = pathlib.Path('/proc/self/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+)', status)[1]) / 1024


@click.command()
def main() -> None:
    """Run the measurement; takes about 35 s."""
    loguru.logger.remove()
    measure_sizes()
    port = find_port()
    command = [sys.executable, '-m', 'tests.standins.log_service']
    with subprocess.Popen([*command, '--port', str(port)]) as process:
        try:
            asyncio.run(measure(f'http://127.0.0.1:{port}'))
        finally:
            process.terminate()
    emit('journal.peak_memory', read_peak_mb(), 'MB', 1)


if __name__ == '__main__':
    main()
