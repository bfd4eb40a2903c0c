"""Outcomes of start orders."""

import enum
import typing


class StartOutcome(enum.Enum):
    """Result of a start order at a worker."""

    RUNS = 'runs'
    FENCED = 'fenced'
    RUN_TOO_LOW = 'run_too_low'
    DEADLINE_PASSED = 'deadline_passed'
    NO_ROOM = 'no_room'
    TICKET_REFUSED = 'ticket_refused'
    UNHEALTHY = 'unhealthy'
    WORKER_REPLACED = 'other_life'
    NOT_SENT = 'not_sent'
    UNKNOWN = 'unknown'
    INVALID = 'invalid'


class StartAnswer(typing.NamedTuple):
    """Outcome of a start order, and the clock of the worker if it told it."""

    outcome: StartOutcome
    clock_ms: int | None = None
