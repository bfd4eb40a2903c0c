"""Draw what log files tell of a period."""

import sys
import typing

import click

from basilspindle.cli import log_lines
from basilspindle.cli import log_report

_FORMATS = ('.png', '.svg', '.pdf')


@click.command()
@click.argument('picture', type=click.Path(dir_okay=False, writable=True))
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
@click.option(
    '--step-ms',
    type=click.IntRange(min=10),
    default=500,
    show_default=True,
    help='Time that one point of the picture covers.',
)
def command(
    picture: str, files: tuple[typing.TextIO, ...], step_ms: int
) -> None:
    """Draw waiting, shares, packing and refusals into PICTURE.

    Reads logs of all daemons from FILES or standard input. PICTURE ends in
    .png, .svg or .pdf. Lines that cannot be read are counted and left out.
    """
    if not picture.endswith(_FORMATS):
        raise click.BadParameter(
            f'{picture} must end in {", ".join(_FORMATS)}',
            param_hint='PICTURE',
        )
    try:
        from basilspindle.cli import log_plot
    except ImportError as error:
        raise click.ClickException(
            f'pictures need matplotlib ({error}); install basilspindle[report]'
        ) from error
    report = log_report.collect(
        log_lines.read_files(files or (sys.stdin,)), step_ms / 1000
    )
    if report is None:
        click.echo('no line can be read; give the logs of all daemons')
        sys.exit(1)
    log_plot.draw(report, picture)
    most = max(sum(row.values()) for row in report.waiting.rows)
    refused = sum(sum(row.values()) for row in report.refused.rows)
    click.echo(
        f'{report.times_s[-1]:.1f} s, at most {most:.0f} jobs waiting, '
        f'{refused:.0f} refusals, {len(report.leader_times_s)} leaders: '
        f'{picture}'
    )
    if report.unreadable_count:
        click.echo(
            f'{report.unreadable_count} lines could not be read', err=True
        )
