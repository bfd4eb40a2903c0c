"""Explain why a task can never be placed in the fleet."""

import collections.abc

from basilspindle.indexing import amounts as amounts_module
from basilspindle import model

_DIMENSION_NAMES = ('cpu', 'memory', 'accelerators', 'slots')
_DIMENSION_UNITS = (' millicores', ' MB', '', '')


def unschedulable_reason(
    resources: model.Resources,
    totals: collections.abc.Iterable[model.Resources],
) -> str:
    """Return why no worker could hold a task even when empty, else ''.

    ``totals`` are the sizes of the workers. The reason names an amount that
    is short and the size of the largest or the closest worker.
    """
    need = amounts_module.from_resources(resources)
    sizes = [amounts_module.from_resources(total) for total in totals]
    if not sizes:
        return 'no worker is known'
    if any(_fits(need, size) for size in sizes):
        return ''
    largest = [max(column) for column in zip(*sizes, strict=True)]
    for dimension, amount in enumerate(need):
        if amount > largest[dimension]:
            return (
                f'a task needs {_describe(dimension, amount)}, the largest '
                f'worker has {_describe(dimension, largest[dimension])}; '
                'ask for less'
            )
    return _closest_worker_reason(need, sizes)


def _fits(need: amounts_module.Amounts, size: amounts_module.Amounts) -> bool:
    return all(a <= b for a, b in zip(need, size, strict=True))


def _describe(dimension: int, amount: int) -> str:
    return (
        f'{amount}{_DIMENSION_UNITS[dimension]} of '
        f'{_DIMENSION_NAMES[dimension]}'
    )


def _closest_worker_reason(
    need: amounts_module.Amounts, sizes: list[amounts_module.Amounts]
) -> str:
    # Each amount alone fits some worker. The closest worker is the one that is
    # short of the fewest amounts.
    short = [
        [
            dimension
            for dimension in range(len(need))
            if need[dimension] > size[dimension]
        ]
        for size in sizes
    ]
    closest = min(range(len(sizes)), key=lambda index: len(short[index]))
    dimension = short[closest][0]
    return (
        'no single worker has all amounts: the closest lacks '
        f'{_DIMENSION_NAMES[dimension]}, a task needs '
        f'{_describe(dimension, need[dimension])} and it has '
        f'{_describe(dimension, sizes[closest][dimension])}; ask for less'
    )
