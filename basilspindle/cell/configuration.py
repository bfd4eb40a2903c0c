"""Configuration of queues, workspaces and pools."""

import msgspec

from basilspindle.workflow import advice_terms
from basilspindle.workflow import need as need_module


class QueueConfig(msgspec.Struct, frozen=True):
    """Configuration of a queue, selected by ``host`` and path ``prefix``."""

    name: str
    host: str
    prefix: str
    pool: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    timeout_ms: int
    is_open: bool
    advice: advice_terms.AdviceTerms | None


class WorkspaceConfig(msgspec.Struct, frozen=True):
    """API keys, share and resource limit of a workspace.

    Amounts of 0 in ``limit`` are unlimited. ``share_jobs_s`` is the rate of
    jobs that the workspace can rely on when the fleet is full, in jobs per
    second; 0 means no bound.
    """

    name: str
    keys: tuple[str, ...]
    share_jobs_s: float
    limit: need_module.Need


class PoolConfig(msgspec.Struct, frozen=True):
    """Configuration of a worker pool."""

    name: str
    health_path: str
    max_connections: int


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on the requests of callers, 0 for those that are not set."""

    max_body_bytes: int = 262_144
    max_header_bytes: int = 0
    header_timeout_ms: int = 0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    version: int
    queues: tuple[QueueConfig, ...]
    workspaces: tuple[WorkspaceConfig, ...]
    pools: tuple[PoolConfig, ...]
    limits: RequestLimits
