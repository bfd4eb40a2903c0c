"""Measure the memory and the task rate of a coordinator, without network."""

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
_TASK_RESOURCES = model.Resources(1000, 500, 0, 1)
_HOLDER_ID = 'entry-1@1'
_TARGET_TASKS_PER_S = 2_000


class _FakeJournal:
    """Confirms every record at once."""

    def __init__(self) -> None:
        self.epoch = 1
        self.state = journal.PartitionState()

    async def append(self, *records: typing.Any, timeout_ms: int = 0) -> None:
        """Discard the records."""


class _FakeHolders:
    """A single holder with a number of slots that starts tasks at once."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running: list[tuple[str, int]] = []
        self.stamp = 0

    def rooms(self) -> typing.Iterator[tuple[str, messages.Room, int]]:
        free_slots = self.slots - len(self.running)
        self.stamp += 1
        free_resources = _TASK_RESOURCES.scale(free_slots)
        yield (
            _HOLDER_ID,
            messages.Room(
                1,
                free_resources,
                free_resources,
                _TASK_RESOURCES.scale(self.slots),
                free_resources,
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


def print_result(
    name: str, value: float, unit: str, size: int, target: float | None = None
) -> None:
    """Print one result as a JSON line."""
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


def _make_job(number: int, workspace: str, tasks: int = 1) -> model.Job:
    return model.Job(
        job_id=f'r{number:032x}',
        workspace=workspace,
        queue='default',
        kind='report',
        priority=model.Priority.BATCH,
        tasks=tasks,
        resources=_TASK_RESOURCES,
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


def _make_coordinator(
    slots: int, workspaces: int
) -> tuple[coordinator_package.Coordinator, _FakeHolders]:
    holders = _FakeHolders(slots)
    coordinator = coordinator_package.Coordinator(
        clock_module.Clock(),
        holders,
        coordinator_package.Timing(),
        lambda number: True,
        lambda job: True,
    )
    coordinator.set_workspaces(
        {f't{n}': policy.WorkspacePolicy() for n in range(workspaces)}
    )
    return coordinator, holders


async def measure_memory(jobs: int, workspaces: int) -> None:
    """Measure the memory per queued job and per running task."""
    for name, slots in (('queued_job', 0), ('running_task', jobs)):
        new_coordinator, _ = _make_coordinator(slots, workspaces)
        async with new_coordinator as coordinator:
            coordinator.activate(0, _FakeJournal(), [], [], 0)
            tracemalloc.start()
            before_bytes, _ = tracemalloc.get_traced_memory()
            for number in range(jobs):
                await coordinator.submit(
                    messages.Submit(
                        partition=0,
                        job=_make_job(number, f't{number % workspaces}'),
                    )
                )
            await asyncio.sleep(0.5 if not slots else 2)
            after_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        print_result(
            f'memory_{name}_bytes',
            (after_bytes - before_bytes) / jobs,
            'B',
            jobs,
        )


async def measure_workspace_memory(workspaces: int) -> None:
    """Measure the memory per workspace without jobs."""
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    new_coordinator, _ = _make_coordinator(0, workspaces)
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print_result(
        'memory_workspace_bytes',
        (after_bytes - before_bytes) / workspaces,
        'B',
        workspaces,
    )
    await asyncio.sleep(0)
    del new_coordinator


async def measure_rate(tasks: int) -> None:
    """Measure how many tasks of one job start and end per CPU second."""
    new_coordinator, holders = _make_coordinator(256, 1)
    async with new_coordinator as coordinator:
        coordinator.activate(0, _FakeJournal(), [], [], 0)
        start_s = time.process_time()
        await coordinator.submit(
            messages.Submit(partition=0, job=_make_job(0, 't0', tasks))
        )
        ended_tasks = 0
        while ended_tasks < tasks:
            await asyncio.sleep(0)
            batch, holders.running = holders.running, []
            if not batch:
                await asyncio.sleep(0.001)
                continue
            ended_tasks += len(batch)
            await coordinator.report(
                messages.Report(
                    holder_id=_HOLDER_ID,
                    partition=0,
                    ends=[_make_task_end(*key) for key in batch],
                )
            )
        spent_s = time.process_time() - start_s
    print_result(
        'coordinator_starts_per_s',
        tasks / spent_s,
        '1/s',
        tasks,
        _TARGET_TASKS_PER_S,
    )


def _make_task_end(task_id: str, attempt: int) -> model.TaskEnd:
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
    """Print the results of all measurements."""
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
