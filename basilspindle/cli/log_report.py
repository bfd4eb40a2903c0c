"""Add up what log lines tell of waiting, shares and packing."""

import collections
import collections.abc

from basilspindle.cli import log_lines

_UNKNOWN = 'unknown'


class Series:
    """Values by name at each step of time; a name is 0 where not seen."""

    __slots__ = ('rows', 'names')

    def __init__(self) -> None:
        self.rows: list[dict[str, float]] = []
        self.names: set[str] = set()

    def add(self, values: collections.abc.Mapping[str, float]) -> None:
        """Append the values of one step."""
        self.rows.append(dict(values))
        self.names.update(name for name, value in values.items() if value)

    def of(self, name: str) -> list[float]:
        """Return the values of one name."""
        return [row.get(name, 0.0) for row in self.rows]


class Report:
    """Figures of a period in equal steps.

    ``waiting`` are accepted jobs without a start by queue, ``cores`` what
    runs by workspace, ``capacity`` the cores of the known workers,
    ``refused`` the refusals in a step by reason. ``leader_times_s`` are
    changes of leader, from the start of the period.
    """

    __slots__ = (
        'begin_s',
        'step_s',
        'waiting',
        'cores',
        'capacity',
        'refused',
        'leader_times_s',
        'unreadable_count',
    )

    def __init__(self, begin_s: float, step_s: float) -> None:
        self.begin_s = begin_s
        self.step_s = step_s
        self.waiting = Series()
        self.cores = Series()
        self.capacity: list[float] = []
        self.refused = Series()
        self.leader_times_s: list[float] = []
        self.unreadable_count = 0

    @property
    def times_s(self) -> list[float]:
        """Return the end of each step from the start of the period."""
        return [
            (number + 1) * self.step_s for number in range(len(self.capacity))
        ]


class _Run:
    __slots__ = ('run', 'worker', 'workspace', 'cores')

    def __init__(
        self, run: int, worker: str, workspace: str, cores: float
    ) -> None:
        self.run = run
        self.worker = worker
        self.workspace = workspace
        self.cores = cores


class _Account:
    """What waits and runs at one moment."""

    __slots__ = ('waiting', 'workspaces', 'runs', 'capacity', 'refused')

    def __init__(self) -> None:
        # Queue by job that waits, workspace by job.
        self.waiting: dict[str, str] = {}
        self.workspaces: dict[str, str] = {}
        self.runs: dict[str, _Run] = {}
        self.capacity: dict[str, float] = {}
        self.refused: collections.Counter[str] = collections.Counter()

    def apply(self, line: log_lines.Line) -> None:
        """Take in one event; others change nothing here."""
        apply = _APPLY.get(line.name)
        if apply is not None:
            apply(self, line.fields)

    def note_accepted(self, fields: log_lines.Fields) -> None:
        job_id = str(fields.get('job'))
        self.waiting[job_id] = str(fields.get('queue', _UNKNOWN))
        self.workspaces[job_id] = str(fields.get('workspace', _UNKNOWN))

    def note_refused(self, fields: log_lines.Fields) -> None:
        self.refused[str(fields.get('reason', _UNKNOWN))] += 1

    def note_ended(self, fields: log_lines.Fields) -> None:
        self.waiting.pop(str(fields.get('job')), None)

    def note_started(self, fields: log_lines.Fields) -> None:
        name = str(fields.get('task'))
        job_id = name.partition('.')[0]
        self.waiting.pop(job_id, None)
        self.runs[name] = _Run(
            _number(fields.get('run')),
            str(fields.get('worker')),
            self.workspaces.get(job_id, _UNKNOWN),
            _number(fields.get('cpu_millicores')) / 1000,
        )

    def note_over(self, fields: log_lines.Fields) -> None:
        name = str(fields.get('task'))
        found = self.runs.get(name)
        if found is not None and found.run <= _number(fields.get('run')):
            del self.runs[name]

    def note_start_failed(self, fields: log_lines.Fields) -> None:
        # A start without an answer may run; its stop or end tells.
        if fields.get('outcome') != 'unknown':
            self.note_over(fields)

    def note_worker(self, fields: log_lines.Fields) -> None:
        cores = _number(fields.get('cpu_millicores')) / 1000
        if cores:
            self.capacity[str(fields.get('worker'))] = cores

    def note_worker_lost(self, fields: log_lines.Fields) -> None:
        worker = str(fields.get('worker'))
        self.capacity.pop(worker, None)
        for name, run in list(self.runs.items()):
            if run.worker == worker:
                del self.runs[name]


_APPLY: dict[
    str, collections.abc.Callable[[_Account, log_lines.Fields], None]
] = {
    'job_accepted': _Account.note_accepted,
    'job_refused': _Account.note_refused,
    'job_ended': _Account.note_ended,
    'task_started': _Account.note_started,
    'task_ended': _Account.note_over,
    'start_failed': _Account.note_start_failed,
    'worker_gained': _Account.note_worker,
    'worker_lost': _Account.note_worker_lost,
}


def collect(
    texts: collections.abc.Iterable[tuple[str, str]], step_s: float
) -> Report | None:
    """Return the figures of all lines; None if no line can be read."""
    lines = log_lines.Lines(texts)
    rows = sorted(lines, key=lambda line: line.at_s)
    if not rows:
        return None
    report = Report(rows[0].at_s, step_s)
    report.unreadable_count = lines.unreadable_count
    account = _Account()
    end_s = report.begin_s + step_s
    for line in rows:
        while line.at_s >= end_s:
            _close_step(report, account)
            end_s += step_s
        account.apply(line)
        if line.name == 'leader_ready':
            report.leader_times_s.append(line.at_s - report.begin_s)
    _close_step(report, account)
    return report


def _close_step(report: Report, account: _Account) -> None:
    report.waiting.add(collections.Counter(account.waiting.values()))
    cores: collections.Counter[str] = collections.Counter()
    for run in account.runs.values():
        cores[run.workspace] += run.cores  # type: ignore[assignment]
    report.cores.add(cores)
    report.capacity.append(sum(account.capacity.values()))
    report.refused.add(account.refused)
    account.refused.clear()


def _number(value: object) -> int:
    return value if isinstance(value, int) else 0
