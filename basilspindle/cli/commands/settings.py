"""Validate settings files."""

import pathlib

import click

_PLATFORM_SUFFIX = '.toml'


@click.group()
def command() -> None:
    """Validate settings files."""


@command.command()
@click.argument('path', type=click.Path(dir_okay=False))
def check(path: str) -> None:
    """Validate a settings file.

    A .toml file is read as the settings that the platform writes, any other
    file as JSON settings. Exits with 3 and prints the field and the remedy
    if the file is invalid.
    """
    if pathlib.Path(path).suffix == _PLATFORM_SUFFIX:
        from basilspindle.platform import boot_settings

        boot_settings.load(path)
    else:
        from basilspindle import settings

        settings.load(path)
    click.echo(f'{path}: valid')
