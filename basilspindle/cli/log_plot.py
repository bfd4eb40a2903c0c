"""Draw the figures of a report."""

import typing

import matplotlib

from basilspindle.cli import log_report

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

_SIZE_INCHES = (9, 10)


def draw(report: log_report.Report, path: str) -> None:
    """Write a picture; the suffix of the path chooses its format."""
    figure, axes = pyplot.subplots(4, 1, sharex=True, figsize=_SIZE_INCHES)
    times_s = report.times_s
    _stack(axes[0], times_s, report.waiting)
    axes[0].set_ylabel('waiting jobs by queue')
    _stack(axes[1], times_s, report.cores)
    axes[1].set_ylabel('used cores by workspace')
    axes[2].plot(times_s, _used_parts(report))
    axes[2].set_ylim(0, 1.1)
    axes[2].set_ylabel('used part of the fleet')
    _stack(axes[3], times_s, report.refused)
    axes[3].set_ylabel(f'refusals in {report.step_s:g} s')
    axes[3].set_xlabel('time in s; dashed: a leader took over')
    for each in axes:
        for at_s in report.leader_times_s:
            each.axvline(at_s, linestyle='--', linewidth=0.7, color='grey')
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _stack(
    axes: typing.Any, times_s: list[float], series: log_report.Series
) -> None:
    names = sorted(series.names)
    if not names:
        return
    axes.stackplot(
        times_s, [series.of(name) for name in names], labels=names, step='pre'
    )
    axes.legend(loc='upper left', fontsize='x-small')


def _used_parts(report: log_report.Report) -> list[float]:
    return [
        sum(row.values()) / capacity if capacity else 0.0
        for row, capacity in zip(
            report.cores.rows, report.capacity, strict=True
        )
    ]
