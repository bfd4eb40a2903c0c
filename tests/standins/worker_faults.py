"""Define the faults that the stand-in worker can inject."""

import msgspec


class WorkerFaults(msgspec.Struct, kw_only=True):
    """Active faults; a count is the number of requests it still affects.

    ``fail_all`` fails every task. ``silent`` stops answers, with 'old' on
    the connections used before it was set and with 'all' on all.
    ``slow_ms`` delays every request.

    ``lose_starts`` starts and ``lose_leases`` lease requests take effect,
    but their answers are lost. ``late_starts`` starts are never answered
    and take effect ``late_ms`` after their arrival.

    ``usage_delay_ms`` is the run time after which usage is reported.
    ``refuse`` is the error kind that every start is refused with, and
    ``down`` refuses in-process connections.
    """

    fail_all: bool = False
    silent: str = ''
    slow_ms: int = 0
    lose_starts: int = 0
    late_starts: int = 0
    late_ms: int = 5_000
    lose_leases: int = 0
    usage_delay_ms: int = 0
    refuse: str = ''
    down: bool = False
