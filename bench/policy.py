"""Compare the scheduling policy with two baselines by simulation."""

import json
import pathlib
import random
import sys

import click

from bench import plots
from bench import run_metrics
from bench import scenarios
from bench import schedulers
from bench import simulation

SCENARIOS = {
    'site_a': scenarios.site_a,
    'site_b': scenarios.site_b,
    'two_years': scenarios.two_years,
}
_SCHEDULERS = (
    schedulers.PolicyScheduler,
    schedulers.FirstFit,
    schedulers.TwoChoices,
)
_FLOODING_WORKSPACE = 'workspace-0'
REPORTS = pathlib.Path(__file__).resolve().parent / 'reports'


def measure(name: str, seed: int, quick: bool, scheduler, **scenario_options):
    """Simulate one scenario with one scheduler; return the metrics."""
    scenario = SCENARIOS[name](seed, quick, **scenario_options)
    run = simulation.Simulation(
        scenario, scheduler(scenario, random.Random(seed))
    )
    return run.run()


def _measure_table(name, seed, quick, scheduler):
    metrics = measure(name, seed, quick, scheduler)
    table = metrics.table()
    if name == 'site_b':
        without_flood = measure(name, seed, quick, scheduler, flood=False)
        before_ms = max(
            1, without_flood.other_workspaces_p99_ms(_FLOODING_WORKSPACE)
        )
        after_ms = max(1, metrics.other_workspaces_p99_ms(_FLOODING_WORKSPACE))
        ratio = after_ms / before_ms
        table['flood_neighbour_p99_ms'] = (after_ms, 'ms')
        table['flood_neighbour_p99_ratio'] = (ratio, 'ratio')
    return table, metrics


def lines(name: str, seed: int, tables: dict) -> list[dict]:
    """Return one output line for each metric and baseline."""
    policy_table = tables['core']
    output_lines = []
    for metric, (value, unit) in policy_table.items():
        for baseline_name in ('first_fit', 'two_choices'):
            baseline = tables[baseline_name].get(metric, (0.0, unit))[0]
            output_lines.append(
                {
                    'name': metric,
                    'value': round(value, 4),
                    'unit': unit,
                    'baseline': round(baseline, 4),
                    'ratio': round(value / baseline, 4) if baseline else None,
                    'seed': seed,
                    'size': name,
                    'against': baseline_name,
                }
            )
    return output_lines


@click.command()
@click.option('--quick', is_flag=True, help='One seed, shorter runs.')
@click.option('--seeds', default=3, help='Number of seeds.')
@click.option('--size', 'sizes', multiple=True, help='Only these sizes.')
def main(quick: bool, seeds: int, sizes: tuple[str, ...]) -> None:
    """Print one JSON object a line for each metric, baseline and seed."""
    for name in sizes or SCENARIOS:
        for seed in range(1, 2 if quick else seeds + 1):
            tables: dict[str, dict] = {}
            runs: dict[str, run_metrics.RunMetrics] = {}
            for scheduler in _SCHEDULERS:
                tables[scheduler.name], runs[scheduler.name] = _measure_table(
                    name, seed, quick, scheduler
                )
            for line in lines(name, seed, tables):
                print(json.dumps(line))
            sys.stdout.flush()
            plots.draw(REPORTS / f'policy-{name}-{seed}.png', name, runs)


if __name__ == '__main__':
    main()
