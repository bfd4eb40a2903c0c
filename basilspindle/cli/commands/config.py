"""Check, show and publish the configuration."""

import typing

import click

from basilspindle.cli import session as session_module

_FILE = click.File('rb')
_EMPTY = b'{}'


@click.group()
def command() -> None:
    """Check, show and publish the configuration."""


@command.command()
@click.option('--base', type=_FILE, required=True, help='Base document.')
@click.option('--overlay', type=_FILE, help='Overlay of one site.')
@click.pass_obj
def check(
    session: session_module.Session,
    base: typing.BinaryIO,
    overlay: typing.BinaryIO | None,
) -> None:
    """Check documents without a daemon and report every fault."""
    from basilspindle import config

    document = config.validate(
        base.read(),
        overlay.read() if overlay else _EMPTY,
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
    help='Document to print; base and overlay can be published again.',
)
@click.pass_obj
def show(session: session_module.Session, part: str) -> None:
    """Show the configuration in force."""
    from basilspindle.cli import publish as publish_module
    from basilspindle import config

    with session.open() as client:
        known = publish_module.read(client)
    values = {
        'base': known.base or {},
        'overlay': known.overlay or {},
        'merged': config.merge(known.base or {}, known.overlay or {}),
        'all': known,
    }
    session.show(values[part])


@command.command()
@click.option('--base', type=_FILE, required=True, help='Base document.')
@click.option('--overlay', type=_FILE, help='Overlay of this site.')
@click.option(
    '--from-version',
    type=click.IntRange(min=0),
    help='Version that the documents are based on; by default the one in '
    'force, whose changes are then replaced.',
)
@click.pass_obj
def publish(
    session: session_module.Session,
    base: typing.BinaryIO,
    overlay: typing.BinaryIO | None,
    from_version: int | None,
) -> None:
    """Publish a base and an overlay; the first one from version 0."""
    from basilspindle.cli import publish as publish_module
    from basilspindle import config

    documents = base.read(), overlay.read() if overlay else _EMPTY
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
    """Show the version that each daemon has in force."""
    with session.open() as client:
        answer = client.call(
            'GET', '/v1/configuration/in-force', retryable=True
        )
    lines = [_describe(member) for member in answer['members']]
    session.show(answer, '\n'.join(lines))


def _describe(member: dict[str, typing.Any]) -> str:
    age_ms = member['age_ms']
    confirmed = f'confirmed {age_ms} ms ago' if age_ms >= 0 else 'unconfirmed'
    return (
        f'{member["member_id"]}: version {member["version"]}, '
        f'{member["state"]}, {confirmed}'
    )
