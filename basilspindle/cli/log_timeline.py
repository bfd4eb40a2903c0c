"""Build the timeline of a job from log lines."""

import collections.abc

from basilspindle.cli import log_lines

# Fields that are not inputs of a decision. They are left out of the fields
# printed after the name of the event.
_COMMON_FIELDS = frozenset({'time', 'level', 'event', 'name', 'text', 'job'})
# Names of the events that affect all jobs.
_CONTEXT_EVENTS = frozenset(
    {
        'leader_gained',
        'leader_ready',
        'leader_lost',
        'leader_silent',
        'leader_followed',
        'store_failed',
        'store_regained',
        'lines_suppressed',
        'lines_dropped',
    }
)
_GAP_EVENTS = frozenset({'lines_suppressed', 'lines_dropped'})


class Timeline:
    """The log lines of a job in order of time, and a count of bad lines.

    ``missing_count`` is how many lines of all jobs the daemons report as not
    written.
    """

    __slots__ = ('lines', 'missing_count', 'unreadable_count')

    def __init__(self) -> None:
        self.lines: list[log_lines.LogLine] = []
        self.unreadable_count = 0
        self.missing_count = 0


def collect(
    job_id: str, raw_lines: collections.abc.Iterable[tuple[str, str]]
) -> Timeline:
    """Return the timeline of a job from pairs of source and log line.

    Also includes the events that affect all jobs, such as a change of
    leader or a store failure, from the beginning of its first request to its
    last line.
    """
    timeline = Timeline()
    context_lines = []
    reader = log_lines.LogReader(raw_lines)
    for line in reader:
        if line.name in _GAP_EVENTS:
            timeline.missing_count += _as_int(line.fields.get('lines'))
        if _concerns(line.fields, job_id):
            timeline.lines.append(line)
        elif line.name in _CONTEXT_EVENTS:
            context_lines.append(line)
    timeline.unreadable_count = reader.unreadable_count
    timeline.lines.sort(key=_time_s)
    if timeline.lines:
        first_s = min(_begin_s(line) for line in timeline.lines)
        last_s = timeline.lines[-1].time_s
        timeline.lines += [
            line for line in context_lines if first_s <= line.time_s <= last_s
        ]
        timeline.lines.sort(key=_time_s)
    return timeline


def describe(
    timeline: Timeline,
) -> collections.abc.Iterator[str]:
    """Yield one line of text per event, with the time since the last one."""
    previous_s = timeline.lines[0].time_s if timeline.lines else 0.0
    for line in timeline.lines:
        fields = ' '.join(
            f'{name}={value}'
            for name, value in line.fields.items()
            if name not in _COMMON_FIELDS
        )
        elapsed_ms = round((line.time_s - previous_s) * 1000)
        previous_s = line.time_s
        yield (
            f'{line.fields["time"][11:23]} +{elapsed_ms:>6} ms  '
            f'{line.source:<24} {line.fields.get("event", 0):>3} '
            f'{line.name:<20} {fields}'
        ).rstrip()


def _time_s(line: log_lines.LogLine) -> float:
    return line.time_s


def _begin_s(line: log_lines.LogLine) -> float:
    # The line on an answer comes at the end of the request.
    return line.time_s - _as_int(line.fields.get('spent_ms')) / 1000


def _as_int(value: object) -> int:
    return value if isinstance(value, int) else 0


def _concerns(fields: log_lines.Fields, job_id: str) -> bool:
    if fields.get('job') == job_id:
        return True
    names = [fields.get('task'), fields.get('step')]
    for part in ('tasks', 'released'):
        tasks = fields.get(part)
        names += tasks if isinstance(tasks, list) else []
    return any(
        isinstance(name, str) and name.partition('.')[0] == job_id
        for name in names
    )
