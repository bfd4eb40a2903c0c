"""Name the faults that the stand-in worker can show."""

import msgspec


class WorkerFaults(msgspec.Struct, kw_only=True):
    """Faults in effect; all are off by default.

    ``silent`` is ``old`` (connections opened before it was set never
    answer) or ``all``. ``lose_starts`` and ``late_starts`` count down:
    the answer is lost after the start took effect, or the start takes
    effect ``late_ms`` after its connection was given up. ``refuse`` is
    the kind of a refusal of every start.
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
