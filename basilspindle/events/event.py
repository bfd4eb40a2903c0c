"""Define a numbered log event."""

import enum


class Level(enum.StrEnum):
    """Severity of an event, named as in loguru."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class Event:
    """A kind of log line, with a message text and a remedy."""

    __slots__ = ('number', 'name', 'level', 'text', 'remedy')

    catalogue: dict[int, 'Event'] = {}

    def __init__(
        self, number: int, name: str, level: Level, text: str, remedy: str
    ) -> None:
        if number in self.catalogue:
            raise ValueError(f'event {number} is defined twice')
        self.number = number
        self.name = name
        self.level = level
        self.text = text
        self.remedy = remedy
        self.catalogue[number] = self
