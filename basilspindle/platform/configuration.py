"""Read the configuration that operators publish in the store."""

import msgspec

from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import configuration_update
from basilspindle.cell import events as cell_events
from basilspindle.cell import metrics
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.platform import store as store_module
from basilspindle.workflow import advice_terms
from basilspindle.workflow import need as need_module

_STREAM = 'op'
_KEY = 'config'
# Shorter than the time within which a new version has to take effect, so that
# a hanging connection is detected within that time.
_READ_WAIT_MS = 1_000
_RETRY_MS = 150


class _Advice(msgspec.Struct):
    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class _Route(msgspec.Struct):
    # A route is a queue of jobs.
    name: str
    host: str
    path_prefix: str
    # Name of the worker pool that runs the jobs.
    service: str = ''
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    timeout_ms: int = 3_000
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    # A service is a pool of workers.
    name: str
    health_path: str = '/health'
    max_conns: int = 64


class _Resources(msgspec.Struct):
    cpu: int = 0
    mem_mb: int = 0
    gpus: int = 0


class _Tenant(msgspec.Struct):
    # A tenant is a workspace.
    name: str
    api_keys: list[str] = []
    # Jobs per second that the workspace may count on when the fleet is full;
    # 0 for no bound.
    weight: float = 0.0
    # Upper limit on the resources in use; 0 for no limit.
    cap: _Resources = msgspec.field(default_factory=_Resources)


class _Limits(msgspec.Struct):
    max_body_bytes: int = 262_144


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class StoreConfigurationSource:
    """Reader of configuration versions that logs and skips invalid ones."""

    __slots__ = (
        '_store',
        '_clock',
        '_next_offset',
        '_version',
        '_store_failing',
    )

    def __init__(
        self, store: store_module.LogStore, clock: clock_module.Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self._next_offset: int | None = None
        self._version = 0
        self._store_failing = False

    async def next_version(self) -> configuration_update.ConfigurationUpdate:
        """Wait for a version newer than the last one returned."""
        while True:
            try:
                raw, transfer_ms = await self._next_record()
            except errors.LogTrimmed:
                self._next_offset = None
                continue
            except errors.LogError as error:
                self._log_store_failure(error)
                await self._clock.sleep_ms(_RETRY_MS)
                continue
            if self._store_failing:
                self._store_failing = False
                events.emit(cell_events.STORE_REGAINED, call='configuration')
            if raw is None:
                continue
            begun_ms = self._clock.now_ms()
            configuration = self._decode(raw)
            if (
                configuration is not None
                and configuration.version > self._version
            ):
                self._version = configuration.version
                return configuration_update.ConfigurationUpdate(
                    configuration,
                    configuration_update.Source.STORE,
                    len(raw),
                    transfer_ms,
                    self._clock.now_ms() - begun_ms,
                )

    async def _next_record(self) -> tuple[bytes | None, int]:
        if self._next_offset is None:
            begun_ms = self._clock.now_ms()
            values, self._next_offset = await self._store.read_latest(_STREAM)
            return values.get(_KEY), self._clock.now_ms() - begun_ms
        chunk = await self._store.read(
            _STREAM, self._next_offset, _READ_WAIT_MS
        )
        if chunk.end < self._next_offset:
            self._next_offset = None
            return None, 0
        self._next_offset += len(chunk.records)
        versions = [raw for key, raw in chunk.records if key == _KEY]
        return versions[-1] if versions else None, chunk.transfer_ms

    def _decode(self, raw: bytes) -> configuration_module.Configuration | None:
        try:
            return _to_configuration(msgspec.json.decode(raw, type=_Config))
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            events.emit(cell_events.CONFIGURATION_UNREADABLE, error=str(error))
            return None

    def _log_store_failure(self, error: errors.BasilspindleError) -> None:
        source = configuration_update.Source.STORE
        metrics.CONFIGURATION_READ_FAILURES.labels(source).inc()
        events.emit(
            cell_events.CONFIGURATION_READ_FAILED,
            source=source,
            version=self._version,
            error=error.message,
        )
        if not self._store_failing:
            self._store_failing = True
            events.emit(
                cell_events.STORE_FAILED,
                call='configuration',
                error=error.message,
            )


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
        configuration_module.RequestLimits(config.limits.max_body_bytes),
    )
