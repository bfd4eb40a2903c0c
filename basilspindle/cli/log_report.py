"""Compute queueing, shares and utilization over time from log lines."""

import collections
import collections.abc

from basilspindle.cli import log_lines

_UNKNOWN = 'unknown'
# Statuses which promise callers that the job never runs.
_REFUSAL_STATUSES = (429, 503)


class Series:
    """Hold a value per name for each time step; missing values are 0."""

    __slots__ = ('rows', 'names')

    def __init__(self) -> None:
        self.rows: list[dict[str, float]] = []
        self.names: set[str] = set()

    def add(self, values: collections.abc.Mapping[str, float]) -> None:
        """Append the values of one time step."""
        self.rows.append(dict(values))
        self.names.update(name for name, value in values.items() if value)

    def values_of(self, name: str) -> list[float]:
        """Return the values of a name, one per time step."""
        return [row.get(name, 0.0) for row in self.rows]


class Report:
    """Hold the metrics of a period in equal time steps.

    ``waiting_jobs`` counts, by queue, the accepted jobs that have not
    started, ``used_cores`` the cores of running tasks by workspace,
    ``capacity_cores`` the cores of the known workers, and ``refusals`` the
    submissions that callers were refused, by reason, all per time step.
    ``leader_ready_s`` holds the times at which a leader became ready, from
    the start of the period.
    """

    __slots__ = (
        'begin_s',
        'step_s',
        'waiting_jobs',
        'used_cores',
        'capacity_cores',
        'refusals',
        'leader_ready_s',
        'unreadable_count',
    )

    def __init__(self, begin_s: float, step_s: float) -> None:
        self.begin_s = begin_s
        self.step_s = step_s
        self.waiting_jobs = Series()
        self.used_cores = Series()
        self.capacity_cores: list[float] = []
        self.refusals = Series()
        self.leader_ready_s: list[float] = []
        self.unreadable_count = 0

    @property
    def step_ends_s(self) -> list[float]:
        """Return the end of each time step, from the start of the period."""
        return [
            (number + 1) * self.step_s
            for number in range(len(self.capacity_cores))
        ]


class _TaskRun:
    __slots__ = ('run_number', 'worker', 'workspace', 'cores')

    def __init__(
        self, run_number: int, worker: str, workspace: str, cores: float
    ) -> None:
        self.run_number = run_number
        self.worker = worker
        self.workspace = workspace
        self.cores = cores


class _FailedSubmissions:
    """Tell which refusals of a leader are in the lines on callers' answers.

    A leader refuses copies of a submission. A daemon that gets such a refusal
    may ask again, and refuses by itself without a leader. Builds without lines
    on the answers are known by the refusals of leaders only.
    """

    __slots__ = ('_begin_s', '_job_ids')

    def __init__(self, lines: list[log_lines.LogLine]) -> None:
        found = [line for line in lines if line.name == 'submission_failed']
        self._begin_s = min(
            (line.time_s for line in found), default=float('inf')
        )
        self._job_ids = {line.fields.get('job') for line in found}

    def covers(self, line: log_lines.LogLine) -> bool:
        """Tell whether a refusal of a leader must not be counted."""
        is_later = line.time_s >= self._begin_s
        return is_later or line.fields.get('job') in self._job_ids


