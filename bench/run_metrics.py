"""Collect the figures of one simulated run."""

from hdrh import histogram

_LONGEST_MS = 24 * 3_600_000
_LONGEST_NS = 60 * 10**9


def percentile(values: list[int], part: float, longest: int) -> int:
    """Return a percentile out of an HDR histogram, 0 without values."""
    if not values:
        return 0
    counts = histogram.HdrHistogram(1, longest, 3)
    for value in values:
        counts.record_value(max(1, min(value, longest)))
    return counts.get_value_at_percentile(part)


class RunMetrics:
    """Waiting times, packing and shares of one run."""

    __slots__ = (
        'waits_by_priority_ms',
        'waits_by_workspace_ms',
        'packing_ratios',
        'share_errors',
        'overused_worker_ratios',
        'trace',
        'decision_ns',
        'total_decision_ns',
        'starts',
    )

    def __init__(self) -> None:
        self.waits_by_priority_ms: dict[str, list[int]] = {}
        self.waits_by_workspace_ms: dict[tuple[str, str], list[int]] = {}
        self.packing_ratios: list[float] = []
        # Mean distance of competing workspaces, and what they hold together.
        self.share_errors: list[tuple[float, float]] = []
        self.overused_worker_ratios: list[float] = []
        self.trace: list[tuple[int, float, int]] = []
        self.decision_ns: list[int] = []
        self.total_decision_ns = 0
        self.starts = 0

    def record_wait(self, workspace: str, kind: str, waited_ms: int) -> None:
        """Record the waiting time of a task."""
        self.waits_by_priority_ms.setdefault(kind, []).append(waited_ms)
        self.waits_by_workspace_ms.setdefault((workspace, kind), []).append(
            waited_ms
        )

    def table(self) -> dict[str, tuple[float, str]]:
        """Return value and unit of each figure by name."""
        table = {}
        for part, label in ((50, 'p50'), (99, 'p99')):
            spent = percentile(self.decision_ns, part, _LONGEST_NS)
            table[f'decision_{label}_ms'] = (spent / 1e6, 'ms')
            for kind, values in sorted(self.waits_by_priority_ms.items()):
                waited = percentile(values, part, _LONGEST_MS)
                table[f'waiting_{label}_ms.{kind}'] = (waited, 'ms')
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
            waited = percentile(urgent, 99, _LONGEST_MS)
            table['urgent_start_p99_ms'] = (waited, 'ms')
        return table

    def neighbours_p99_ms(self, flooding: str) -> int:
        """Return the urgent waiting p99 of all but one workspace."""
        values = [
            waited_ms
            for (workspace, kind), waits in self.waits_by_workspace_ms.items()
            if kind == 'urgent' and workspace != flooding
            for waited_ms in waits
        ]
        return percentile(values, 99, _LONGEST_MS)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)
