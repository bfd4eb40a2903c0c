"""Define the lease times and timeouts of the coordinator."""


class Timing:
    """Leases, timeouts and retention; see docs/design.md, section 3.4.

    ``hold_ms`` is how long a holder keeps capacity that is not committed.
    ``place_max_age_ms`` is the age up to which a holder accepts a placement
    request. ``result_keep_ms`` is how long an ended durable job is kept.
    """

    __slots__ = (
        'worker_lease_ms',
        'task_lease_ms',
        'hold_ms',
        'place_max_age_ms',
        'result_keep_ms',
    )

    def __init__(
        self,
        *,
        worker_lease_ms: int = 3_000,
        task_lease_ms: int = 30_000,
        hold_ms: int = 2_000,
        place_max_age_ms: int = 3_000,
        result_keep_ms: int = 900_000,
    ) -> None:
        self.worker_lease_ms = worker_lease_ms
        self.task_lease_ms = task_lease_ms
        self.hold_ms = hold_ms
        self.place_max_age_ms = place_max_age_ms
        self.result_keep_ms = result_keep_ms

    @property
    def lost_after_ms(self) -> int:
        """Return the time after which a lost holder's tasks have ended.

        A placement request may still start a task until it is too old. The
        worker lease may have been renewed just before, and the task lease
        runs from then. 5% is added for clock drift.
        """
        total_ms = (
            self.place_max_age_ms + self.worker_lease_ms + self.task_lease_ms
        )
        return total_ms * 105 // 100
