"""A configuration together with how it was read."""

import enum

from basilspindle.cell import configuration as configuration_module


class Source(enum.StrEnum):
    """Where a daemon reads a configuration."""

    STORE = 'store'
    LEADER = 'leader'


class ReadReport:
    """What reading a configuration took.

    ``size_bytes`` is the number of bytes received, ``transfer_ms`` the time
    from the first of them to the last, and ``decode_ms`` the time to decode
    them.
    """

    __slots__ = ('source', 'size_bytes', 'transfer_ms', 'decode_ms')

    def __init__(
        self,
        source: Source,
        size_bytes: int,
        transfer_ms: int,
        decode_ms: int = 0,
    ) -> None:
        self.source = source
        self.size_bytes = size_bytes
        self.transfer_ms = transfer_ms
        self.decode_ms = decode_ms


class ConfigurationUpdate:
    """A whole configuration that was read from the store."""

    __slots__ = ('configuration', 'report')

    def __init__(
        self,
        configuration: configuration_module.Configuration,
        report: ReadReport,
    ) -> None:
        self.configuration = configuration
        self.report = report
