"""Show the timeline of a job from log files, or foretell that of one."""

import sys
import typing

import click

from basilspindle.cli import log_lines
from basilspindle.cli import log_timeline
from basilspindle.cli import session as session_module


@click.command()
@click.argument('job_id', required=False)
@click.argument('files', nargs=-1, type=click.File('r', errors='replace'))
@click.option(
    '--dry-run',
    'body_file',
    type=click.File('rb'),
    metavar='FILE',
    help='Body of a job that is not submitted.',
)
@click.option('--queue', help='Queue of the dry run, by name.')
@click.option('--host', help='Host of the queue, together with --path.')
@click.option('--path', help='Path prefix of the queue.')
@click.option('--no-key', is_flag=True, help='Ask about an open queue.')
@click.pass_obj
@click.pass_context
def command(
    ctx: click.Context,
    session: session_module.Session,
    job_id: str | None,
    files: tuple[typing.TextIO, ...],
    body_file: typing.BinaryIO | None,
    queue: str | None,
    host: str | None,
    path: str | None,
    no_key: bool,
) -> None:
    """Print the events of a job in order of time.

    Reads the logs of all daemons from FILES, or from standard input if none
    are given. Lines that cannot be parsed are skipped and counted, and those
    that daemons report as not written.

    With --dry-run, asks the daemon at --url, its metrics address, where the
    job in FILE would go now and why. The job is not submitted. Exits with 3
    if it would be refused.
    """
    if body_file is not None:
        from basilspindle.cli import dry_run

        if job_id is not None:
            raise click.UsageError('--dry-run takes no job id and no logs')
        place = dry_run.make_params(queue, host, path)
        ctx.exit(dry_run.run(session, body_file.read(), place, not no_key))
    if queue or host or path or no_key:
        raise click.UsageError(
            '--queue, --host, --path and --no-key need --dry-run'
        )
    if job_id is None:
        raise click.MissingParameter(
            ctx=ctx, param_hint="'JOB_ID'", param_type='argument'
        )
    _explain(job_id, files)


def _explain(job_id: str, files: tuple[typing.TextIO, ...]) -> None:
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
