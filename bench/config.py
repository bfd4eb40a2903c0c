"""Measure the validation and the encoded size of configurations.

Prints one JSON object a line. The baseline of a time is that of decoding
the documents with msgspec, which stops at the first error; the baseline of
a size is the size of the uncompressed documents.
"""

import hashlib
import json
import random
import statistics
import time
import typing

from basilspindle import config

_SEED = 1
_WORKSPACE_COUNTS = (6, 60, 270)
_KEYS_PER_WORKSPACE = 2
_REPETITIONS = 15
_KIND_RESOURCES = {'cpu_millicores': 500, 'memory_mb': 1024}


def make_base(workspaces: int, seed: int) -> bytes:
    """Return a base document with two API keys for each workspace."""
    rng = random.Random(seed)
    kinds = [f'kind-{index}' for index in range(max(5, workspaces // 5))]
    document = {
        'cell': 'bench',
        'regions': ['r1', 'r2'],
        'overlay_may_set': ['/workspaces/*/limit', '/workers/drained'],
        'workspaces': {},
        'keys': {'ops': {'role': 'operator', 'sha256': _sha256('ops')}},
        'queues': {'default': {'open': False}},
        'kinds': {kind: _make_kind(rng) for kind in kinds},
    }
    for index in range(workspaces):
        name = f'workspace-{index}'
        document['workspaces'][name] = {
            'share': rng.randint(1, 9),
            'limit': {'tasks': rng.randint(10, 500)},
            'kinds': rng.sample(kinds, 4),
            'max_queued_tasks': 10_000,
        }
        for number in range(_KEYS_PER_WORKSPACE):
            key_id = f'{name}-{number}'
            document['keys'][key_id] = {
                'role': 'caller',
                'workspace': name,
                'sha256': _sha256(key_id),
            }
    return json.dumps(document, indent=2).encode()


def measure(workspaces: int, seed: int) -> None:
    """Print the results for a number of workspaces."""
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
    baseline_ms = _median_time_ms(lambda: config.read_accepted(base, overlay))
    calls = {
        'config_validate': lambda: config.validate(base, overlay),
        'config_decode': lambda: config.decode(record),
        'config_digest': publication.digest,
    }
    for name, call in calls.items():
        _print_result(
            name, _median_time_ms(call), 'ms', baseline_ms, seed, workspaces
        )
    uncompressed = len(base) + len(overlay)
    _print_result(
        'config_publication',
        len(record),
        'bytes',
        uncompressed,
        seed,
        workspaces,
    )


def _make_kind(rng: random.Random) -> dict[str, typing.Any]:
    return {
        'priority': rng.choice(['urgent', 'service', 'batch']),
        'resources': _KIND_RESOURCES,
        'run_time_ms': rng.randint(100, 1_000_000),
        'idempotent': True,
    }


def _sha256(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()


def _median_time_ms(call: typing.Callable[[], typing.Any]) -> float:
    times_ms = []
    for _ in range(_REPETITIONS):
        start_ns = time.perf_counter_ns()
        call()
        times_ms.append((time.perf_counter_ns() - start_ns) / 1e6)
    return statistics.median(times_ms)


def _print_result(
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
    """Measure configurations of each number of workspaces."""
    for workspaces in _WORKSPACE_COUNTS:
        measure(workspaces, _SEED)


if __name__ == '__main__':
    main()
