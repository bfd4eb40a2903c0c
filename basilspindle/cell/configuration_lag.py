"""Measure how long a daemon has used an outdated configuration."""

from basilspindle.cell import metrics

# A version that is in force sooner is not reported as late.
_REPORT_AFTER_MS = 1_000
_REPORT_INTERVAL_MS = 1_000


class ConfigurationLag:
    """Time since a version newer than the one in force became known.

    ``behind_ms`` is 0 while the newest known version is in force.
    """

    __slots__ = ('behind_ms', '_since_ms', '_reported_ms')

    def __init__(self) -> None:
        self.behind_ms = 0
        self._since_ms: int | None = None
        self._reported_ms = 0

    def observe(self, newest_version: int, version: int, now_ms: int) -> bool:
        """Note the newest known version and the one in force.

        Returns whether the lag is due to be reported.
        """
        if newest_version <= version:
            self._since_ms = None
            self.behind_ms = 0
        elif self._since_ms is None:
            self._since_ms = now_ms
            self._reported_ms = now_ms
        else:
            self.behind_ms = now_ms - self._since_ms
        metrics.CONFIGURATION_BEHIND_SECONDS.set(self.behind_ms / 1000)
        if self.behind_ms < _REPORT_AFTER_MS:
            return False
        if now_ms - self._reported_ms < _REPORT_INTERVAL_MS:
            return False
        self._reported_ms = now_ms
        return True
