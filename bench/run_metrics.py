"""Collect the metrics of one simulated run."""

from hdrh import histogram

_MAX_WAIT_MS = 24 * 3_600_000
_MAX_DECISION_NS = 60 * 10**9


def percentile(values: list[int], percent: float, max_value: int) -> int:
    """Return a percentile from an HDR histogram, 0 without values.

    Values above ``max_value`` are counted as ``max_value``.
    """
    if not values:
        return 0
    counts = histogram.HdrHistogram(1, max_value, 3)
    for value in values:
        counts.record_value(max(1, min(value, max_value)))
    return counts.get_value_at_percentile(percent)


class RunMetrics:
    """Waiting times, packing, share errors and decision times of a run."""

    __slots__ = (
        'waits_by_priority_ms',
        'waits_by_workspace_ms',
        'packing_ratios',
        'share_errors',
        'overused_worker_ratios',
        'trace',
        'decision_times_ns',
        'total_decision_ns',
        'starts',
    )

    def __init__(self) -> None:
        self.waits_by_priority_ms: dict[str, list[int]] = {}
        self.waits_by_workspace_ms: dict[tuple[str, str], list[int]] = {}
        # Used fraction of the most used resource, sampled while tasks wait.
        self.packing_ratios: list[float] = []
        # For each sample and priority: the mean distance of the competing
        # workspaces from their weighted shares, and the sum of the shares
        # that they hold.
        self.share_errors: list[tuple[float, float]] = []
        # Fraction of workers whose tasks use more memory than there is.
        self.overused_worker_ratios: list[float] = []
        # Time in ms, used fraction of the most used resource, and number of
        # waiting tasks.
        self.trace: list[tuple[int, float, int]] = []
        self.decision_times_ns: list[int] = []
        self.total_decision_ns = 0
        self.starts = 0

    def record_wait(
        self, workspace: str, priority: str, waited_ms: int
    ) -> None:
        """Record the waiting time of a task."""
        self.waits_by_priority_ms.setdefault(priority, []).append(waited_ms)
        self.waits_by_workspace_ms.setdefault(
            (workspace, priority), []
        ).append(waited_ms)

    def table(self) -> dict[str, tuple[float, str]]:
        """Return the value and the unit of each metric by name."""
        table = {}
        for percent, label in ((50, 'p50'), (99, 'p99')):
            spent_ns = percentile(
                self.decision_times_ns, percent, _MAX_DECISION_NS
            )
            table[f'decision_{label}_ms'] = (spent_ns / 1e6, 'ms')
            for priority, values in sorted(self.waits_by_priority_ms.items()):
                waited_ms = percentile(values, percent, _MAX_WAIT_MS)
                table[f'waiting_{label}_ms.{priority}'] = (waited_ms, 'ms')
        if self.total_decision_ns:
            rate = self.starts * 1e9 / self.total_decision_ns
            table['decisions_per_s'] = (rate, '1/s')
        if self.packing_ratios:
            table['packing_ratio'] = (_mean(self.packing_ratios), 'ratio')
        held = sum(held for _, held in self.share_errors)
        if held:
            error = sum(error for error, _ in self.share_errors)
            table['share_error'] = (error / held, 'ratio')
        if self.overused_worker_ratios:
            table['memory_overuse_ratio'] = (
                _mean(self.overused_worker_ratios),
                'ratio',
            )
        urgent = self.waits_by_priority_ms.get('urgent')
        if urgent:
            waited_ms = percentile(urgent, 99, _MAX_WAIT_MS)
            table['urgent_start_p99_ms'] = (waited_ms, 'ms')
        return table

    def other_workspaces_p99_ms(self, flooding_workspace: str) -> int:
        """Return the p99 wait of the urgent tasks of all other workspaces."""
        values = [
            waited_ms
            for (name, priority), waits in self.waits_by_workspace_ms.items()
            if priority == 'urgent' and name != flooding_workspace
            for waited_ms in waits
        ]
        return percentile(values, 99, _MAX_WAIT_MS)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)
