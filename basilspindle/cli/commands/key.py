"""Generate, add and withdraw keys."""

import typing

import click

from basilspindle.cli import session as session_module

if typing.TYPE_CHECKING:
    from basilspindle import config as config_module


@click.group()
def command() -> None:
    """Generate, add and withdraw keys."""


@command.command()
@click.option('--id', 'key_id', required=True, help='Id of the key.')
@click.pass_obj
def generate(session: session_module.Session, key_id: str) -> None:
    """Print a new key, which is stored nowhere, and its hash."""
    from basilspindle import config

    text, sha256 = config.Keyring.generate(key_id)
    session.show(
        {'key_id': key_id, 'key': text, 'sha256': sha256},
        f'key:    {text}\nsha256: {sha256}',
    )


@command.command()
@click.option('--id', 'key_id', required=True, help='Id of the key.')
@click.option(
    '--role',
    type=click.Choice(['caller', 'operator']),
    default='caller',
    show_default=True,
)
@click.option('--workspace', help='Workspace of a caller key.')
@click.option(
    '--sha256', help='Hash of a generated key; otherwise one is generated.'
)
@click.pass_obj
def add(
    session: session_module.Session,
    key_id: str,
    role: str,
    workspace: str | None,
    sha256: str | None,
) -> None:
    """Add a key to the configuration in force."""
    if (workspace is None) == (role == 'caller'):
        raise click.UsageError(
            'a caller key needs --workspace, an operator none'
        )
    from basilspindle.cli import publish
    from basilspindle import config
    from basilspindle import errors

    text, hashed = config.Keyring.generate(key_id)
    entry = {'role': role, 'sha256': sha256 or hashed}
    if workspace is not None:
        entry['workspace'] = workspace
    try:
        with session.open() as client:
            version = publish.change(
                client, lambda draft: _add(draft, key_id, entry)
            )
    except errors.OutcomeUnknown:
        if sha256 is None:
            click.echo(f'if it was added, the key is {text}', err=True)
        raise
    shown = {'key_id': key_id, 'version': version, **entry}
    lines = f'key {key_id} is valid from version {version}'
    if sha256 is None:
        shown['key'] = text
        lines = f'{text}\n{lines}'
    session.show(shown, lines)


@command.command()
@click.option('--id', 'key_id', required=True, help='Id of the key.')
@click.pass_obj
def withdraw(session: session_module.Session, key_id: str) -> None:
    """Remove a key from the configuration in force."""
    from basilspindle.cli import publish

    with session.open() as client:
        version = publish.change(
            client, lambda draft: _withdraw(draft, key_id)
        )
    session.show(
        {'key_id': key_id, 'version': version},
        f'key {key_id} is not valid from version {version}',
    )


def _add(
    draft: 'config_module.Draft', key_id: str, entry: dict[str, str]
) -> bool:
    from basilspindle import errors

    known = draft.get(f'/keys/{key_id}')
    if known == entry:
        return False
    if known is not None:
        raise errors.BadRequest(
            f'key id "{key_id}" exists; withdraw it first or use another id'
        )
    draft.put(f'/keys/{key_id}', entry)
    return True


def _withdraw(draft: 'config_module.Draft', key_id: str) -> bool:
    if draft.get(f'/keys/{key_id}') is None:
        return False
    draft.remove(f'/keys/{key_id}')
    return True
