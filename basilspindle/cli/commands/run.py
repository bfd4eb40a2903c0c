"""Submit a request and wait for its result."""

import typing

import click

from basilspindle.cli import session as session_module
from basilspindle.cli import submission


@click.command()
@submission.options
@click.pass_obj
@click.pass_context
def command(
    ctx: click.Context,
    session: session_module.Session,
    idempotency_key: str | None,
    no_key: bool,
    **fields: typing.Any,
) -> None:
    """Submit a request and wait for its result.

    Without an idempotency key, the request is not sent to another daemon
    once a daemon may have received it.
    """
    from basilspindle.cli import exit_code

    headers = {'Idempotency-Key': idempotency_key} if idempotency_key else {}
    body = submission.make_body(**fields)
    with session.open(with_key=not no_key) as client:
        view = client.call(
            'POST',
            '/v1/requests',
            retryable=bool(idempotency_key),
            body=body,
            headers=headers,
        )
    session.show(view)
    ctx.exit(exit_code.from_job_state(view['state']))
