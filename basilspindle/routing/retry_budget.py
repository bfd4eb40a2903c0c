"""Limit retries to a fraction of the calls."""

from basilspindle import clock as clock_module

_WINDOW_MS = 10_000
_RETRY_PERCENT = 10
_BASE_RETRIES = 10


class RetryBudget:
    """Allow retries for 10% of the calls plus 10 in each window of 10 s.

    Unlimited retries would multiply the load when owners are already slow.
    """

    __slots__ = ('_clock', '_window_start_ms', '_calls', '_retries')

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._window_start_ms = clock.now_ms()
        self._calls = 0
        self._retries = 0

    def count_call(self) -> None:
        """Count the first attempt of a call."""
        self._reset_after_window()
        self._calls += 1

    def try_acquire(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        self._reset_after_window()
        if (
            self._retries
            >= _BASE_RETRIES + self._calls * _RETRY_PERCENT // 100
        ):
            return False
        self._retries += 1
        return True

    def _reset_after_window(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms - self._window_start_ms >= _WINDOW_MS:
            self._window_start_ms = now_ms
            self._calls = 0
            self._retries = 0
