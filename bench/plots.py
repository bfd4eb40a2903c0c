"""Plot the simulated runs over time."""

import pathlib

import matplotlib

from bench import run_metrics

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402


def draw(
    path: pathlib.Path, title: str, runs: dict[str, run_metrics.RunMetrics]
) -> None:
    """Plot the used fraction and the waiting tasks into a PNG file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(2, 1, sharex=True, figsize=(8, 6))
    for name, run in runs.items():
        times_s = [now_ms / 1_000 for now_ms, _, _ in run.trace]
        axes[0].plot(times_s, [used for _, used, _ in run.trace], label=name)
        axes[1].plot(times_s, [tasks for _, _, tasks in run.trace])
    axes[0].set_title(title)
    axes[0].set_ylabel('used fraction of the fleet')
    axes[0].legend()
    axes[1].set_ylabel('waiting tasks')
    axes[1].set_xlabel('time in s')
    figure.savefig(path)
    pyplot.close(figure)
