"""Load commands on demand and map errors to exit codes."""

import importlib
import typing

import click

from basilspindle.cli import exit_code
from basilspindle import errors

_COMMANDS = {
    'config': 'Validate, show and publish the configuration.',
    'delays': 'Show what jobs spend their time on, from log files.',
    'explain': 'Show the timeline of a job, or what would become of one.',
    'job': 'Submit, list, show, wait for and cancel jobs.',
    'key': 'Generate, add and withdraw API keys.',
    'report': 'Plot queueing, shares and utilization from log files.',
    'run': 'Submit a request and wait for its result.',
    'settings': 'Validate settings files.',
    'state': 'Show the state of a daemon.',
    'workspace': 'List workspaces and set their shares and limits.',
    'worker': 'List, drain and undrain workers.',
}


class RootGroup(click.Group):
    """Import the module of a command only when the command is used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(_COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return the command of a name, or None."""
        if cmd_name not in _COMMANDS:
            return None
        module = importlib.import_module(
            f'basilspindle.cli.commands.{cmd_name}'
        )
        return module.command

    def format_commands(
        self, ctx: click.Context, formatter: click.HelpFormatter
    ) -> None:
        """Write the list of commands without importing them."""
        with formatter.section('Commands'):
            formatter.write_dl(sorted(_COMMANDS.items()))

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Run a command; on an error, print it and exit with its code."""
        try:
            return super().invoke(ctx)
        except errors.BasilspindleError as error:
            _print_error(error, ctx.params['as_json'])
            ctx.exit(exit_code.from_error(error))


def _print_error(error: errors.BasilspindleError, as_json: bool) -> None:
    if not as_json:
        click.echo(f'{error.kind}: {error.message}', err=True)
        click.echo(f'ran: {error.ran}', err=True)
        return
    import msgspec

    fields = {
        'kind': error.kind,
        'message': error.message,
        'remedy': error.message.rpartition('; ')[2],
        'ran': error.ran,
        'retry_after_ms': error.retry_after_ms,
        'job_id': error.job_id,
    }
    click.echo(msgspec.json.encode({'error': fields}))
