"""Describe what a worker says of its runs."""

import enum

import msgspec


class EndKind(enum.StrEnum):
    """Name how a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    PARTNER_ENDED = 'partner_ended'
    PARTNER_MISSING = 'partner_missing'


class ActiveRun(msgspec.Struct, frozen=True):
    """One run that a worker has; ``percent`` is its progress."""

    name: str
    run: int
    checkpoint: str
    percent: int
    load: int


class RunEnd(msgspec.Struct, frozen=True):
    """One ended run; numbers rise within one life of the worker."""

    number: int
    name: str
    run: int
    kind: EndKind
    checkpoint: str


class Report(msgspec.Struct, frozen=True):
    """Answer of a worker to a renewal of its lease.

    ``clock_ms`` is the worker's own clock; ``born_wall_ms`` tells one life
    from the next. ``is_full`` is false where more ends are to come.
    """

    clock_ms: int
    born_wall_ms: int
    running: tuple[ActiveRun, ...]
    ends: tuple[RunEnd, ...]
    is_full: bool = True
