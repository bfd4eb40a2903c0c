"""Reports of workers on their runs."""

import enum

import msgspec

from basilspindle import decoding


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    PARTNER_ENDED = 'partner_ended'
    PARTNER_MISSING = 'partner_missing'


class ActiveRun(msgspec.Struct, frozen=True):
    """Active run on a worker.

    ``percent`` is its progress. ``load`` is the response time of a service in
    ms, or the CPU usage of any other task.
    """

    name: str
    run: int
    checkpoint: str
    percent: int
    load: int


class RunEnd(msgspec.Struct, frozen=True):
    """Ended run; ``number`` increases until the worker restarts."""

    number: decoding.Count
    name: str
    run: decoding.Count
    kind: EndKind
    checkpoint: str


class Report(msgspec.Struct, frozen=True):
    """Response of a worker to a lease renewal.

    ``clock_ms`` is the clock of the worker, ``born_wall_ms`` its start time,
    which changes with a restart. ``is_full`` is false if more ends follow.
    """

    clock_ms: int
    born_wall_ms: int
    running: tuple[ActiveRun, ...]
    ends: tuple[RunEnd, ...]
    is_full: bool = True
