"""Divide the time of jobs into its parts, from log lines."""

import collections
import collections.abc

from basilspindle.cli import log_lines

# Parts of the time from the submission to the recorded end of a job, in their
# order. They add up to the whole.
PARTS = ('accept', 'advice', 'wait', 'spread', 'run', 'record')
_QUANTILES = (0.5, 0.9, 0.99)


class _StepTimes:
    """Times of a step, in Unix seconds."""

    __slots__ = ('first_start_s', 'last_start_s', 'last_end_s', 'advice_s')

    def __init__(self, start_s: float) -> None:
        self.first_start_s = start_s
        self.last_start_s = start_s
        self.last_end_s = start_s
        # Duration of the first calls for advice.
        self.advice_s = 0.0


class _JobTimes:
    __slots__ = ('queue', 'submitted_s', 'accepted_s', 'ended_s', 'steps')

    def __init__(self, queue: str, submitted_s: float, accepted_s: float):
        self.queue = queue
        self.submitted_s = submitted_s
        self.accepted_s = accepted_s
        self.ended_s: float | None = None
        self.steps: dict[str, _StepTimes] = {}


class Delays:
    """Seconds of each part by queue, one value per job.

    ``waits_s`` holds the seconds that steps waited by queue and reason.
    ``incomplete_count`` counts the jobs with a missing line, and
    ``suppressed_count`` the lines that daemons left out.
    """

    __slots__ = (
        'parts_s',
        'waits_s',
        'incomplete_count',
        'suppressed_count',
        'unreadable_count',
    )

    def __init__(self) -> None:
        self.parts_s: dict[str, dict[str, list[float]]] = {}
        self.waits_s: dict[str, collections.Counter[str]] = {}
        self.incomplete_count = 0
        self.suppressed_count = 0
        self.unreadable_count = 0


def collect(
    raw_lines: collections.abc.Iterable[tuple[str, str]],
) -> Delays:
    """Return the delays of the jobs that were accepted and ended.

    Steps are taken one after another in the order of their first start; a
    step that is open at the same time as another adds only what is later.
    """
    delays = Delays()
    reader = log_lines.LogReader(raw_lines)
    lines = sorted(reader, key=lambda line: line.time_s)
    delays.unreadable_count = reader.unreadable_count
    jobs: dict[str, _JobTimes] = {}
    pending_advice_s: dict[str, float] = {}
    open_waits: dict[str, tuple[float, str]] = {}
    for line in lines:
        fields = line.fields
        if line.name == 'job_accepted':
            took_s = _number(fields.get('took_ms')) / 1000
            jobs[str(fields.get('job'))] = _JobTimes(
                str(fields.get('queue', '')), line.time_s - took_s, line.time_s
            )
        elif line.name == 'job_ended':
            job = jobs.get(str(fields.get('job')))
            if job is not None:
                job.ended_s = line.time_s
        elif line.name == 'advice_taken':
            step = str(fields.get('step'))
            took_s = _number(fields.get('took_ms')) / 1000
            pending_advice_s.setdefault(step, took_s)
        elif line.name == 'lines_suppressed':
            delays.suppressed_count += int(_number(fields.get('lines')))
        elif line.name == 'step_waits':
            step = str(fields.get('step'))
            _close_wait(delays, jobs, open_waits, step, line.time_s)
            open_waits[step] = line.time_s, str(fields.get('reason', ''))
        elif line.name in ('task_started', 'task_ended'):
            step = str(fields.get('task')).rpartition('.')[0]
            job = jobs.get(step.partition('.')[0])
            if job is None:
                continue
            if line.name == 'task_started':
                _close_wait(delays, jobs, open_waits, step, line.time_s)
                if step not in job.steps:
                    job.steps[step] = times = _StepTimes(line.time_s)
                    times.advice_s = pending_advice_s.get(step, 0.0)
                job.steps[step].last_start_s = line.time_s
            elif step in job.steps:
                job.steps[step].last_end_s = line.time_s
    for job in jobs.values():
        _add_job(delays, job)
    return delays


def _close_wait(
    delays: Delays,
    jobs: dict[str, _JobTimes],
    open_waits: dict[str, tuple[float, str]],
    step: str,
    now_s: float,
) -> None:
    job = jobs.get(step.partition('.')[0])
    begun = open_waits.pop(step, None)
    if job is not None and begun is not None:
        waits = delays.waits_s.setdefault(job.queue, collections.Counter())
        waits[begun[1]] += now_s - begun[0]


def _add_job(delays: Delays, job: _JobTimes) -> None:
    if job.ended_s is None or not job.steps:
        delays.incomplete_count += 1
        return
    parts = dict.fromkeys(PARTS, 0.0)
    parts['accept'] = job.accepted_s - job.submitted_s
    at_s = job.accepted_s
    for times in sorted(job.steps.values(), key=lambda x: x.first_start_s):
        advice_s = min(times.advice_s, max(0.0, times.first_start_s - at_s))
        parts['advice'] += advice_s
        at_s += advice_s
        for part, until_s in (
            ('wait', times.first_start_s),
            ('spread', times.last_start_s),
            ('run', times.last_end_s),
        ):
            parts[part] += max(0.0, until_s - at_s)
            at_s = max(at_s, until_s)
    parts['record'] = max(0.0, job.ended_s - at_s)
    rows = delays.parts_s.setdefault(
        job.queue, {part: [] for part in (*PARTS, 'total')}
    )
    for part, value_s in parts.items():
        rows[part].append(value_s)
    rows['total'].append(job.ended_s - job.submitted_s)


def describe(delays: Delays) -> collections.abc.Iterator[str]:
    """Yield a table per queue, times in ms."""
    for queue, rows in sorted(delays.parts_s.items()):
        yield f'{queue}: {len(rows["total"])} jobs'
        yield f'  {"part":<8}{"mean":>9}{"p50":>9}{"p90":>9}{"p99":>9} ms'
        for part, values_s in rows.items():
            mean_s = sum(values_s) / len(values_s)
            cells = [mean_s, *(_quantile(values_s, q) for q in _QUANTILES)]
            yield f'  {part:<8}' + ''.join(
                f'{round(cell * 1000):>9}' for cell in cells
            )
        for reason, value_s in delays.waits_s.get(
            queue, collections.Counter()
        ).most_common():
            yield f'  waited {value_s:.1f} s in all: {reason}'


def _quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _number(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0
