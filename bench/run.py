"""Run every benchmark script; a missed figure never fails the run."""

import importlib.util
import json
import subprocess
import sys

import click

_SCRIPTS = (
    'policy',
    'coordinator',
    'journal',
    'fleet',
    'config',
    'cluster',
    'path',
)
_TIMEOUT_S = 280


def _run(name: str, quick: bool) -> None:
    command = [sys.executable, '-m', f'bench.{name}']
    if quick:
        command.append('--quick')
    try:
        code = subprocess.run(command, timeout=_TIMEOUT_S).returncode
        reason = f'exit code {code}' if code else ''
    except subprocess.TimeoutExpired:
        reason = f'no end within {_TIMEOUT_S} s'
    if reason:
        print(json.dumps({'name': f'{name}.error', 'reason': reason}))
        sys.stdout.flush()


@click.command()
@click.option('--quick', is_flag=True, help='One seed, shorter runs.')
def main(quick: bool) -> None:
    """Run the scripts that exist, one after the other."""
    for name in _SCRIPTS:
        if importlib.util.find_spec(f'bench.{name}') is not None:
            _run(name, quick)


if __name__ == '__main__':
    main()
