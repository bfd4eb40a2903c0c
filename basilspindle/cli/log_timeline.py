"""Find what log lines tell of one job."""

import collections.abc

from basilspindle.cli import log_lines

# Fields of every line, which are no inputs of a decision.
_COMMON = frozenset({'time', 'level', 'event', 'name', 'text', 'job'})
# Changes that touch every job, by event name.
_CONTEXT = frozenset(
    {
        'leader_gained',
        'leader_ready',
        'leader_lost',
        'store_failed',
        'store_regained',
        'lines_suppressed',
        'lines_dropped',
    }
)


class Timeline:
    """Lines of one job in order, and what could not be read."""

    __slots__ = ('lines', 'unreadable_count')

    def __init__(self) -> None:
        self.lines: list[log_lines.Line] = []
        self.unreadable_count = 0


def collect(
    job_id: str, texts: collections.abc.Iterable[tuple[str, str]]
) -> Timeline:
    """Return the story of a job from lines, each with its source.

    Lines of other jobs are left out; changes of leader and lost
    dependencies while the job lived are kept.
    """
    story = Timeline()
    context = []
    lines = log_lines.Lines(texts)
    for line in lines:
        if _concerns(line.fields, job_id):
            story.lines.append(line)
        elif line.name in _CONTEXT:
            context.append(line)
    story.unreadable_count = lines.unreadable_count
    story.lines.sort(key=_at)
    if story.lines:
        first, last = story.lines[0].at_s, story.lines[-1].at_s
        story.lines += [row for row in context if first <= row.at_s <= last]
        story.lines.sort(key=_at)
    return story


def describe(
    story: Timeline,
) -> collections.abc.Iterator[str]:
    """Return one line of text an event, with the time since the last."""
    before_s = story.lines[0].at_s if story.lines else 0.0
    for line in story.lines:
        fields = ' '.join(
            f'{name}={value}'
            for name, value in line.fields.items()
            if name not in _COMMON
        )
        passed_ms = round((line.at_s - before_s) * 1000)
        before_s = line.at_s
        yield (
            f'{line.fields["time"][11:23]} +{passed_ms:>6} ms  '
            f'{line.source:<24} {line.fields.get("event", 0):>3} '
            f'{line.name:<20} {fields}'
        ).rstrip()


def _at(line: log_lines.Line) -> float:
    return line.at_s


def _concerns(fields: log_lines.Fields, job_id: str) -> bool:
    if fields.get('job') == job_id:
        return True
    return any(
        isinstance(fields.get(name), str)
        and fields[name].partition('.')[0] == job_id
        for name in ('task', 'step')
    )
