"""Check a settings file of either format."""

import pathlib

import click

_TOML = '.toml'


@click.group()
def command() -> None:
    """Check settings files."""


@command.command()
@click.argument('path', type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Check a file: TOML as the platform writes it, or JSON of our own.

    Exits with 2 and names the field and the remedy if it is not valid.
    """
    if pathlib.Path(path).suffix == _TOML:
        from basilspindle.platform import boot_settings

        boot_settings.load(path)
    else:
        from basilspindle import settings

        settings.load(path)
    click.echo(f'{path}: valid')
