"""Parse the log lines of daemons."""

import collections.abc
import datetime
import typing

import msgspec

from basilspindle import decoding

Fields = dict[str, typing.Any]


class LogLine:
    """Hold an event: its Unix time, its source and its fields.

    ``source`` names the process that wrote the line, or the log file.
    """

    __slots__ = ('time_s', 'source', 'fields')

    def __init__(self, time_s: float, source: str, fields: Fields) -> None:
        self.time_s = time_s
        self.source = source
        self.fields = fields

    @property
    def name(self) -> str:
        """Return the name of the event."""
        return str(self.fields.get('name', ''))


class LogReader:
    """Iterate over the lines that can be parsed and count the others.

    Log collectors prepend text to a line. The last word before the first
    brace is taken as the name of the process.
    """

    __slots__ = ('_raw_lines', 'unreadable_count')

    def __init__(
        self, raw_lines: collections.abc.Iterable[tuple[str, str]]
    ) -> None:
        self._raw_lines = raw_lines
        self.unreadable_count = 0

    def __iter__(self) -> collections.abc.Iterator[LogLine]:
        for source, text in self._raw_lines:
            line = _parse_line(source, text)
            if line is not None:
                yield line
            elif text.strip():
                # Other programs may write to the same log.
                self.unreadable_count += 1


def read_files(
    files: collections.abc.Iterable[typing.TextIO],
) -> collections.abc.Iterator[tuple[str, str]]:
    """Return the lines of text files, each after the name of its file."""
    for file in files:
        for text in file:
            yield file.name, text


def _parse_line(source: str, text: str) -> LogLine | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except decoding.FAULTS:
        # The caller counts the line as unreadable.
        return None
    if not isinstance(fields, dict):
        return None
    time_s = _parse_time(fields.get('time'))
    if time_s is None:
        return None
    prefix = text[:start].split()
    return LogLine(time_s, prefix[-1] if prefix else source, fields)


def _parse_time(text: object) -> float | None:
    if not isinstance(text, str):
        return None
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        # The caller counts the line as unreadable.
        return None
