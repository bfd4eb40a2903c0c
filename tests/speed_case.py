"""Fixtures that play the tasks of workers of different speeds."""

import random

from basilspindle.cell.decisions import speed
from basilspindle.cell import report as report_module
from basilspindle.workflow import task_state
from tests import cell_case

_STEP_MS = 50
_REPORT_MS = 250
SLOW = 0.55
FAST = 1.2


class PlayedRun:
    """Run of a task on a worker, ``work_ms`` long at speed 1."""

    def __init__(self, start, work_ms):
        self.task = start.task
        self.run = start.run
        self.worker_id = start.worker_id
        self.work_ms = work_ms
        self.done_ms = 0.0


class SpeedCase(cell_case.CellCase):
    """Fleet whose workers have given speeds, and tasks with noise.

    Estimates of steps are off by ``estimate_error`` (standard deviation of the
    log ratio), tasks of one step differ by ``task_error``, and ``tail`` of
    them take seven times as long.
    """

    estimate_error = 0.6
    task_error = 0.25
    tail = 0.03

    def make_fleet(self, speeds, cpu=4_000, seed=1, rack=None):
        self.random = random.Random(seed)
        self.speeds = {}
        self.runs = {}
        self.ended = []
        self.jobs = 0
        for number, worker_speed in enumerate(speeds):
            name = f'w{number:03}'
            self.speeds[name] = worker_speed
            self.add_worker(name, cpu, rack or f'r{number % 4}')

    def make_mixed_fleet(self, count=24, **changes):
        """Make a fleet with a quarter of slow workers."""
        speeds = [SLOW if n % 4 == 0 else FAST for n in range(count)]
        self.make_fleet(speeds, **changes)

    @property
    def slow_ids(self):
        return {name for name in self.speeds if self.speeds[name] == SLOW}

    def submit_step(self, count=1, definition=None, **changes):
        self.jobs += 1
        step = cell_case.make_step(count, **changes)
        job = self.submit(
            cell_case.make_definition(
                f'{self.jobs:016x}', step, **(definition or {})
            )
        )
        self.start()
        return job

    def start(self):
        starts = self.start_all(self.plan())
        factors = {}
        for start in starts:
            run = start.task.step_run
            if run.key not in factors:
                factors[run.key] = self.random.lognormvariate(
                    0, self.estimate_error
                )
            work_ms = run.step.estimate_ms * factors[run.key]
            work_ms *= self.random.lognormvariate(0, self.task_error)
            if self.random.random() < self.tail:
                work_ms *= 7
            self.runs[start.task.name, start.run] = PlayedRun(start, work_ms)
        return starts

    def speed_of(self, played):
        run = played.task.step_run
        rack = run.step.data_rack
        worker_speed = self.speeds[played.worker_id]
        if rack and self.state.workers[played.worker_id].rack != rack:
            worker_speed /= self.state.bounds.remote_factor
        return worker_speed

    def play(self, duration_ms, submit=None):
        """Play time steps; ``submit`` is called in each."""
        for _ in range(0, duration_ms, _STEP_MS):
            self.now_ms += _STEP_MS
            self._advance()
            for number, name in enumerate(self.state.workers):
                if (self.now_ms // _STEP_MS + number) % (
                    _REPORT_MS // _STEP_MS
                ) == 0:
                    self._report(name)
            if submit is not None:
                submit()
            self.start()

    def _advance(self):
        gangs = {}
        for key, played in list(self.runs.items()):
            task = played.task
            if task.run != played.run or not task.occupies_worker:
                del self.runs[key]
            elif task.step_run.step.gang:
                gangs.setdefault(task.step_run.key, []).append(played)
            else:
                played.done_ms += _STEP_MS * self.speed_of(played)
        for members in gangs.values():
            slowest = min(self.speed_of(played) for played in members)
            work_ms = max(played.work_ms for played in members)
            for played in members:
                played.work_ms = work_ms
                played.done_ms += _STEP_MS * slowest
        for key, played in list(self.runs.items()):
            kind = report_module.EndKind.DONE
            if played.task.state is task_state.TaskState.STOPPING:
                kind = report_module.EndKind.STOPPED
            elif played.done_ms < played.work_ms:
                continue
            del self.runs[key]
            self.ended.append((played, kind))
            self.report_end(played.worker_id, *key, kind)
            self.record()

    def _report(self, name):
        worker = self.state.workers[name]
        worker.last_contact_ms = self.now_ms
        for task in worker.tasks.values():
            played = self.runs.get((task.name, task.run))
            if played is not None:
                percent = int(100 * played.done_ms / played.work_ms)
                task.percent = min(99, percent)
        speed.check_progress(self.state, worker, self.now_ms)
