"""Submit, list, show, wait for and cancel jobs."""

import time
import typing
import uuid

import click

from basilspindle.cli import session as session_module
from basilspindle.cli import submission

if typing.TYPE_CHECKING:
    from basilspindle.cli import client as client_module

_FINAL = frozenset(
    {
        'succeeded',
        'failed',
        'cancelled',
        'unknown',
        'unschedulable',
        'expired',
    }
)
# Below the time for which a daemon holds a waiting request.
_POLL_MS = 10_000


_QUEUE = click.option(
    '--open-queue',
    metavar='QUEUE',
    help='Open queue of a job that was submitted without a key.',
)


@click.group()
def command() -> None:
    """Submit, list, show, wait for and cancel jobs."""


@command.command()
@submission.options
@click.pass_obj
def submit(
    session: session_module.Session,
    idempotency_key: str | None,
    no_key: bool,
    **fields: typing.Any,
) -> None:
    """Submit a job that is accepted now and runs later.

    An idempotency key is made if none is given, so that the job can be
    sent to the next daemon after a lost answer and is one job.
    """
    from basilspindle import errors

    key = idempotency_key or uuid.uuid4().hex
    body = submission.make_body(**fields)
    with session.open(with_key=not no_key) as client:
        try:
            view = client.call(
                'POST',
                '/v1/jobs',
                retryable=True,
                body=body,
                headers={'Idempotency-Key': key},
            )
        except errors.BasilspindleError as error:
            if error.ran is errors.Ran.UNKNOWN:
                click.echo(f'repeat it with --idempotency-key {key}', err=True)
            raise
    session.show(view, view['job_id'])


@command.command('list')
@click.option('--after', default='', help='Id of the last job of a page.')
@click.option(
    '--limit', type=click.IntRange(1, 1000), default=100, show_default=True
)
@click.pass_obj
def list_jobs(session: session_module.Session, after: str, limit: int) -> None:
    """List the jobs of the key's workspace, ordered by id."""
    params: dict[str, typing.Any] = {'limit': limit}
    if after:
        params['after'] = after
    with session.open() as client:
        session.show(
            client.call('GET', '/v1/jobs', retryable=True, params=params)
        )


@command.command()
@click.argument('job_id')
@_QUEUE
@click.pass_obj
def show(
    session: session_module.Session, job_id: str, open_queue: str | None
) -> None:
    """Show a job; succeeds whatever its state."""
    with session.open(with_key=open_queue is None) as client:
        session.show(_get(client, job_id, open_queue, 0))


@command.command()
@click.argument('job_id')
@click.option(
    '--wait-ms',
    type=click.IntRange(min=1),
    help='Longest time to wait; by default until the job has ended.',
)
@_QUEUE
@click.pass_obj
@click.pass_context
def wait(
    ctx: click.Context,
    session: session_module.Session,
    job_id: str,
    wait_ms: int | None,
    open_queue: str | None,
) -> None:
    """Wait for the end of a job; 1 if its work failed.

    Exits with 4 if the job has not ended in time.
    """
    from basilspindle.cli import exit_code

    with session.open(with_key=open_queue is None) as client:
        view = _wait(client, job_id, open_queue, wait_ms)
    session.show(view)
    if view['state'] not in _FINAL:
        ctx.exit(exit_code.ExitCode.OUTCOME_UNKNOWN)
    ctx.exit(exit_code.of_state(view['state']))


@command.command()
@click.argument('job_id')
@click.pass_obj
def cancel(session: session_module.Session, job_id: str) -> None:
    """Cancel a job; tasks that have ended keep their outcome."""
    with session.open() as client:
        session.show(client.call('DELETE', _path(job_id), retryable=True))


def _wait(
    client: 'client_module.Client',
    job_id: str,
    open_queue: str | None,
    wait_ms: int | None,
) -> typing.Any:
    end_s = time.monotonic() + wait_ms / 1000 if wait_ms else None
    while True:
        left_ms = _POLL_MS
        if end_s is not None:
            left_ms = min(left_ms, int((end_s - time.monotonic()) * 1000))
        view = _get(client, job_id, open_queue, max(0, left_ms))
        if view['state'] in _FINAL or left_ms <= 0:
            return view


def _get(
    client: 'client_module.Client',
    job_id: str,
    open_queue: str | None,
    wait_ms: int,
) -> typing.Any:
    params: dict[str, typing.Any] = {}
    if wait_ms:
        params['wait_ms'] = wait_ms
    if open_queue is not None:
        params['queue'] = open_queue
    return client.call('GET', _path(job_id), retryable=True, params=params)


def _path(job_id: str) -> str:
    import urllib.parse

    return f'/v1/jobs/{urllib.parse.quote(job_id, safe="")}'
