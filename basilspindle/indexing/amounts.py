"""Represent resources as plain tuples in the order of their fields."""

from basilspindle import model

DIMENSIONS = ('cpu_millicores', 'memory_mb', 'accelerators', 'slots')
Amounts = tuple[int, int, int, int]


def from_resources(resources: model.Resources) -> Amounts:
    """Return resources as a tuple, which is faster to compute with."""
    return (
        resources.cpu_millicores,
        resources.memory_mb,
        resources.accelerators,
        resources.slots,
    )


def displaced_tasks(shape: Amounts, amounts: Amounts) -> int:
    """Return how many tasks of a shape may be displaced by another task."""
    return max(
        (
            -(-amount // unit)
            for unit, amount in zip(shape, amounts, strict=True)
            if unit > 0
        ),
        default=0,
    )


def tasks_that_fit(shape: Amounts, free: Amounts) -> int:
    """Return how many tasks of a shape fit the free amounts."""
    return min(
        (
            amount // unit
            for unit, amount in zip(shape, free, strict=True)
            if unit > 0
        ),
        default=0,
    )
