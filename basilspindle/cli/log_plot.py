"""Plot a report."""

import typing

import matplotlib

from basilspindle.cli import log_report

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

_SIZE_INCHES = (9, 10)


def draw(report: log_report.Report, path: str) -> None:
    """Write the plots to an image file whose suffix selects the format."""
    figure, axes = pyplot.subplots(4, 1, sharex=True, figsize=_SIZE_INCHES)
    step_ends_s = report.step_ends_s
    _plot_stacked(axes[0], step_ends_s, report.waiting_jobs)
    axes[0].set_ylabel('waiting jobs by queue')
    _plot_stacked(axes[1], step_ends_s, report.used_cores)
    axes[1].set_ylabel('used cores by workspace')
    axes[2].plot(step_ends_s, _utilization(report))
    axes[2].set_ylim(0, 1.1)
    axes[2].set_ylabel('fraction of cores used')
    _plot_stacked(axes[3], step_ends_s, report.refusals)
    axes[3].set_ylabel(f'refusals per {report.step_s:g} s')
    axes[3].set_xlabel('time in s; dashed: a leader became ready')
    for subplot in axes:
        for time_s in report.leader_ready_s:
            subplot.axvline(
                time_s, linestyle='--', linewidth=0.7, color='grey'
            )
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _plot_stacked(
    axes: typing.Any, step_ends_s: list[float], series: log_report.Series
) -> None:
    names = sorted(series.names)
    if not names:
        return
    axes.stackplot(
        step_ends_s,
        [series.values_of(name) for name in names],
        labels=names,
        step='pre',
    )
    axes.legend(loc='upper left', fontsize='x-small')


def _utilization(report: log_report.Report) -> list[float]:
    return [
        sum(row.values()) / capacity if capacity else 0.0
        for row, capacity in zip(
            report.used_cores.rows, report.capacity_cores, strict=True
        )
    ]
