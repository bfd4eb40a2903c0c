"""Advertise the free capacity that a daemon holds."""

import msgspec

from basilspindle import model


class Room(msgspec.Struct, frozen=True, array_like=True):
    """Free totals, and the largest free amounts on any one worker.

    ``workers`` is the number of workers held that take new work;
    ``largest`` takes each amount from the worker where it is largest;
    ``largest_total`` does so for the sizes of the workers.
    """

    workers: int = 0
    free: model.Resources = model.Resources()
    largest: model.Resources = model.Resources()
    total: model.Resources = model.Resources()
    largest_total: model.Resources = model.Resources()
