"""Ask for the configuration that another daemon has in force."""

import msgspec


class GetConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the configuration if it is newer than a version."""

    above_version: int


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted publication; ``record`` is empty if none is newer."""

    version: int
    record: bytes = b''
