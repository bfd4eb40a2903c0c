"""Write each event as one line of JSON."""

import atexit
import io
import typing

import loguru
import msgspec

from basilspindle.events import event as event_module
from basilspindle.events import rate_limiter
from basilspindle.events import sink as sink_module

# Most time that the exit of the process waits for the reader of its log; below
# the part of the grace period that is left for the exit.
_EXIT_TIMEOUT_S = 0.5

LINES_SUPPRESSED = event_module.Event(
    10,
    'lines_suppressed',
    event_module.Level.WARNING,
    'lines of an event over its limit per second were counted, not written',
    'no action needed; the counters in the metrics are complete',
)
LINES_DROPPED = event_module.Event(
    11,
    'lines_dropped',
    event_module.Level.WARNING,
    'log lines were dropped because the process that reads them was too slow',
    'check the process that reads the standard output',
)


class _Output:
    """Rate limiter and sink for the events of this process."""

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
    # loguru formats the returned string again, so braces and markup in the
    # JSON text are escaped. It removes a backslash before '<' only where it
    # takes it for markup, so JSON's own escape is used.
    escaped = text.replace('{', '{{').replace('}', '}}')
    return escaped.replace('<', '\\u003c') + '\n'


def configure_logging(stream: typing.TextIO, level: str = 'INFO') -> None:
    """Write all events of this process to a text stream.

    A stream with a file descriptor is written without blocking: lines that
    its reader does not take in time are dropped and counted.
    """
    loguru.logger.remove()
    _output.limiter = rate_limiter.RateLimiter()
    _output.sink = None
    target: typing.Any = stream
    try:
        _output.sink = sink_module.Sink(stream)
        target = _output.sink.write
    except (io.UnsupportedOperation, AttributeError):
        # An in-memory stream has no file descriptor and never blocks.
        target = stream
    loguru.logger.add(target, format=_format, level=level)
    atexit.unregister(_finish)
    atexit.register(_finish)


def emit(event: event_module.Event, **fields: typing.Any) -> None:
    """Log one event; field names carry their unit as a suffix.

    Never pass API keys or task inputs as fields. Lines of one event over
    its limit per second are counted instead of written.
    """
    if not _output.limiter.allows(event.number):
        return
    _report_dropped()
    _write(event, fields)


def report_suppressed() -> int:
    """Log how many lines of each event were suppressed or dropped.

    Also writes the lines that the reader has room for by now. Returns how many
    lines were suppressed or dropped since the last call.
    """
    lines = 0
    if _output.sink is not None:
        _output.sink.flush()
    _report_dropped()
    for number, count in _output.limiter.take_suppressed().items():
        lines += count
        name = event_module.Event.catalogue[number].name
        _write(LINES_SUPPRESSED, {'of': name, 'lines': count})
    if _output.sink is not None:
        lines += _output.sink.take_dropped()
    return lines


def _report_dropped() -> None:
    """Log how many lines are missing at this place."""
    sink = _output.sink
    if sink is None or not sink.dropped:
        return
    sink.flush()
    if sink.has_room():
        dropped, sink.dropped = sink.dropped, 0
        _write(LINES_DROPPED, {'lines': dropped})


def _finish() -> None:
    """Hand the last lines to the reader before the process exits."""
    if _output.sink is not None:
        report_suppressed()
        _output.sink.drain(_EXIT_TIMEOUT_S)


def _write(event: event_module.Event, fields: dict[str, typing.Any]) -> None:
    loguru.logger.bind(event=event.number, name=event.name, fields=fields).log(
        event.level.value, event.text
    )
