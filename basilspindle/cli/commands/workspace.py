"""List workspaces and set their shares and limits."""

import typing

import click

from basilspindle.cli import session as session_module

if typing.TYPE_CHECKING:
    from basilspindle import config as config_module

_NO_LIMIT = 'none'


class _LimitType(click.ParamType):
    """Parse a whole number, or "none" for no limit."""

    name = 'number|none'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> typing.Any:
        """Return a number or "none"."""
        if value == _NO_LIMIT or isinstance(value, int):
            return value
        if not value.isdecimal():
            self.fail(f'{value!r} is not a whole number or "none"')
        return int(value)


@click.group()
def command() -> None:
    """List workspaces and set their shares and limits."""


@command.command('list')
@click.pass_obj
def list_workspaces(session: session_module.Session) -> None:
    """List the workspaces of the configuration in force."""
    from basilspindle.cli import publish

    with session.open() as client:
        workspaces = publish.read(client).draft().get('/workspaces', {})
    lines = [
        f'{name}: share {workspace["share"]}, limit '
        f'{_format_limit(workspace.get("limit", {}))}, '
        f'kinds {" ".join(workspace["kinds"]) or "none"}'
        for name, workspace in sorted(workspaces.items())
    ]
    session.show(workspaces, '\n'.join(lines))


@command.command('set')
@click.argument('name')
@click.option(
    '--share', type=float, help='Relative weight in fair sharing, above 0.'
)
@click.option(
    '--cpu-millicores',
    type=_LimitType(),
    help='CPU limit in thousandths of a core, or "none".',
)
@click.option(
    '--memory-mb', type=_LimitType(), help='Memory limit in MB, or "none".'
)
@click.option(
    '--accelerators', type=_LimitType(), help='Accelerator limit, or "none".'
)
@click.option(
    '--tasks', type=_LimitType(), help='Limit on running tasks, or "none".'
)
@click.option('--max-queued-tasks', type=click.IntRange(min=0))
@click.option(
    '--kind',
    'kinds',
    multiple=True,
    help='Permitted kind of work. Repeat it to list all kinds.',
)
@click.pass_obj
def set_workspace(
    session: session_module.Session,
    name: str,
    share: float | None,
    max_queued_tasks: int | None,
    kinds: tuple[str, ...],
    **limits: typing.Any,
) -> None:
    """Set fields of a workspace; it is added if it does not exist."""
    from basilspindle.cli import publish

    fields = {
        'share': share,
        'max_queued_tasks': max_queued_tasks,
        'kinds': list(kinds) or None,
    }
    fields.update({f'limit/{key}': value for key, value in limits.items()})
    values = {
        f'/workspaces/{name}/{key}': value
        for key, value in fields.items()
        if value is not None
    }
    if not values:
        raise click.UsageError('give at least one option to set')
    with session.open() as client:
        version = publish.change(
            client, lambda draft: _apply_values(draft, values)
        )
    session.show(
        {'workspace': name, 'version': version},
        f'workspace {name} is set from version {version}',
    )


def _apply_values(
    draft: 'config_module.Draft', values: dict[str, typing.Any]
) -> bool:
    changed = False
    for pointer, value in values.items():
        new = None if value == _NO_LIMIT else value
        if draft.get(pointer) == new:
            continue
        changed = True
        if new is None:
            draft.remove(pointer)
        else:
            draft.put(pointer, new)
    return changed


def _format_limit(limit: dict[str, int]) -> str:
    parts = [f'{name} {value}' for name, value in limit.items()]
    return ' '.join(parts) or _NO_LIMIT
