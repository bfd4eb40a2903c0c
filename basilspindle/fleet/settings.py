"""Hold the timing and limits of the fleet."""

import msgspec

# Clocks of two machines differ by at most this part of a duration.
CLOCK_DRIFT = 0.05
# Time for the answers of two polls and for a busy event loop.
_POLL_SPARE_MS = 500


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Durations in ms and limits; the defaults are those of one site.

    ``send_ms`` is the time that a start takes to reach its worker: none
    is sent later than that before the lease expires. ``call_ms`` limits
    the wait for the answer of a call. ``remember_ms`` is how long a
    repeated order is answered as before once its attempt is over, and
    ``remember_most`` the number of such answers.
    """

    worker_lease_ms: int = 3_000
    worker_poll_ms: int = 1_000
    task_lease_ms: int = 30_000
    silent_ms: int = 1_000
    call_ms: int = 1_000
    send_ms: int = 50
    retry_ms: int = 250
    retry_max_ms: int = 5_000
    # A planned hand-back takes no longer than this to be noticed.
    held_retry_ms: int = 500
    remember_ms: int = 60_000
    remember_most: int = 20_000
    result_keep_ms: int = 600_000
    hand_back_ms: int = 5_000
    place_tries: int = 3

    def poll_wait_ms(self, lease_ms: int) -> int:
        """Return how long a poll may wait without gaps in a lease.

        The lease counts from the send of the last answered poll, so two
        polls and a send have to fit into it.
        """
        usable_ms = int(lease_ms * (1 - CLOCK_DRIFT))
        fitting_ms = (usable_ms - _POLL_SPARE_MS - self.send_ms) // 2
        return max(0, min(self.worker_poll_ms, fitting_ms))

    @property
    def task_expiry_ms(self) -> int:
        """Return the time after which an unrenewed task has stopped."""
        return int(self.task_lease_ms * (1 + CLOCK_DRIFT))
