"""Read the configuration that operators publish in the store."""

import collections.abc

import msgspec

from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import configuration_update
from basilspindle.cell import events as cell_events
from basilspindle.cell import ports
from basilspindle import clock as clock_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.platform import store as store_module
from basilspindle.workflow import advice_terms
from basilspindle.workflow import need as need_module

_STREAM = 'op'
_KEY = 'config'
# The store returns one record at least, so this asks for one only. A version
# may be larger than what it returns by default, and only the newest counts.
_ONE_RECORD_KB = 1


class _Advice(msgspec.Struct):
    decide_ms: decoding.Amount = 0.0
    each_ms: decoding.Amount = 0.0
    valid_ms: decoding.Amount = 0.0


class _Route(msgspec.Struct):
    # A route is a queue of jobs.
    name: str
    host: str
    path_prefix: str
    # Name of the worker pool that runs the jobs.
    service: str = ''
    priority: decoding.Count = 0
    max_attempts: decoding.Count = 1
    stretch: decoding.Amount = 1.0
    target_latency_ms: decoding.Count = 0
    timeout_ms: decoding.Count = 3_000
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    # A service is a pool of workers.
    name: str
    health_path: str = '/health'
    max_conns: decoding.Count = 64


class _Resources(msgspec.Struct):
    cpu: decoding.Count = 0
    mem_mb: decoding.Count = 0
    gpus: decoding.Count = 0


class _Tenant(msgspec.Struct):
    # A tenant is a workspace.
    name: str
    api_keys: list[str] = []
    # Jobs per second that the workspace may count on when the fleet is full;
    # 0 for no bound.
    weight: decoding.Amount = 0.0
    # Upper limit on the resources in use; 0 for no limit.
    cap: _Resources = msgspec.field(default_factory=_Resources)


class _Limits(msgspec.Struct):
    max_body_bytes: decoding.Count = 262_144
    max_header_bytes: decoding.Count = 0
    header_timeout_ms: decoding.Count = 0


class _Config(msgspec.Struct):
    version: decoding.Count
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class StoreConfigurationSource:
    """Reader of configuration versions that logs and skips invalid ones."""

    __slots__ = ('_store', '_clock')

    def __init__(
        self, store: store_module.LogStore, clock: clock_module.Clock
    ) -> None:
        self._store = store
        self._clock = clock

    async def poll(
        self,
        next_offset: int | None,
        wait_ms: int,
        on_progress: collections.abc.Callable[[], None] | None = None,
    ) -> ports.ConfigurationPoll:
        """Read the next version from an offset on, or the newest one."""
        if next_offset is None:
            return await self._read_newest(on_progress)
        try:
            chunk = await self._store.read(
                _STREAM, next_offset, wait_ms, _ONE_RECORD_KB, on_progress
            )
        except errors.LogTrimmed:
            return await self._read_newest(on_progress)
        end = next_offset + len(chunk.records)
        raw = [value for key, value in chunk.records if key == _KEY and value]
        update = self._decode(raw[-1], chunk.transfer_ms) if raw else None
        # At another end there are newer records, or the stream was reset.
        return ports.ConfigurationPoll(
            update, end if end == chunk.end else None
        )

    async def _read_newest(
        self, on_progress: collections.abc.Callable[[], None] | None
    ) -> ports.ConfigurationPoll:
        begun_ms = self._clock.now_ms()
        values, end = await self._store.read_latest(_STREAM, on_progress)
        raw = values.get(_KEY)
        took_ms = self._clock.now_ms() - begun_ms
        update = self._decode(raw, took_ms) if raw is not None else None
        return ports.ConfigurationPoll(update, end)

    def _decode(
        self, raw: bytes, transfer_ms: int
    ) -> configuration_update.ConfigurationUpdate | None:
        begun_ms = self._clock.now_ms()
        try:
            configuration = _to_configuration(
                msgspec.json.decode(raw, type=_Config)
            )
        except decoding.FAULTS as error:
            events.emit(cell_events.CONFIGURATION_UNREADABLE, error=str(error))
            return None
        report = configuration_update.ReadReport(
            configuration_update.Source.STORE,
            len(raw),
            transfer_ms,
            self._clock.now_ms() - begun_ms,
        )
        return configuration_update.ConfigurationUpdate(configuration, report)


def _to_configuration(config: _Config) -> configuration_module.Configuration:
    return configuration_module.Configuration(
        config.version,
        tuple(
            configuration_module.QueueConfig(
                route.name,
                route.host,
                route.path_prefix,
                route.service,
                route.priority,
                route.max_attempts,
                route.stretch,
                route.target_latency_ms,
                route.timeout_ms,
                route.public,
                advice_terms.AdviceTerms(
                    route.advice.decide_ms,
                    route.advice.each_ms,
                    route.advice.valid_ms,
                )
                if route.advice is not None
                else None,
            )
            for route in config.routes
        ),
        tuple(
            configuration_module.WorkspaceConfig(
                tenant.name,
                tuple(tenant.api_keys),
                tenant.weight,
                need_module.Need(
                    tenant.cap.cpu, tenant.cap.mem_mb, tenant.cap.gpus
                ),
            )
            for tenant in config.tenants
        ),
        tuple(
            configuration_module.PoolConfig(
                service.name, service.health_path, service.max_conns
            )
            for service in config.services
        ),
        configuration_module.RequestLimits(
            config.limits.max_body_bytes,
            config.limits.max_header_bytes,
            config.limits.header_timeout_ms,
        ),
    )
