"""Tell the story of one job from log files."""

import sys
import typing

import click

from basilspindle.cli import log_lines
from basilspindle.cli import log_timeline


@click.command()
@click.argument('job_id')
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
def command(job_id: str, files: tuple[typing.TextIO, ...]) -> None:
    """Print what happened to a job, in order, from logs of all daemons.

    Reads standard input without FILES. Lines that cannot be read are
    counted and left out.
    """
    story = log_timeline.collect(
        job_id, log_lines.read_files(files or (sys.stdin,))
    )
    if not story.lines:
        click.echo(f'no line tells of {job_id}; give the logs of all daemons')
        sys.exit(1)
    for text in log_timeline.describe(story):
        click.echo(text)
    if story.unreadable_count:
        click.echo(
            f'{story.unreadable_count} lines could not be read', err=True
        )
