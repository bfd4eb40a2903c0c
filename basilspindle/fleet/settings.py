"""Define the timing and limits of the fleet."""

import msgspec

# Two machines measure the same duration with at most this relative error.
MAX_CLOCK_DRIFT = 0.05
# Covers the answers to two polls and the delays of a busy event loop.
_POLL_MARGIN_MS = 500


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Durations in ms and limits; the defaults suit a single site.

    ``worker_lease_ms`` is the duration of a placement lease, and
    ``task_lease_ms`` the time after which a worker stops a task that is
    not renewed. Event polls wait up to ``worker_poll_ms`` at the worker.
    ``silent_ms`` and ``call_ms`` state the timeouts of the worker clients,
    which are set when a client is created: a poll fails if its answer
    takes ``silent_ms`` longer than the wait, any other call if its answer
    takes ``call_ms``.

    ``send_ms`` is the longest time that a start takes to reach its
    worker. A start is sent only if the lease is valid for that long.

    ``remember_ms`` is how long the answer to an order is kept for
    repetitions of the order once its attempt is over; at most
    ``remember_most`` answers are kept. ``result_keep_ms`` is how long a
    worker keeps a result that is not released.

    ``hand_back_ms`` limits the wait for confirmed reports before a lease
    is returned. ``place_tries`` is the number of workers on which a
    start is tried. Failed calls to a worker are repeated after
    ``retry_ms``, doubling up to ``retry_max_ms``.
    """

    worker_lease_ms: int = 3_000
    worker_poll_ms: int = 1_000
    task_lease_ms: int = 30_000
    silent_ms: int = 1_000
    call_ms: int = 1_000
    send_ms: int = 50
    retry_ms: int = 250
    retry_max_ms: int = 5_000
    # Longest wait before a lease that another daemon holds is requested
    # again; bounds the delay after a planned hand-back.
    held_retry_ms: int = 500
    remember_ms: int = 60_000
    remember_most: int = 20_000
    result_keep_ms: int = 600_000
    hand_back_ms: int = 5_000
    place_tries: int = 3

    def poll_wait_ms(self, lease_ms: int) -> int:
        """Return how long a poll may wait without risking the lease.

        A lease is counted from the time at which the last answered poll
        was sent, so two polls and the send of a start must fit into it.
        """
        usable_ms = int(lease_ms * (1 - MAX_CLOCK_DRIFT))
        fitting_ms = (usable_ms - _POLL_MARGIN_MS - self.send_ms) // 2
        return max(0, min(self.worker_poll_ms, fitting_ms))

    @property
    def task_expiry_ms(self) -> int:
        """Return how long a task may run on after its last renewal was sent.

        A worker accepts a late poll or start for as long as the placement
        lease lasts, and the task lease runs from then.
        """
        total_ms = self.worker_lease_ms + self.task_lease_ms
        return int(total_ms * (1 + MAX_CLOCK_DRIFT))
