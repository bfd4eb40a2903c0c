"""Divide the time of jobs into its parts, from log lines."""

import collections.abc

from basilspindle.cli import log_lines

# Parts of the time from the submission to the recorded end of a job, in their
# order. They add up to the whole.
PARTS = ('accept', 'advice', 'wait', 'spread', 'run', 'record')
_QUANTILES = (0.5, 0.9, 0.99)


class _StepTimes:
    """Times of a step, in Unix seconds."""

    __slots__ = ('first_start_s', 'last_start_s', 'last_end_s', 'advice_s')

    def __init__(self, start_s: float, advice_s: float) -> None:
        self.first_start_s = start_s
        self.last_start_s = start_s
        self.last_end_s = start_s
        # Duration of the first call for advice.
        self.advice_s = advice_s


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
        self.waits_s: dict[str, dict[str, float]] = {}
        self.incomplete_count = 0
        self.suppressed_count = 0
        self.unreadable_count = 0


class _Replay:
    """The open jobs, steps and waits after the lines read so far."""

    __slots__ = ('delays', 'jobs', '_advice_s', '_open_waits')

    def __init__(self) -> None:
        self.delays = Delays()
        self.jobs: dict[str, _JobTimes] = {}
        # Duration of the first call for advice, and begin and reason of the
        # wait, by step.
        self._advice_s: dict[str, float] = {}
        self._open_waits: dict[str, tuple[float, str]] = {}

    def apply(self, line: log_lines.LogLine) -> None:
        """Apply an event; ignore those that do not affect the delays."""
        handler = _HANDLERS.get(line.name)
        if handler is not None:
            handler(self, line.time_s, line.fields)

    def note_accepted(self, now_s: float, fields: log_lines.Fields) -> None:
        self.jobs[str(fields.get('job'))] = _JobTimes(
            str(fields.get('queue', '')), now_s - _took_s(fields), now_s
        )

    def note_ended(self, now_s: float, fields: log_lines.Fields) -> None:
        job = self.jobs.get(str(fields.get('job')))
        if job is not None:
            job.ended_s = now_s

    def note_advice(self, now_s: float, fields: log_lines.Fields) -> None:
        step = str(fields.get('step'))
        self._advice_s.setdefault(step, _took_s(fields))

    def note_wait(self, now_s: float, fields: log_lines.Fields) -> None:
        step = str(fields.get('step'))
        self._close_wait(step, now_s)
        self._open_waits[step] = now_s, str(fields.get('reason', ''))

    def note_start(self, now_s: float, fields: log_lines.Fields) -> None:
        step = _step_of(fields)
        self._close_wait(step, now_s)
        job = self.jobs.get(_job_of(step))
        if job is None:
            return
        if step not in job.steps:
            job.steps[step] = _StepTimes(now_s, self._advice_s.get(step, 0.0))
        job.steps[step].last_start_s = now_s

    def note_task_end(self, now_s: float, fields: log_lines.Fields) -> None:
        step = _step_of(fields)
        job = self.jobs.get(_job_of(step))
        if job is not None and step in job.steps:
            job.steps[step].last_end_s = now_s

    def note_suppressed(self, now_s: float, fields: log_lines.Fields) -> None:
        self.delays.suppressed_count += int(_number(fields.get('lines')))

    def _close_wait(self, step: str, now_s: float) -> None:
        begun = self._open_waits.pop(step, None)
        job = self.jobs.get(_job_of(step))
        if job is None or begun is None:
            return
        begun_s, reason = begun
        waits_s = self.delays.waits_s.setdefault(job.queue, {})
        waits_s[reason] = waits_s.get(reason, 0.0) + now_s - begun_s


_HANDLERS: dict[
    str, collections.abc.Callable[[_Replay, float, log_lines.Fields], None]
] = {
    'job_accepted': _Replay.note_accepted,
    'job_ended': _Replay.note_ended,
    'advice_taken': _Replay.note_advice,
    'step_waits': _Replay.note_wait,
    'task_started': _Replay.note_start,
    'task_ended': _Replay.note_task_end,
    'lines_suppressed': _Replay.note_suppressed,
}


def collect(
    raw_lines: collections.abc.Iterable[tuple[str, str]],
) -> Delays:
    """Return the delays of the jobs that were accepted and ended.

    Steps are taken one after another in the order of their first start; a
    step that is open at the same time as another adds only what is later.
    """
    replay = _Replay()
    reader = log_lines.LogReader(raw_lines)
    for line in sorted(reader, key=lambda line: line.time_s):
        replay.apply(line)
    for job in replay.jobs.values():
        _add_job(replay.delays, job)
    replay.delays.unreadable_count = reader.unreadable_count
    return replay.delays


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
        waits_s = delays.waits_s.get(queue, {})
        for reason, value_s in sorted(waits_s.items(), key=lambda x: -x[1]):
            yield f'  waited {value_s:.1f} s in all: {reason}'


def _quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _step_of(fields: log_lines.Fields) -> str:
    return str(fields.get('task')).rpartition('.')[0]


def _job_of(step: str) -> str:
    return step.partition('.')[0]


def _took_s(fields: log_lines.Fields) -> float:
    return _number(fields.get('took_ms')) / 1000


def _number(value: object) -> float:
    return float(value) if isinstance(value, int | float) else 0.0
