"""Measure the memory and the rate of a coordinator without a network."""

import argparse
import asyncio
import json
import time
import tracemalloc
import typing

import loguru

from basilspindle import clock as clock_module
from basilspindle import coordinator as coordinator_package
from basilspindle import journal
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy

_SEED = 0
_NEED = model.Resources(1000, 500, 0, 1)
_HOLDER = 'entry-1@1'
_RATE_TARGET = 2_000


class _Journal:
    """Confirm every record at once."""

    def __init__(self) -> None:
        self.epoch = 1
        self.state = journal.PartitionState()

    async def append(self, *records: typing.Any, timeout_ms: int = 0) -> None:
        """Take records."""


class _Holders:
    """One holder with room for a number of tasks; starts at once."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: list[tuple[str, int]] = []
        self.stamp = 0

    def rooms(self) -> typing.Iterator[tuple[str, messages.Room, int]]:
        free = self.slots - len(self.running)
        self.stamp += 1
        amounts = _NEED.scale(free)
        yield (
            _HOLDER,
            messages.Room(
                1, amounts, amounts, _NEED.scale(self.slots), amounts
            ),
            self.stamp,
        )

    def is_lost(self, name: str) -> bool:
        return False

    def lowest_waiting_shares(self) -> list[float]:
        return [-1.0, -1.0, -1.0]

    async def place(
        self, name: str, request: messages.Place
    ) -> messages.Placed:
        placements = []
        for order in request.orders:
            self.running.append((order.task_id, order.attempt))
            placements.append(
                messages.Placement(
                    task_id=order.task_id,
                    attempt=order.attempt,
                    worker_id='worker-1',
                    failure_domain='fd',
                    rack='r',
                )
            )
        return messages.Placed(placements=placements)


def report(
    name: str, value: float, unit: str, size: int, target: float | None = None
) -> None:
    """Print one figure."""
    ratio = round(value / target, 3) if target else None
    line = {
        'name': name,
        'value': round(value, 3),
        'unit': unit,
        'baseline': target,
        'ratio': ratio,
        'seed': _SEED,
        'size': size,
    }
    print(json.dumps(line), flush=True)


def _job(number: int, workspace: str, tasks: int = 1) -> model.Job:
    return model.Job(
        job_id=f'r{number:032x}',
        workspace=workspace,
        queue='default',
        kind='report',
        priority=model.Priority.BATCH,
        tasks=tasks,
        resources=_NEED,
        run_time_ms=1000,
        deadline_ms=0,
        gang=False,
        service=False,
        idempotent=True,
        durable=False,
        max_attempts=3,
        input=b'{"text": "' + b'x' * 90 + b'"}',
        key_id='red',
        body_hash='0' * 32,
        submitted_wall_ms=0,
    )


def _make(
    slots: int, workspaces: int
) -> tuple[coordinator_package.Coordinator, _Holders]:
    holders = _Holders(slots)
    made = coordinator_package.Coordinator(
        clock_module.Clock(),
        holders,
        coordinator_package.Timing(),
        lambda number: True,
        lambda job: True,
    )
    made.set_workspaces(
        {f't{n}': policy.WorkspacePolicy() for n in range(workspaces)}
    )
    return made, holders


async def measure_memory(jobs: int, workspaces: int) -> None:
    """Measure the memory of queued jobs and of running tasks."""
    for name, slots in (('queued_job', 0), ('running_task', jobs)):
        made, _ = _make(slots, workspaces)
        async with made as coordinator:
            coordinator.activate(0, _Journal(), [], [], 0)
            tracemalloc.start()
            before, _ = tracemalloc.get_traced_memory()
            for number in range(jobs):
                await coordinator.submit(
                    messages.Submit(
                        partition=0,
                        job=_job(number, f't{number % workspaces}'),
                    )
                )
            await asyncio.sleep(0.5 if not slots else 2)
            after, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        report(f'memory_{name}_bytes', (after - before) / jobs, 'B', jobs)


async def measure_workspace_memory(workspaces: int) -> None:
    """Measure the memory of a workspace without work."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made, _ = _make(0, workspaces)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    report(
        'memory_workspace_bytes',
        (after - before) / workspaces,
        'B',
        workspaces,
    )
    await asyncio.sleep(0)
    del made


async def measure_rate(tasks: int) -> None:
    """Measure starts and ends of a wide job in one loop."""
    made, holders = _make(256, 1)
    async with made as coordinator:
        coordinator.activate(0, _Journal(), [], [], 0)
        start = time.process_time()
        await coordinator.submit(
            messages.Submit(partition=0, job=_job(0, 't0', tasks))
        )
        ended = 0
        while ended < tasks:
            await asyncio.sleep(0)
            batch, holders.running = holders.running, []
            if not batch:
                await asyncio.sleep(0.001)
                continue
            ended += len(batch)
            await coordinator.report(
                messages.Report(
                    holder_id=_HOLDER,
                    partition=0,
                    ends=[_end(*key) for key in batch],
                )
            )
        spent_s = time.process_time() - start
    report(
        'coordinator_starts_per_s',
        tasks / spent_s,
        '1/s',
        tasks,
        _RATE_TARGET,
    )


def _end(task_id: str, attempt: int) -> model.TaskEnd:
    return model.TaskEnd(
        task_id=task_id,
        attempt=attempt,
        workspace='t0',
        partition=0,
        worker_id='worker-1',
        state=model.State.SUCCEEDED,
        result=b'1',
    )


async def run(quick: bool) -> None:
    """Print all figures."""
    for jobs in (500, 2_000) if quick else (500, 2_000, 5_100):
        await measure_memory(jobs, 6)
    for workspaces in (6, 60, 270):
        await measure_workspace_memory(workspaces)
    for tasks in (1_000, 4_000) if quick else (1_000, 4_000, 10_000):
        await measure_rate(tasks)


def main() -> None:
    """Run the measurements."""
    loguru.logger.remove()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--quick', action='store_true')
    asyncio.run(run(parser.parse_args().quick))


if __name__ == '__main__':
    main()
