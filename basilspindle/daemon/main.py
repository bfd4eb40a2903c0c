"""Define the command ``basilspindled``."""

import asyncio
import signal
import sys

import click

import basilspindle
from basilspindle import errors
from basilspindle import settings as settings_package

_EXIT_SETTINGS = 2
_EXIT_START = 1


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(dir_okay=False),
    help='JSON file with the settings of this daemon.',
)
@click.option(
    '--check', is_flag=True, help='Check the settings file and exit.'
)
@click.version_option(basilspindle.__version__, prog_name='basilspindled')
def main(path: str, check: bool) -> None:
    """Serve the API, own partitions and hold workers until SIGTERM.

    Exit status: 0 after a graceful shutdown, 1 if the daemon cannot start, 2
    if the settings are not valid.
    """
    try:
        settings = settings_package.load(path)
    except errors.SettingsInvalid as error:
        click.echo(error.message, err=True)
        sys.exit(_EXIT_SETTINGS)
    if check:
        click.echo(f'{path}: valid')
        return
    sys.exit(asyncio.run(_run(settings)))


async def _run(settings: settings_package.Settings) -> int:
    # Imported here, since these imports would slow down --help and --check.
    from basilspindle.daemon import daemon as daemon_module
    from basilspindle.daemon import events as daemon_events
    from basilspindle import events

    events.configure_logging(sys.stdout, settings.log_level)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    try:
        async with daemon_module.Daemon(settings) as daemon:
            loop.add_signal_handler(
                signal.SIGUSR1,
                lambda: events.emit(
                    daemon_events.STATE_DUMP, state=daemon.overview.dump()
                ),
            )
            await daemon.run_until(stop)
            await daemon.stop()
    except OSError as error:
        click.echo(
            f'cannot start: {error}; check the addresses in the settings',
            err=True,
        )
        return _EXIT_START
    events.emit(daemon_events.STOPPED)
    return 0


if __name__ == '__main__':
    main()
