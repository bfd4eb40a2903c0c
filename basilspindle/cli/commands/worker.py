"""List, drain and undrain workers."""

import typing

import click

from basilspindle.cli import session as session_module

if typing.TYPE_CHECKING:
    from basilspindle import config as config_module

_DRAINED = '/workers/drained'


@click.group()
def command() -> None:
    """List, drain and undrain workers."""


@command.command('list')
@click.pass_obj
def list_workers(session: session_module.Session) -> None:
    """List the workers that a daemon knows."""
    with session.open() as client:
        session.show(client.call('GET', '/v1/workers', retryable=True))


@command.command()
@click.argument('worker_ids', nargs=-1, required=True)
@click.pass_obj
def drain(
    session: session_module.Session, worker_ids: tuple[str, ...]
) -> None:
    """Give workers no new work; running tasks go on."""
    _change(session, set(worker_ids), set(), 'drained')


@command.command()
@click.argument('worker_ids', nargs=-1, required=True)
@click.pass_obj
def undrain(
    session: session_module.Session, worker_ids: tuple[str, ...]
) -> None:
    """Give workers new work again."""
    _change(session, set(), set(worker_ids), 'undrained')


def _change(
    session: session_module.Session,
    added: set[str],
    removed: set[str],
    word: str,
) -> None:
    from basilspindle.cli import publish

    with session.open() as client:
        version = publish.change(
            client, lambda draft: _apply(draft, added, removed)
        )
    ids = sorted(added | removed)
    session.show(
        {word: ids, 'version': version},
        f'{" ".join(ids)} {word} from version {version}',
    )


def _apply(
    draft: 'config_module.Draft', added: set[str], removed: set[str]
) -> bool:
    before = draft.get(_DRAINED, [])
    after = [item for item in before if item not in removed]
    after += sorted(added - set(before))
    if after == before:
        return False
    draft.put(_DRAINED, after)
    return True
