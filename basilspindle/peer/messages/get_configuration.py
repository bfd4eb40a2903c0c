"""Fetch the configuration in force at another daemon."""

import msgspec


class GetConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the configuration if it is newer than ``above_version``."""

    above_version: int


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The encoded publication; ``record`` is empty if it is not newer."""

    version: int
    record: bytes = b''
