"""Define the entry point and global options of the tool."""

import os
import typing

import click

import basilspindle
from basilspindle.cli import root_group
from basilspindle.cli import session

_DEFAULT_URL = 'http://127.0.0.1:8080'
# Longer than a daemon holds a request open to wait for a result.
_DEFAULT_TIMEOUT_MS = 20_000


@click.group(cls=root_group.RootGroup)
@click.option(
    '--url',
    'urls',
    multiple=True,
    envvar='BASILSPINDLE_URL',
    help='API URL of a daemon. Repeat it to add others, tried in order.',
)
@click.option(
    '--key-file',
    type=click.Path(dir_okay=False),
    help='File with the API key. Defaults to BASILSPINDLE_KEY.',
)
@click.option('--json', 'as_json', is_flag=True, help='Print output as JSON.')
@click.option(
    '--timeout-ms',
    type=click.IntRange(min=1),
    default=_DEFAULT_TIMEOUT_MS,
    show_default=True,
    help='Time to wait for a response, in milliseconds.',
)
@click.version_option(basilspindle.__version__, prog_name='basilspindle')
@click.pass_context
def main(
    ctx: click.Context,
    urls: tuple[str, ...],
    key_file: str | None,
    as_json: bool,
    timeout_ms: int,
) -> None:
    """Submit work to a basilspindle cell and operate it.

    Exit codes: 0 success, 1 work failed, 2 usage error, 3 refused and not
    run, 4 outcome unknown, 5 no daemon reachable, 6 conflict.
    """
    transport: typing.Any = ctx.obj
    ctx.obj = session.Session(
        urls=urls or (_DEFAULT_URL,),
        key=os.environ.get('BASILSPINDLE_KEY', ''),
        key_file=key_file,
        as_json=as_json,
        timeout_ms=timeout_ms,
        transport=transport,
    )
