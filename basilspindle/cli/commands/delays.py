"""Show which part of their time jobs spend on what, from log files."""

import sys
import typing

import click

from basilspindle.cli import log_delays
from basilspindle.cli import log_lines


@click.command()
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
def command(files: tuple[typing.TextIO, ...]) -> None:
    """Print how long jobs of each queue wait, run and are recorded.

    Reads the logs of all daemons from FILES, or from standard input if none
    are given. Lines that cannot be parsed are skipped and counted, and so are
    jobs of which a line is missing.
    """
    delays = log_delays.collect(log_lines.read_files(files or (sys.stdin,)))
    if not delays.parts_s:
        click.echo(
            'no job was accepted, started and ended in these lines; pass the '
            'logs of all daemons'
        )
        sys.exit(1)
    for text in log_delays.describe(delays):
        click.echo(text)
    for count, what in (
        (delays.incomplete_count, 'jobs have a missing line'),
        (delays.suppressed_count, 'lines were left out by daemons'),
        (delays.unreadable_count, 'lines could not be read'),
    ):
        if count:
            click.echo(f'{count} {what}', err=True)
