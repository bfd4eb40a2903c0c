"""Read log lines of daemons from text."""

import collections.abc
import datetime
import typing

import msgspec

Fields = dict[str, typing.Any]


class Line:
    """One event: its time since 1970, the process that wrote it, fields."""

    __slots__ = ('at_s', 'source', 'fields')

    def __init__(self, at_s: float, source: str, fields: Fields) -> None:
        self.at_s = at_s
        self.source = source
        self.fields = fields

    @property
    def name(self) -> str:
        """Return the name of the event."""
        return str(self.fields.get('name', ''))


class Lines:
    """Iterate over the lines that can be read; count the others.

    Text before the first brace of a line is taken for the name of the
    process, as collectors of logs put it there.
    """

    __slots__ = ('_texts', 'unreadable_count')

    def __init__(
        self, texts: collections.abc.Iterable[tuple[str, str]]
    ) -> None:
        self._texts = texts
        self.unreadable_count = 0

    def __iter__(self) -> collections.abc.Iterator[Line]:
        for source, text in self._texts:
            line = _decode(source, text)
            if line is not None:
                yield line
            elif text.strip():
                # Other programs may write to the same file.
                self.unreadable_count += 1


def read_files(
    files: collections.abc.Iterable[typing.TextIO],
) -> collections.abc.Iterator[tuple[str, str]]:
    """Return the lines of text files, each with the name of its file."""
    for file in files:
        for text in file:
            yield file.name, text


def _decode(source: str, text: str) -> Line | None:
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(text[start:])
    except msgspec.MsgspecError:
        # The caller counts it.
        return None
    if not isinstance(fields, dict):
        return None
    at_s = _seconds(fields.get('time'))
    if at_s is None:
        return None
    prefix = text[:start].split()
    return Line(at_s, prefix[-1] if prefix else source, fields)


def _seconds(text: object) -> float | None:
    if not isinstance(text, str):
        return None
    try:
        return datetime.datetime.fromisoformat(text).timestamp()
    except ValueError:
        # The caller counts the line as unreadable.
        return None
