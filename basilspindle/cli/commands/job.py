"""Submit, list, show, wait for and cancel jobs."""

import time
import typing
import uuid

import click

from basilspindle.cli import session as session_module
from basilspindle.cli import submission

if typing.TYPE_CHECKING:
    from basilspindle.cli import client as client_module

_FINAL_STATES = frozenset(
    {
        'succeeded',
        'failed',
        'cancelled',
        'unknown',
        'unschedulable',
        'expired',
    }
)
# Shorter than the longest ``wait_ms`` that a daemon accepts.
_LONG_POLL_MS = 10_000


_OPEN_QUEUE_OPTION = click.option(
    '--open-queue',
    metavar='QUEUE',
    help='Open queue to which the job was submitted without an API key.',
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
    """Submit a job and return its id without waiting for its end.

    An idempotency key is generated if none is given, so that a retry on
    another daemon after a lost response does not create a second job.
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
                click.echo(f'to retry, use --idempotency-key {key}', err=True)
            raise
    session.show(view, view['job_id'])


@command.command('list')
@click.option('--after', default='', help='List only jobs after this job id.')
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
@_OPEN_QUEUE_OPTION
@click.pass_obj
def show(
    session: session_module.Session, job_id: str, open_queue: str | None
) -> None:
    """Show a job. Exits with 0 whatever the state of the job."""
    with session.open(with_key=open_queue is None) as client:
        session.show(_get_job(client, job_id, open_queue, 0))


@command.command()
@click.argument('job_id')
@click.option(
    '--wait-ms',
    type=click.IntRange(min=1),
    help='Maximum time to wait in ms. Waits until the job ends by default.',
)
@_OPEN_QUEUE_OPTION
@click.pass_obj
@click.pass_context
def wait(
    ctx: click.Context,
    session: session_module.Session,
    job_id: str,
    wait_ms: int | None,
    open_queue: str | None,
) -> None:
    """Wait for a job to end.

    Exits with 1 if the work failed, and with 4 if the job has not ended in
    time or its outcome is unknown.
    """
    from basilspindle.cli import exit_code

    with session.open(with_key=open_queue is None) as client:
        view = _wait_for_end(client, job_id, open_queue, wait_ms)
    session.show(view)
    if view['state'] not in _FINAL_STATES:
        ctx.exit(exit_code.ExitCode.OUTCOME_UNKNOWN)
    ctx.exit(exit_code.from_job_state(view['state']))


@command.command()
@click.argument('job_id')
@click.pass_obj
def cancel(session: session_module.Session, job_id: str) -> None:
    """Cancel a job. Tasks that have ended keep their outcome."""
    with session.open() as client:
        session.show(client.call('DELETE', _job_path(job_id), retryable=True))


def _wait_for_end(
    client: 'client_module.Client',
    job_id: str,
    open_queue: str | None,
    wait_ms: int | None,
) -> typing.Any:
    deadline_s = time.monotonic() + wait_ms / 1000 if wait_ms else None
    while True:
        poll_ms = _LONG_POLL_MS
        if deadline_s is not None:
            poll_ms = min(poll_ms, int((deadline_s - time.monotonic()) * 1000))
        view = _get_job(client, job_id, open_queue, max(0, poll_ms))
        if view['state'] in _FINAL_STATES or poll_ms <= 0:
            return view


def _get_job(
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
    return client.call('GET', _job_path(job_id), retryable=True, params=params)


def _job_path(job_id: str) -> str:
    import urllib.parse

    return f'/v1/jobs/{urllib.parse.quote(job_id, safe="")}'
