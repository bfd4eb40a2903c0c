"""Carry the answer to an event poll."""

import msgspec

from basilspindle.fleet import amounts
from basilspindle.fleet import worker_event


class EventPage(msgspec.Struct, frozen=True, kw_only=True):
    """Ends above the given number; ``next`` is the next ``after``.

    ``usage`` is what running tasks use, by task id; it lags behind.
    """

    incarnation: str
    epoch: int
    next: int
    events: list[worker_event.WorkerEvent] = []
    usage: dict[str, amounts.Amounts] = {}
