"""Validate, show and publish the configuration."""

import typing

import click

from basilspindle.cli import session as session_module

_DOCUMENT_FILE = click.File('rb')
_EMPTY_DOCUMENT = b'{}'


@click.group()
def command() -> None:
    """Validate, show and publish the configuration."""


@command.command()
@click.option(
    '--base', type=_DOCUMENT_FILE, required=True, help='Base document.'
)
@click.option(
    '--overlay', type=_DOCUMENT_FILE, help='Overlay document of a site.'
)
@click.pass_obj
def check(
    session: session_module.Session,
    base: typing.BinaryIO,
    overlay: typing.BinaryIO | None,
) -> None:
    """Validate documents without a daemon and report all faults."""
    from basilspindle import config

    document = config.validate(
        base.read(),
        overlay.read() if overlay else _EMPTY_DOCUMENT,
        base_name=base.name,
        overlay_name=overlay.name if overlay else 'overlay',
    )
    counts = {
        'cell': document.cell,
        'workspaces': len(document.workspaces),
        'kinds': len(document.kinds),
        'queues': len(document.queues),
        'keys': len(document.keys),
    }
    text = ', '.join(f'{name} {value}' for name, value in counts.items())
    session.show(counts, f'valid: {text}')


@command.command()
@click.option(
    '--part',
    type=click.Choice(['all', 'base', 'overlay', 'merged']),
    default='all',
    show_default=True,
    help='Document to print. Base and overlay can be published again.',
)
@click.pass_obj
def show(session: session_module.Session, part: str) -> None:
    """Show the configuration in force."""
    from basilspindle.cli import publish as publish_module
    from basilspindle import config

    with session.open() as client:
        current = publish_module.read(client)
    values = {
        'base': current.base or {},
        'overlay': current.overlay or {},
        'merged': config.merge(current.base or {}, current.overlay or {}),
        'all': current,
    }
    session.show(values[part])


@command.command()
@click.option(
    '--base', type=_DOCUMENT_FILE, required=True, help='Base document.'
)
@click.option(
    '--overlay', type=_DOCUMENT_FILE, help='Overlay document of the site.'
)
@click.option(
    '--from-version',
    type=click.IntRange(min=0),
    help='Version that the documents are based on. Defaults to the version '
    'in force, which is then overwritten.',
)
@click.pass_obj
def publish(
    session: session_module.Session,
    base: typing.BinaryIO,
    overlay: typing.BinaryIO | None,
    from_version: int | None,
) -> None:
    """Publish a base and an overlay document.

    The first configuration is published from version 0.
    """
    from basilspindle.cli import publish as publish_module
    from basilspindle import config

    documents = base.read(), overlay.read() if overlay else _EMPTY_DOCUMENT
    config.validate(
        *documents,
        base_name=base.name,
        overlay_name=overlay.name if overlay else 'overlay',
    )
    with session.open() as client:
        if from_version is None:
            from_version = publish_module.read(client).version
        version = publish_module.publish(client, *documents, from_version)
    session.show({'version': version}, f'version {version} is in force')


@command.command('in-force')
@click.pass_obj
def in_force(session: session_module.Session) -> None:
    """Show the version in force on each daemon."""
    with session.open() as client:
        response = client.call(
            'GET', '/v1/configuration/in-force', retryable=True
        )
    lines = [_format_member(member) for member in response['members']]
    session.show(response, '\n'.join(lines))


def _format_member(member: dict[str, typing.Any]) -> str:
    age_ms = member['age_ms']
    confirmed = f'confirmed {age_ms} ms ago' if age_ms >= 0 else 'unconfirmed'
    return (
        f'{member["member_id"]}: version {member["version"]}, '
        f'{member["state"]}, {confirmed}'
    )
