"""Find what log lines tell of one job."""

import collections.abc
import datetime
import typing

import msgspec

Line = dict[str, typing.Any]
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


class Story:
    """Lines of one job in order, and what could not be read."""

    __slots__ = ('lines', 'unreadable')

    def __init__(self) -> None:
        self.lines: list[tuple[float, str, Line]] = []
        self.unreadable = 0


def collect(
    job_id: str, texts: collections.abc.Iterable[tuple[str, str]]
) -> Story:
    """Return the story of a job from lines, each with its source.

    Text before the first brace of a line is taken for the name of the
    process, as collectors of logs put it there. Lines of other jobs are
    left out; changes of leader and lost dependencies while the job lived
    are kept.
    """
    story = Story()
    context = []
    for source, text in texts:
        start = text.find('{')
        if start < 0:
            story.unreadable += bool(text.strip())
            continue
        line = _decode(text[start:])
        if line is None:
            story.unreadable += 1
            continue
        at_s = _seconds(line.get('time'))
        if at_s is None:
            story.unreadable += 1
            continue
        prefix = text[:start].split()
        row = (at_s, prefix[-1] if prefix else source, line)
        if _concerns(line, job_id):
            story.lines.append(row)
        elif line.get('name') in _CONTEXT:
            context.append(row)
    story.lines.sort(key=_at)
    if story.lines:
        first, last = story.lines[0][0], story.lines[-1][0]
        story.lines += [row for row in context if first <= row[0] <= last]
        story.lines.sort(key=_at)
    return story


def describe(
    story: Story,
) -> collections.abc.Iterator[str]:
    """Return one line of text an event, with the time since the last."""
    before_s = story.lines[0][0] if story.lines else 0.0
    for at_s, source, line in story.lines:
        fields = ' '.join(
            f'{name}={value}'
            for name, value in line.items()
            if name not in _COMMON
        )
        passed_ms = round((at_s - before_s) * 1000)
        before_s = at_s
        yield (
            f'{line["time"][11:23]} +{passed_ms:>6} ms  {source:<24} '
            f'{line.get("event", 0):>3} {line.get("name", ""):<20} {fields}'
        ).rstrip()


def _at(row: tuple[float, str, Line]) -> float:
    return row[0]


def _decode(text: str) -> Line | None:
    try:
        line = msgspec.json.decode(text)
    except msgspec.MsgspecError:
        # Counted by the caller; other programs may write to the same file.
        return None
    return line if isinstance(line, dict) else None


def _seconds(text: object) -> float | None:
    if not isinstance(text, str):
        return None
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        # Counted by the caller as a line that cannot be read.
        return None


def _concerns(line: Line, job_id: str) -> bool:
    if line.get('job') == job_id:
        return True
    return any(
        isinstance(line.get(name), str)
        and line[name].partition('.')[0] == job_id
        for name in ('task', 'step')
    )
