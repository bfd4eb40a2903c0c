"""Measure the validation and the size of configurations.

Prints one JSON object a line. The baseline of a time is one pass of
msgspec that stops at the first fault; that of a size is the documents
without compression.
"""

import hashlib
import json
import random
import statistics
import time
import typing

from basilspindle import config

_SEED = 1
_WORKSPACES = (6, 60, 270)
_KEYS_PER_WORKSPACE = 2
_REPEATS = 15
_RESOURCES = {'cpu_millicores': 500, 'memory_mb': 1024}


def make_base(workspaces: int, seed: int) -> bytes:
    """Return a base with a number of workspaces and two keys for each."""
    rng = random.Random(seed)
    kinds = [f'kind-{index}' for index in range(max(5, workspaces // 5))]
    value = {
        'cell': 'bench',
        'regions': ['r1', 'r2'],
        'overlay_may_set': ['/workspaces/*/limit', '/workers/drained'],
        'workspaces': {},
        'keys': {'ops': {'role': 'operator', 'sha256': _hash('ops')}},
        'queues': {'default': {'open': False}},
        'kinds': {kind: _make_kind(rng) for kind in kinds},
    }
    for index in range(workspaces):
        name = f'workspace-{index}'
        value['workspaces'][name] = {
            'share': rng.randint(1, 9),
            'limit': {'tasks': rng.randint(10, 500)},
            'kinds': rng.sample(kinds, 4),
            'max_queued_tasks': 10_000,
        }
        for number in range(_KEYS_PER_WORKSPACE):
            key_id = f'{name}-{number}'
            value['keys'][key_id] = {
                'role': 'caller',
                'workspace': name,
                'sha256': _hash(key_id),
            }
    return json.dumps(value, indent=2).encode()


def measure(workspaces: int, seed: int) -> None:
    """Print the figures of one size."""
    base = make_base(workspaces, seed)
    overlay = b'{"workers": {"drained": ["worker-1"]}}'
    publication = config.Publication(
        version=7,
        from_version=6,
        from_offset=9,
        author='ops',
        wall_ms=0,
        base=base,
        overlay=overlay,
    )
    record = config.encode(publication)
    read_ms = _time_ms(lambda: config.read_accepted(base, overlay))
    checks = {
        'config_validate': lambda: config.validate(base, overlay),
        'config_decode': lambda: config.decode(record),
        'config_digest': publication.digest,
    }
    for name, call in checks.items():
        _print(name, _time_ms(call), 'ms', read_ms, seed, workspaces)
    plain = len(base) + len(overlay)
    _print('config_publication', len(record), 'bytes', plain, seed, workspaces)


def _make_kind(rng: random.Random) -> dict[str, typing.Any]:
    return {
        'priority': rng.choice(['urgent', 'service', 'batch']),
        'resources': _RESOURCES,
        'run_time_ms': rng.randint(100, 1_000_000),
        'idempotent': True,
    }


def _hash(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _time_ms(call: typing.Callable[[], typing.Any]) -> float:
    times = []
    for _ in range(_REPEATS):
        start_ns = time.perf_counter_ns()
        call()
        times.append((time.perf_counter_ns() - start_ns) / 1e6)
    return statistics.median(times)


def _print(
    name: str,
    value: float,
    unit: str,
    baseline: float,
    seed: int,
    size: int,
) -> None:
    line = {
        'name': name,
        'value': round(value, 3),
        'unit': unit,
        'baseline': round(baseline, 3),
        'ratio': round(value / baseline, 3),
        'seed': seed,
        'size': size,
    }
    print(json.dumps(line))


def main() -> None:
    """Measure every size."""
    for workspaces in _WORKSPACES:
        measure(workspaces, _SEED)


if __name__ == '__main__':
    main()
