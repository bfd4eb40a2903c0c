"""Load the settings file that the platform writes for each daemon."""

import pathlib
import tomllib
import typing

import msgspec

from basilspindle.cell import bounds as bounds_module
from basilspindle import errors
from basilspindle.platform import client_limits


# A new leader reads several megabytes from the store, and a leader uses 0.2
# cores at 60 jobs per second; docs/CAPACITY.md has the growth rates.
_MIN_LEADER_CORES = 1.0
_MIN_LEADER_LINK_MBPS = 50.0
# File descriptors that are not available for outgoing calls: files (the
# platform reserves 200), connections of callers, and links between daemons.
# client_limits.py divides them.
_RESERVED_DESCRIPTORS = 1_400
_MIN_CLIENT_CONNECTIONS = 200


class _ListenAddresses(msgspec.Struct):
    frontend_addr: str
    readiness_addr: str


class _Bounds(msgspec.Struct):
    # Maximum lease of a worker; the platform calls a lease a hold.
    hold_max_ms: int = 10_000
    stop_ms: float = 1_000
    gang_ms: int = 3_000
    # How long the state of an ended job can be queried.
    status_s: float = 120
    # How long before its due time an occurrence of a job may start.
    early_ms: float = 250
    # Ratio of task durations outside and inside the rack of the data.
    far_x: float = 1.5
    grace_s: float = 6
    # From when on no task may start in a failure domain that is evacuated;
    # 0 in a deployment without evacuations.
    evacuate_ms: float = 0


class _Limits(msgspec.Struct):
    # Fraction of a core that the daemon may use.
    cpu_share: float = 1.0
    # Speed of that core relative to a reference core, not a number of cores.
    cores: int = 1
    link_mbps: float = 1_000.0
    max_fds: int = 4_096
    # Memory of the VM, 0 if the settings do not tell.
    memory_mb: int = 0


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
    clients: client_limits.ClientSettings = msgspec.field(
        default_factory=client_limits.ClientSettings
    )


class BootSettings:
    """Settings with which a daemon starts on the platform."""

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
        'client_limits',
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
        self.client_limits = client_limits.ClientLimits(
            file.clients,
            limits.max_fds,
            self.max_connections,
            limits.memory_mb,
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
            evacuate_ms=int(bounds.evacuate_ms),
        )


def load(path: str) -> BootSettings:
    """Load a settings file; raises ``SettingsInvalid``."""
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise errors.SettingsInvalid(
            f'cannot read {path}: {error.strerror}; set the path of a '
            'readable file'
        ) from error
    return parse(text, path)


def parse(text: str, name: str = 'settings') -> BootSettings:
    """Parse settings in TOML; raises ``SettingsInvalid``."""
    try:
        document: typing.Any = tomllib.loads(text)
        return BootSettings(msgspec.convert(document, _SettingsFile))
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise errors.SettingsInvalid(
            f'{name} is not valid TOML: {error}; correct the file'
        ) from error
    except msgspec.ValidationError as error:
        raise errors.SettingsInvalid(
            f'{name}: {error}; correct the value of this field'
        ) from error
