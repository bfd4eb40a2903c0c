"""Measure the decision core against two baselines."""

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

SITES = {
    'site_a': scenarios.site_a,
    'site_b': scenarios.site_b,
    'two_years': scenarios.two_years,
}
_SCHEDULERS = (
    schedulers.PolicyScheduler,
    schedulers.FirstFit,
    schedulers.TwoChoices,
)
_FLOODING = 'workspace-0'
REPORTS = pathlib.Path(__file__).resolve().parent / 'reports'


def measure(name: str, seed: int, quick: bool, scheduler, **site_options):
    """Run one scheduler over one site; return the figures."""
    site = SITES[name](seed, quick, **site_options)
    run = simulation.Simulation(site, scheduler(site, random.Random(seed)))
    return run.run()


def _table(name, seed, quick, scheduler):
    run = measure(name, seed, quick, scheduler)
    table = run.table()
    if name == 'site_b':
        calm = measure(name, seed, quick, scheduler, flood=False)
        before_ms = max(1, calm.neighbours_p99_ms(_FLOODING))
        after_ms = max(1, run.neighbours_p99_ms(_FLOODING))
        ratio = after_ms / before_ms
        table['flood_neighbour_p99_ms'] = (after_ms, 'ms')
        table['flood_neighbour_p99_ratio'] = (ratio, 'ratio')
    return table, run


def lines(name: str, seed: int, tables: dict) -> list[dict]:
    """Return one line for each figure and baseline."""
    core = tables['core']
    found = []
    for figure, (value, unit) in core.items():
        for other in ('first_fit', 'two_choices'):
            baseline = tables[other].get(figure, (0.0, unit))[0]
            found.append(
                {
                    'name': figure,
                    'value': round(value, 4),
                    'unit': unit,
                    'baseline': round(baseline, 4),
                    'ratio': round(value / baseline, 4) if baseline else None,
                    'seed': seed,
                    'size': name,
                    'against': other,
                }
            )
    return found


@click.command()
@click.option('--quick', is_flag=True, help='One seed, shorter runs.')
@click.option('--seeds', default=3, help='Number of seeds.')
@click.option('--size', 'sizes', multiple=True, help='Only these sizes.')
def main(quick: bool, seeds: int, sizes: tuple[str, ...]) -> None:
    """Print one JSON object a line for each figure, baseline and seed."""
    for name in sizes or SITES:
        for seed in range(1, 2 if quick else seeds + 1):
            tables: dict[str, dict] = {}
            runs: dict[str, run_metrics.RunMetrics] = {}
            for scheduler in _SCHEDULERS:
                tables[scheduler.name], runs[scheduler.name] = _table(
                    name, seed, quick, scheduler
                )
            for line in lines(name, seed, tables):
                print(json.dumps(line))
            sys.stdout.flush()
            plots.draw(REPORTS / f'policy-{name}-{seed}.png', name, runs)


if __name__ == '__main__':
    main()
