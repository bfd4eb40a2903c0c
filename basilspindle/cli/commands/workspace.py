"""List workspaces and set their shares and limits."""

import typing

import click

from basilspindle.cli import session as session_module

if typing.TYPE_CHECKING:
    from basilspindle import config as config_module

_NONE = 'none'


class _Amount(click.ParamType):
    """Read a whole number or "none" for no limit."""

    name = 'number|none'

    def convert(
        self,
        value: typing.Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> typing.Any:
        """Return a number, or "none"."""
        if value == _NONE or isinstance(value, int):
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
        f'{_describe(workspace.get("limit", {}))}, '
        f'kinds {" ".join(workspace["kinds"]) or "none"}'
        for name, workspace in sorted(workspaces.items())
    ]
    session.show(workspaces, '\n'.join(lines))


@command.command('set')
@click.argument('name')
@click.option('--share', type=float, help='Relative weight, above 0.')
@click.option('--cpu-millicores', type=_Amount(), help='Limit or "none".')
@click.option('--memory-mb', type=_Amount(), help='Limit or "none".')
@click.option('--accelerators', type=_Amount(), help='Limit or "none".')
@click.option('--tasks', type=_Amount(), help='Limit or "none".')
@click.option('--max-queued-tasks', type=click.IntRange(min=0))
@click.option('--kind', 'kinds', multiple=True, help='Repeat for all kinds.')
@click.pass_obj
def set_workspace(
    session: session_module.Session,
    name: str,
    share: float | None,
    max_queued_tasks: int | None,
    kinds: tuple[str, ...],
    **limits: typing.Any,
) -> None:
    """Set members of a workspace, which is added if it does not exist."""
    from basilspindle.cli import publish

    members = {
        'share': share,
        'max_queued_tasks': max_queued_tasks,
        'kinds': list(kinds) or None,
    }
    members.update({f'limit/{key}': value for key, value in limits.items()})
    wanted = {
        f'/workspaces/{name}/{key}': value
        for key, value in members.items()
        if value is not None
    }
    if not wanted:
        raise click.UsageError('name at least one member to set')
    with session.open() as client:
        version = publish.change(client, lambda draft: _set(draft, wanted))
    session.show(
        {'workspace': name, 'version': version},
        f'workspace {name} is set from version {version}',
    )


def _set(draft: 'config_module.Draft', wanted: dict[str, typing.Any]) -> bool:
    changed = False
    for pointer, value in wanted.items():
        new = None if value == _NONE else value
        if draft.get(pointer) == new:
            continue
        changed = True
        if new is None:
            draft.remove(pointer)
        else:
            draft.put(pointer, new)
    return changed


def _describe(limit: dict[str, int]) -> str:
    parts = [f'{name} {value}' for name, value in limit.items()]
    return ' '.join(parts) or _NONE
