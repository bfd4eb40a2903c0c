"""Write events as one JSON object a line."""

import io
import typing

import loguru
import msgspec

from basilspindle.events import event as event_module
from basilspindle.events import rate_limiter
from basilspindle.events import sink as sink_module

LINES_SUPPRESSED = event_module.Event(
    10,
    'lines_suppressed',
    event_module.Level.WARNING,
    'lines of an event beyond the bound of a second were counted only',
    'nothing to do; the counters have all of them',
)
LINES_DROPPED = event_module.Event(
    11,
    'lines_dropped',
    event_module.Level.WARNING,
    'lines were lost because the reader of the log was too slow',
    'check what reads the standard output',
)


class _Output:
    """Where the events of this process go."""

    __slots__ = ('limiter', 'sink')

    def __init__(self) -> None:
        self.limiter = rate_limiter.RateLimiter()
        self.sink: sink_module.Sink | None = None


_output = _Output()


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


def configure_logging(stream: typing.TextIO, level: str = 'INFO') -> None:
    """Send all events of this process to a text stream.

    A stream with a descriptor is never waited for: lines that its reader
    does not take in time are counted and dropped.
    """
    loguru.logger.remove()
    _output.limiter = rate_limiter.RateLimiter()
    _output.sink = None
    target: typing.Any = stream
    try:
        _output.sink = sink_module.Sink(stream)
        target = _output.sink.write
    except (io.UnsupportedOperation, AttributeError):
        # A stream in memory never blocks.
        target = stream
    loguru.logger.add(target, format=_format, level=level)


def emit(event: event_module.Event, **fields: typing.Any) -> None:
    """Log one event; fields carry their unit as a suffix.

    Keys and inputs of tasks must never be passed as fields. Beyond a bound
    a second, lines of one event are counted instead.
    """
    if not _output.limiter.allows(event.number):
        return
    sink = _output.sink
    if sink is not None and sink.dropped:
        sink.flush()
        if sink.is_empty:
            # With lines still kept, this one might be lost as well.
            lost, sink.dropped = sink.dropped, 0
            _write(LINES_DROPPED, {'lines': lost})
    _write(event, fields)


def report_suppressed() -> int:
    """Log how many lines were counted instead of written.

    Returns the lines that were suppressed or lost since the last call.
    """
    lines = 0
    for number, count in _output.limiter.take_suppressed().items():
        lines += count
        name = event_module.Event.catalogue[number].name
        _write(LINES_SUPPRESSED, {'of': name, 'lines': count})
    if _output.sink is not None:
        lines += _output.sink.take_lost()
    return lines


def _write(event: event_module.Event, fields: dict[str, typing.Any]) -> None:
    loguru.logger.bind(event=event.number, name=event.name, fields=fields).log(
        event.level.value, event.text
    )
