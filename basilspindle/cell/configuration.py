"""Describe the configuration in force."""

import msgspec

from basilspindle.workflow import advice_terms
from basilspindle.workflow import need as need_module


class QueueConfig(msgspec.Struct, frozen=True):
    """Rules of one queue; ``host`` and ``prefix`` select it."""

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
    """Keys, share and upper limit of a workspace; limit 0 is none.

    ``share_jobs_s`` are the jobs a second that the workspace may count on
    when the fleet is full; 0 is no bound.
    """

    name: str
    keys: tuple[str, ...]
    share_jobs_s: float
    limit: need_module.Need


class PoolConfig(msgspec.Struct, frozen=True):
    """Rules of one pool of workers."""

    name: str
    health_path: str
    max_connections: int


class RequestLimits(msgspec.Struct, frozen=True):
    """Bounds on requests of callers."""

    max_body_bytes: int = 262_144


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    version: int
    queues: tuple[QueueConfig, ...]
    workspaces: tuple[WorkspaceConfig, ...]
    pools: tuple[PoolConfig, ...]
    limits: RequestLimits
