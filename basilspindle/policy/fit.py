"""Tell whether work can ever fit the fleet."""

import collections.abc

from basilspindle import model
from basilspindle.policy import amounts as amounts_module

_NAMES = ('cpu', 'memory', 'accelerators', 'slots')
_UNITS = (' millicores', ' MB', '', '')


def unschedulable_reason(
    resources: model.Resources,
    totals: collections.abc.Iterable[model.Resources],
) -> str:
    """Return '' if an empty worker could hold a task, else the reason.

    The reason names the amount and the largest worker.
    """
    need = amounts_module.from_resources(resources)
    sizes = [amounts_module.from_resources(total) for total in totals]
    if not sizes:
        return 'no worker is known'
    if any(_fits(need, size) for size in sizes):
        return ''
    largest = [max(column) for column in zip(*sizes, strict=True)]
    for place, amount in enumerate(need):
        if amount > largest[place]:
            return (
                f'a task needs {_text(place, amount)}, the largest worker '
                f'has {_text(place, largest[place])}; ask for less'
            )
    return _combined(need, sizes)


def _fits(need: amounts_module.Amounts, size: amounts_module.Amounts) -> bool:
    return all(a <= b for a, b in zip(need, size, strict=True))


def _text(place: int, amount: int) -> str:
    return f'{amount}{_UNITS[place]} of {_NAMES[place]}'


def _combined(
    need: amounts_module.Amounts, sizes: list[amounts_module.Amounts]
) -> str:
    # Each amount fits some worker; the one with the fewest short is named.
    short = [
        [place for place in range(len(need)) if need[place] > size[place]]
        for size in sizes
    ]
    best = min(range(len(sizes)), key=lambda index: len(short[index]))
    place = short[best][0]
    return (
        'no single worker has all amounts: the closest lacks '
        f'{_NAMES[place]}, a task needs {_text(place, need[place])} and it '
        f'has {_text(place, sizes[best][place])}; ask for less'
    )
