"""Plot the metrics of a period from log files."""

import sys
import typing

import click

from basilspindle.cli import log_lines
from basilspindle.cli import log_report

_SUFFIXES = ('.png', '.svg', '.pdf')


@click.command()
@click.argument('picture', type=click.Path(dir_okay=False, writable=True))
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
@click.option(
    '--step-ms',
    type=click.IntRange(min=10),
    default=500,
    show_default=True,
    help='Length of a time step of the plots in ms.',
)
def command(
    picture: str, files: tuple[typing.TextIO, ...], step_ms: int
) -> None:
    """Plot queueing, shares, utilization and refusals to PICTURE.

    Reads the logs of all daemons from FILES, or from standard input if none
    are given. PICTURE must end in .png, .svg or .pdf. Lines that cannot be
    parsed are skipped and counted.
    """
    if not picture.endswith(_SUFFIXES):
        raise click.BadParameter(
            f'{picture} must end in {", ".join(_SUFFIXES)}',
            param_hint='PICTURE',
        )
    try:
        from basilspindle.cli import log_plot
    except ImportError as error:
        raise click.ClickException(
            f'matplotlib is required ({error}); install basilspindle[report]'
        ) from error
    report = log_report.collect(
        log_lines.read_files(files or (sys.stdin,)), step_ms / 1000
    )
    if report is None:
        click.echo('no log line can be parsed; pass the logs of all daemons')
        sys.exit(1)
    log_plot.draw(report, picture)
    max_waiting = max(sum(row.values()) for row in report.waiting_jobs.rows)
    refusals = sum(sum(row.values()) for row in report.refusals.rows)
    click.echo(
        f'{report.step_ends_s[-1]:.1f} s, at most {max_waiting:.0f} jobs '
        f'waiting, {refusals:.0f} refusals, '
        f'{len(report.leader_ready_s)} leaders: {picture}'
    )
    if report.unreadable_count:
        click.echo(
            f'{report.unreadable_count} lines could not be read', err=True
        )