class _ReplayState:
    """The waiting jobs, runs and workers after the events read so far."""

    __slots__ = (
        'waiting_jobs',
        'workspaces_by_job',
        'runs',
        'capacity_cores',
        'refusals',
        '_submissions',
    )

    def __init__(self, submissions: '_FailedSubmissions') -> None:
        self._submissions = submissions
        # Queues of the waiting jobs and workspaces of all jobs, by job id.
        self.waiting_jobs: dict[str, str] = {}
        self.workspaces_by_job: dict[str, str] = {}
        self.runs: dict[str, _TaskRun] = {}
        self.capacity_cores: dict[str, float] = {}
        self.refusals: collections.Counter[str] = collections.Counter()

    def apply(self, line: log_lines.LogLine) -> None:
        """Apply an event; ignore those that do not affect the report."""
        handler = _HANDLERS.get(line.name)
        if handler is not None:
            handler(self, line.fields)
        elif line.name == 'job_refused':
            if not self._submissions.covers(line):
                self._count_refusal(line.fields)

    def note_job_accepted(self, fields: log_lines.Fields) -> None:
        job_id = str(fields.get('job'))
        self.waiting_jobs[job_id] = str(fields.get('queue', _UNKNOWN))
        self.workspaces_by_job[job_id] = str(fields.get('workspace', _UNKNOWN))

    def note_submission_failed(self, fields: log_lines.Fields) -> None:
        if fields.get('status') in _REFUSAL_STATUSES:
            self._count_refusal(fields)

    def _count_refusal(self, fields: log_lines.Fields) -> None:
        self.refusals[str(fields.get('reason', _UNKNOWN))] += 1

    def note_job_ended(self, fields: log_lines.Fields) -> None:
        self.waiting_jobs.pop(str(fields.get('job')), None)

    def note_task_started(self, fields: log_lines.Fields) -> None:
        name = str(fields.get('task'))
        job_id = name.partition('.')[0]
        self.waiting_jobs.pop(job_id, None)
        self.runs[name] = _TaskRun(
            _as_int(fields.get('run')),
            str(fields.get('worker')),
            self.workspaces_by_job.get(job_id, _UNKNOWN),
            _as_int(fields.get('cpu_millicores')) / 1000,
        )

    def note_task_ended(self, fields: log_lines.Fields) -> None:
        name = str(fields.get('task'))
        run = self.runs.get(name)
        if run is not None and run.run_number <= _as_int(fields.get('run')):
            del self.runs[name]

    def note_start_failed(self, fields: log_lines.Fields) -> None:
        # A start with an unknown outcome may have succeeded; later events
        # of the task or its worker show it.
        if fields.get('outcome') != 'unknown':
            self.note_task_ended(fields)

    def note_worker_gained(self, fields: log_lines.Fields) -> None:
        cores = _as_int(fields.get('cpu_millicores')) / 1000
        if cores:
            self.capacity_cores[str(fields.get('worker'))] = cores

    def note_worker_lost(self, fields: log_lines.Fields) -> None:
        worker = str(fields.get('worker'))
        self.capacity_cores.pop(worker, None)
        for name, run in list(self.runs.items()):
            if run.worker == worker:
                del self.runs[name]


_HANDLERS: dict[
    str, collections.abc.Callable[[_ReplayState, log_lines.Fields], None]
] = {
    'job_accepted': _ReplayState.note_job_accepted,
    'submission_failed': _ReplayState.note_submission_failed,
    'job_ended': _ReplayState.note_job_ended,
    'task_started': _ReplayState.note_task_started,
    'task_ended': _ReplayState.note_task_ended,
    'start_failed': _ReplayState.note_start_failed,
    'worker_gained': _ReplayState.note_worker_gained,
    'worker_lost': _ReplayState.note_worker_lost,
}


def collect(
    raw_lines: collections.abc.Iterable[tuple[str, str]], step_s: float
) -> Report | None:
    """Return the report on all lines; None if no line can be parsed."""
    reader = log_lines.LogReader(raw_lines)
    lines = sorted(reader, key=lambda line: line.time_s)
    if not lines:
        return None
    report = Report(lines[0].time_s, step_s)
    report.unreadable_count = reader.unreadable_count
    state = _ReplayState(_FailedSubmissions(lines))
    end_s = report.begin_s + step_s
    for line in lines:
        while line.time_s >= end_s:
            _close_step(report, state)
            end_s += step_s
        state.apply(line)
        if line.name == 'leader_ready':
            report.leader_ready_s.append(line.time_s - report.begin_s)
    _close_step(report, state)
    return report


def _close_step(report: Report, state: _ReplayState) -> None:
    report.waiting_jobs.add(collections.Counter(state.waiting_jobs.values()))
    cores: collections.Counter[str] = collections.Counter()
    for run in state.runs.values():
        cores[run.workspace] += run.cores  # type: ignore[assignment]
    report.used_cores.add(cores)
    report.capacity_cores.append(sum(state.capacity_cores.values()))
    report.refusals.add(state.refusals)
    state.refusals.clear()


def _as_int(value: object) -> int:
    return value if isinstance(value, int) else 0
