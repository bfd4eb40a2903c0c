"""Read the options that describe work."""

import collections.abc
import typing

import click

_RESOURCES = ('cpu_millicores', 'memory_mb', 'accelerators')
_Command = typing.TypeVar('_Command', bound=collections.abc.Callable)


def options(command: _Command) -> _Command:
    """Add the options of a submission to a command."""
    for option in reversed(_OPTIONS):
        command = option(command)
    return command


def make_body(
    *,
    kind: str,
    queue: str,
    tasks: int,
    input_text: str | None,
    input_file: typing.BinaryIO | None,
    non_idempotent: bool,
    **numbers: int | None,
) -> dict[str, typing.Any]:
    """Return the body of a submission; raises ``click.UsageError``."""
    body = {
        'kind': kind,
        'queue': queue,
        'tasks': tasks,
        'input': _read_input(input_text, input_file),
    }
    resources = {
        name: value
        for name, value in numbers.items()
        if name in _RESOURCES and value is not None
    }
    if resources:
        body['resources'] = resources
    for name in ('run_time_ms', 'deadline_ms'):
        if numbers[name] is not None:
            body[name] = numbers[name]
    if non_idempotent:
        body['idempotent'] = False
    return body


def _read_input(text: str | None, file: typing.BinaryIO | None) -> typing.Any:
    if text is not None and file is not None:
        raise click.UsageError('use --input or --input-file, not both')
    raw = file.read() if file else (text or 'null').encode()
    import msgspec

    try:
        return msgspec.json.decode(raw)
    except msgspec.MsgspecError as error:
        raise click.UsageError(f'the input is not JSON: {error}') from error


def _number(name: str, least: int, text: str) -> typing.Any:
    return click.option(name, type=click.IntRange(min=least), help=text)


_OPTIONS = (
    click.option('--kind', required=True, help='Kind of work.'),
    click.option('--queue', default='default', show_default=True),
    click.option(
        '--tasks',
        type=click.IntRange(min=1),
        default=1,
        show_default=True,
        help='Number of equal tasks.',
    ),
    click.option('--input', 'input_text', help='Input as JSON.'),
    click.option(
        '--input-file', type=click.File('rb'), help='File with the input.'
    ),
    _number('--cpu-millicores', 0, 'Thousandths of a core for a task.'),
    _number('--memory-mb', 0, 'Memory of a task in MB.'),
    _number('--accelerators', 0, 'Accelerators of a task.'),
    _number('--run-time-ms', 1, 'Expected run time of a task.'),
    _number('--deadline-ms', 0, 'Time after which queued tasks expire.'),
    click.option(
        '--non-idempotent', is_flag=True, help='Run it at most once.'
    ),
    click.option(
        '--idempotency-key', help='Names the job; a repeat is the same job.'
    ),
    click.option('--no-key', is_flag=True, help='Submit to an open queue.'),
)
