"""Read the settings file that the platform writes."""

import pathlib
import tomllib
import typing

import msgspec

from basilspindle.cell import bounds as bounds_module
from basilspindle import errors


# A leader reads some megabytes when it takes over and uses a fifth of a core
# at 60 jobs a second; docs/CAPACITY.md has the slopes.
_MIN_LEADER_CORES = 1.0
_MIN_LEADER_LINK_MBPS = 50.0
# Descriptors for files (200 are set aside by the platform), callers and links.
_RESERVED_DESCRIPTORS = 1_400
_MIN_CLIENT_CONNECTIONS = 200


class _ListenAddresses(msgspec.Struct):
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


class _Platform(msgspec.Struct):
    address: str
    record_bytes: int = 262_144
    call_bytes: int = 2_097_152


class _SettingsFile(msgspec.Struct):
    node: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen_addrs: _ListenAddresses
    platform: _Platform
    advice: str = ''
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)


class BootSettings:
    """Settings of one daemon on the platform."""

    __slots__ = (
        'node',
        'failure_domain',
        'frontend_address',
        'readiness_address',
        'link_address',
        'metrics_address',
        'store_address',
        'store_call_bytes',
        'advice_address',
        'leads_last',
        'max_connections',
        'bounds',
    )

    def __init__(self, file: _SettingsFile) -> None:
        first_port, last_port = file.port_range
        self.node = file.node
        self.failure_domain = file.zone
        self.frontend_address = file.listen_addrs.frontend_addr
        self.readiness_address = file.listen_addrs.readiness_addr
        self.link_address = f'{file.ip}:{first_port}'
        self.metrics_address = f'{file.ip}:{last_port}'
        self.store_address = file.platform.address
        self.store_call_bytes = file.platform.call_bytes
        self.advice_address = file.advice
        limits = file.limits
        self.max_connections = max(
            _MIN_CLIENT_CONNECTIONS, limits.max_fds - _RESERVED_DESCRIPTORS
        )
        self.leads_last = (
            limits.cpu_share * limits.cores < _MIN_LEADER_CORES
            or limits.link_mbps < _MIN_LEADER_LINK_MBPS
        )
        bounds = file.bounds
        self.bounds = bounds_module.Bounds(
            max_lease_ms=bounds.hold_max_ms,
            stop_ms=int(bounds.stop_ms),
            gang_ms=bounds.gang_ms,
            state_kept_ms=int(bounds.status_s * 1000),
            early_ms=int(bounds.early_ms),
            remote_factor=bounds.far_x,
            grace_ms=int(bounds.grace_s * 1000),
        )


def load(path: str) -> BootSettings:
    """Return the settings of a file; raises ``SettingsInvalid``."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise errors.SettingsInvalid(
            f'cannot read {path}: {error.strerror}; name a readable file'
        ) from error
    return parse(text, path)


def parse(text: str, name: str = 'settings') -> BootSettings:
    """Return the settings of a TOML text; raises ``SettingsInvalid``."""
    try:
        document: typing.Any = tomllib.loads(text)
        return BootSettings(msgspec.convert(document, _SettingsFile))
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsInvalid(
            f'{name} is not TOML: {error}; write the file again'
        ) from error
    except msgspec.ValidationError as error:
        raise errors.SettingsInvalid(
            f'{name}: {error}; give this field a value of that type'
        ) from error
