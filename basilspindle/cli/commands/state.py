"""Show the state of a daemon."""

import click

from basilspindle.cli import session as session_module


@click.command()
@click.pass_obj
def command(session: session_module.Session) -> None:
    """Show the state of the first daemon that responds."""
    with session.open() as client:
        session.show(client.call('GET', '/v1/state', retryable=True))
