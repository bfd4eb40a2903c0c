"""List, drain and undrain workers."""

import typing

import click

from basilspindle.cli import session as session_module

if typing.TYPE_CHECKING:
    from basilspindle import config as config_module

_DRAINED_POINTER = '/workers/drained'


@click.group()
def command() -> None:
    """List, drain and undrain workers."""


@command.command('list')
@click.pass_obj
def list_workers(session: session_module.Session) -> None:
    """List the workers known to a daemon."""
    with session.open() as client:
        session.show(client.call('GET', '/v1/workers', retryable=True))


@command.command()
@click.argument('worker_ids', nargs=-1, required=True)
@click.pass_obj
def drain(
    session: session_module.Session, worker_ids: tuple[str, ...]
) -> None:
    """Stop assigning work to workers; running tasks continue."""
    _update_drained(session, set(worker_ids), set(), 'drained')


@command.command()
@click.argument('worker_ids', nargs=-1, required=True)
@click.pass_obj
def undrain(
    session: session_module.Session, worker_ids: tuple[str, ...]
) -> None:
    """Resume assigning work to workers."""
    _update_drained(session, set(), set(worker_ids), 'undrained')


def _update_drained(
    session: session_module.Session,
    added: set[str],
    removed: set[str],
    status: str,
) -> None:
    from basilspindle.cli import publish

    with session.open() as client:
        version = publish.change(
            client, lambda draft: _edit_drained(draft, added, removed)
        )
    worker_ids = sorted(added | removed)
    session.show(
        {status: worker_ids, 'version': version},
        f'{" ".join(worker_ids)} {status} from version {version}',
    )


def _edit_drained(
    draft: 'config_module.Draft', added: set[str], removed: set[str]
) -> bool:
    before = draft.get(_DRAINED_POINTER, [])
    after = [item for item in before if item not in removed]
    after += sorted(added - set(before))
    if after == before:
        return False
    draft.put(_DRAINED_POINTER, after)
    return True
