"""Show the timeline of a job from log files."""

import sys
import typing

import click

from basilspindle.cli import log_lines
from basilspindle.cli import log_timeline


@click.command()
@click.argument('job_id')
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
def command(job_id: str, files: tuple[typing.TextIO, ...]) -> None:
    """Print the events of a job in order of time.

    Reads the logs of all daemons from FILES, or from standard input if none
    are given. Lines that cannot be parsed are skipped and counted, and those
    that daemons report as not written.
    """
    timeline = log_timeline.collect(
        job_id, log_lines.read_files(files or (sys.stdin,))
    )
    if not timeline.lines:
        click.echo(
            f'no log line mentions job {job_id}; pass the logs of all daemons'
        )
        _report_missing(timeline)
        sys.exit(1)
    for text in log_timeline.describe(timeline):
        click.echo(text)
    if timeline.unreadable_count:
        click.echo(
            f'{timeline.unreadable_count} lines could not be read', err=True
        )
    _report_missing(timeline)


def _report_missing(timeline: log_timeline.Timeline) -> None:
    if timeline.missing_count:
        click.echo(
            f'{timeline.missing_count} lines of the logs were not written, '
            'some may be of this job; see lines_dropped and lines_suppressed',
            err=True,
        )
