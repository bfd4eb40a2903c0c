"""Read the settings file that the platform writes."""

import pathlib
import tomllib
import typing

import msgspec

from basilspindle.cell import bounds as bounds_module
from basilspindle import errors


# A leader reads some megabytes when it takes over and uses a fifth of a core
# at 60 jobs a second; docs/CAPACITY.md has the slopes.
_LEADER_CORES = 1.0
_LEADER_LINK_MBPS = 50.0
# Descriptors for files (200 are set aside by the platform), callers and links.
_OTHER_DESCRIPTORS = 1_400
_LEAST_CONNECTIONS = 200


class _Listen(msgspec.Struct):
    frontend_addr: str
    readiness_addr: str


class _Bounds(msgspec.Struct):
    # Named "hold" on the wire: the longest lease of a worker.
    hold_max_ms: int = 10_000
    stop_ms: float = 1_000
    gang_ms: int = 3_000
    # How long the state of an ended job stays known.
    status_s: float = 120
    early_ms: float = 250
    # How many times as long a task takes away from its data or its rack.
    far_x: float = 1.5
    grace_s: float = 6


class _Limits(msgspec.Struct):
    # Part of a core, and how many times as fast as one it is.
    cpu_share: float = 1.0
    cores: int = 1
    link_mbps: float = 1_000.0
    max_fds: int = 4_096


class _Store(msgspec.Struct):
    address: str
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


class _File(msgspec.Struct):
    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen_addrs: _Listen
    platform: _Store
    advice: str = ''
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


class Boot:
    """Settings of one daemon on the platform."""

    __slots__ = (
        'node',
        'failure_domain',
        'caller_address',
        'readiness_address',
        'link_address',
        'metrics_address',
        'store_address',
        'store_call_bytes',
        'advice_address',
        'leads_last',
        'call_connections',
        'bounds',
    )

    def __init__(self, file: _File) -> None:
        first_port, last_port = file.port_range
        self.node = file.node
        self.failure_domain = file.zone
        self.caller_address = file.listen_addrs.frontend_addr
        self.readiness_address = file.listen_addrs.readiness_addr
        self.link_address = f'{file.ip}:{first_port}'
        self.metrics_address = f'{file.ip}:{last_port}'
        self.store_address = file.platform.address
        self.store_call_bytes = file.platform.call_bytes
        self.advice_address = file.advice
        limits = file.limits
        self.call_connections = max(
            _LEAST_CONNECTIONS, limits.max_fds - _OTHER_DESCRIPTORS
        )
        self.leads_last = (
            limits.cpu_share * limits.cores < _LEADER_CORES
            or limits.link_mbps < _LEADER_LINK_MBPS
        )
        given = file.bounds
        self.bounds = bounds_module.Bounds(
            max_lease_ms=given.hold_max_ms,
            stop_ms=int(given.stop_ms),
            gang_ms=given.gang_ms,
            state_kept_ms=int(given.status_s * 1000),
            early_ms=int(given.early_ms),
            remote_factor=given.far_x,
            grace_ms=int(given.grace_s * 1000),
        )


def load(path: str) -> Boot:
    """Return the settings of a file; raises ``SettingsInvalid``."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise errors.SettingsInvalid(
            f'cannot read {path}: {error.strerror}; name a readable file'
        ) from error
    return parse(text, path)


def parse(text: str, name: str = 'settings') -> Boot:
    """Return the settings of a TOML text; raises ``SettingsInvalid``."""
    try:
        value: typing.Any = tomllib.loads(text)
        return Boot(msgspec.convert(value, _File))
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsInvalid(
            f'{name} is not TOML: {error}; write the file again'
        ) from error
    except msgspec.ValidationError as error:
        raise errors.SettingsInvalid(
            f'{name}: {error}; give this field a value of that type'
        ) from error
