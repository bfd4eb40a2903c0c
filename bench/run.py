"""Run every benchmark script; a missed figure never fails the run."""

import json
import subprocess
import sys

import click

_SCRIPTS = (
    'policy',
    'coordinator',
    'config',
    'path',
    'journal',
    'fleet',
    'cluster',
)
# The others have no shorter form; together these take under a minute.
_QUICK = ('policy', 'coordinator', 'config', 'path')
_SHORTER = ('policy', 'coordinator', 'path')
# Ten seconds for each of twelve settings would take two minutes.
_ALWAYS_SHORT = ('cluster',)
_TIMEOUT_S = 280


def _run(name: str, quick: bool) -> None:
    command = [sys.executable, '-m', f'bench.{name}']
    if name in _ALWAYS_SHORT or (quick and name in _SHORTER):
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
    """Run the scripts one after the other."""
    for name in _QUICK if quick else _SCRIPTS:
        _run(name, quick)


if __name__ == '__main__':
    main()
