"""Describe the answer to an event poll."""

import msgspec

from basilspindle import decoding
from basilspindle.fleet import amounts
from basilspindle.fleet import worker_event


class EventPage(msgspec.Struct, frozen=True, kw_only=True):
    """Task ends with a number above ``after`` of the poll.

    ``next`` is the ``after`` of the next poll. ``usage`` holds the
    resources that running tasks use, by task id; the values may be
    outdated. ``next`` is 0 if it is not known. A page that is not
    ``complete`` had ends that could not be read.
    """

    incarnation: str
    epoch: decoding.Count
    next: decoding.Count
    events: list[worker_event.WorkerEvent] = []
    usage: dict[str, amounts.Amounts] = {}
    complete: bool = True
