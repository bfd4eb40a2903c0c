"""Report the free capacity of the workers that a daemon holds."""

import msgspec

from basilspindle import model


class Room(msgspec.Struct, frozen=True, array_like=True):
    """The free and total capacity of the workers of a daemon.

    ``workers`` is the number of held workers that accept tasks. ``free`` and
    ``total`` are sums over these workers. ``largest`` and ``largest_total``
    are the largest free and total amount on a single worker, for each
    resource separately.
    """

    workers: int = 0
    free: model.Resources = model.Resources()
    largest: model.Resources = model.Resources()
    total: model.Resources = model.Resources()
    largest_total: model.Resources = model.Resources()
