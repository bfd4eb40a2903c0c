"""Run the benchmark scripts one after the other.

A missed target does not fail the run. A script that fails or does not end
in time is reported as a line of its own, and the next one runs.
"""

import json
import subprocess
import sys

import click

_SCRIPTS = (
    'policy',
    'coordinator',
    'config',
    'configuration',
    'path',
    'journal',
    'fleet',
    'cluster',
    'planner',
)
# These take under a minute together; journal and fleet have no shorter run.
_QUICK_SCRIPTS = ('policy', 'coordinator', 'config', 'path')
_WITH_QUICK_OPTION = (
    'policy',
    'coordinator',
    'configuration',
    'path',
    'planner',
)
# These take minutes otherwise: ten seconds or more for each of twelve cases.
_ALWAYS_QUICK = ('cluster', 'configuration')
_TIMEOUT_S = 280


def _run_script(name: str, quick: bool) -> None:
    command = [sys.executable, '-m', f'bench.{name}']
    if name in _ALWAYS_QUICK or (quick and name in _WITH_QUICK_OPTION):
        command.append('--quick')
    try:
        code = subprocess.run(command, timeout=_TIMEOUT_S).returncode
        reason = f'exit code {code}' if code else ''
    except subprocess.TimeoutExpired:
        reason = f'not ended within {_TIMEOUT_S} s'
    if reason:
        print(json.dumps({'name': f'{name}.error', 'reason': reason}))
        sys.stdout.flush()


@click.command()
@click.option('--quick', is_flag=True, help='One seed, shorter runs.')
def main(quick: bool) -> None:
    """Run the benchmark scripts one after the other."""
    for name in _QUICK_SCRIPTS if quick else _SCRIPTS:
        _run_script(name, quick)


if __name__ == '__main__':
    main()
