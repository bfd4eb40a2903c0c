"""Write events as one JSON object a line."""

import typing

import loguru
import msgspec

from basilspindle.events import event as event_module


def _format(record: typing.Any) -> str:
    extra = record['extra']
    line = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': extra.get('event', 0),
        'name': extra.get('name', 'message'),
        'text': record['message'],
        **extra.get('fields', {}),
    }
    text = msgspec.json.encode(line, enc_hook=str).decode()
    # loguru formats the returned string again, so braces and markup of
    # the JSON text are escaped.
    escaped = text.replace('{', '{{').replace('}', '}}')
    return escaped.replace('<', r'\<') + '\n'


def open_log(stream: typing.TextIO, level: str = 'INFO') -> None:
    """Send all events of this process to a text stream."""
    loguru.logger.remove()
    loguru.logger.add(stream, format=_format, level=level)


def emit(event: event_module.Event, **fields: typing.Any) -> None:
    """Log one event; fields carry their unit as a suffix.

    Keys and inputs of tasks must never be passed as fields.
    """
    loguru.logger.bind(event=event.number, name=event.name, fields=fields).log(
        event.level.value, event.text
    )
