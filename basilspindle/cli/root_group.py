"""Load commands when they are used and turn errors into exit codes."""

import importlib
import typing

import click

from basilspindle.cli import exit_code
from basilspindle import errors

_COMMANDS = {
    'config': 'Check, show and publish the configuration.',
    'explain': 'Tell the story of one job from log files.',
    'job': 'Submit, list, show, wait for and cancel jobs.',
    'key': 'Generate, add and withdraw keys.',
    'report': 'Draw waiting, shares and packing from log files.',
    'run': 'Submit a request and wait for its result.',
    'settings': 'Check a settings file of either format.',
    'state': 'Show the state of a daemon.',
    'workspace': 'List workspaces and set their shares and limits.',
    'worker': 'List, drain and undrain workers.',
}


class RootGroup(click.Group):
    """Import the module of a command only when the command runs."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted(_COMMANDS)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return a command, None if there is no such one."""
        if cmd_name not in _COMMANDS:
            return None
        module = importlib.import_module(
            f'basilspindle.cli.commands.{cmd_name}'
        )
        return module.command

    def format_commands(
        self, ctx: click.Context, formatter: click.HelpFormatter
    ) -> None:
        """List the commands without importing them."""
        with formatter.section('Commands'):
            formatter.write_dl(sorted(_COMMANDS.items()))

    def invoke(self, ctx: click.Context) -> typing.Any:
        """Run a command; print an error and exit with its code."""
        try:
            return super().invoke(ctx)
        except errors.BasilspindleError as error:
            _print(error, ctx.params['as_json'])
            ctx.exit(exit_code.of_error(error))


def _print(error: errors.BasilspindleError, as_json: bool) -> None:
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
