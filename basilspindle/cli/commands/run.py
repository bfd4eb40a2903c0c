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

    Without an idempotency key it is never sent to a second daemon once
    the first one may have it.
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
    ctx.exit(exit_code.of_state(view['state']))
