"""Handle resources as plain tuples in the order of their fields."""

from basilspindle import model

DIMENSIONS = ('cpu_millicores', 'memory_mb', 'accelerators', 'slots')
Amounts = tuple[int, int, int, int]


def from_resources(resources: model.Resources) -> Amounts:
    """Return the four amounts; tuples are faster than attributes."""
    return (
        resources.cpu_millicores,
        resources.memory_mb,
        resources.accelerators,
        resources.slots,
    )


def displaces(shape: Amounts, other: Amounts) -> int:
    """Return how many tasks of a shape another task may take the room of."""
    return max(
        (
            -(-amount // unit)
            for unit, amount in zip(shape, other, strict=True)
            if unit > 0
        ),
        default=0,
    )


def multiple(shape: Amounts, room: Amounts) -> int:
    """Return how many tasks of a shape the amounts suffice for."""
    return min(
        (
            amount // unit
            for unit, amount in zip(shape, room, strict=True)
            if unit > 0
        ),
        default=0,
    )
