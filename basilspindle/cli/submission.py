"""Define the options of a submission and build its body."""

import collections.abc
import typing

import click

_RESOURCE_FIELDS = ('cpu_millicores', 'memory_mb', 'accelerators')
_Command = typing.TypeVar('_Command', bound=collections.abc.Callable)


def options(command: _Command) -> _Command:
    """Decorate a command with the options of a submission."""
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
        if name in _RESOURCE_FIELDS and value is not None
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

    from basilspindle import decoding

    try:
        return msgspec.json.decode(raw)
    except decoding.FAULTS as error:
        raise click.UsageError(
            f'the input is not valid JSON: {error}'
        ) from error


def _int_option(name: str, minimum: int, text: str) -> typing.Any:
    return click.option(name, type=click.IntRange(min=minimum), help=text)


_OPTIONS = (
    click.option('--kind', required=True, help='Kind of work to run.'),
    click.option('--queue', default='default', show_default=True),
    click.option(
        '--tasks',
        type=click.IntRange(min=1),
        default=1,
        show_default=True,
        help='Number of identical tasks.',
    ),
    click.option('--input', 'input_text', help='Input as a JSON value.'),
    click.option(
        '--input-file',
        type=click.File('rb'),
        help='File with the input as JSON.',
    ),
    _int_option(
        '--cpu-millicores', 0, 'CPU per task in thousandths of a core.'
    ),
    _int_option('--memory-mb', 0, 'Memory per task in MB.'),
    _int_option('--accelerators', 0, 'Accelerators per task.'),
    _int_option('--run-time-ms', 1, 'Expected run time of a task, in ms.'),
    _int_option(
        '--deadline-ms',
        0,
        'Time in ms after which queued tasks expire; 0 for no deadline.',
    ),
    click.option(
        '--non-idempotent', is_flag=True, help='Run each task at most once.'
    ),
    click.option(
        '--idempotency-key',
        help='Key that identifies the submission; a repeat returns its job.',
    ),
    click.option(
        '--no-key',
        is_flag=True,
        help='Submit to an open queue without an API key.',
    ),
)
