"""Hold the times that the coordinator depends on."""


class Timing:
    """Times in ms; see docs/design.md, section 3.4."""

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
        """Return the time after which a lost holder's tasks are over.

        A placement may still start until it is too old, its worker lease
        may just have been renewed, and its task lease runs from then; 5%
        covers the drift of clocks.
        """
        total_ms = (
            self.place_max_age_ms + self.worker_lease_ms + self.task_lease_ms
        )
        return total_ms * 105 // 100
