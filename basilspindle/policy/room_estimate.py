"""Estimate how many tasks fit the room that a member advertises."""

from basilspindle.indexing import amounts as amounts_module
from basilspindle import model
from basilspindle.peer.messages import room as room_module


def max_tasks_in(resources: model.Resources, room: room_module.Room) -> int:
    """Return an upper bound on the number of tasks that fit.

    The bound is the lower of two: what the free totals suffice for, and what
    the largest free amounts of any worker suffice for, times the number of
    workers. Fewer tasks may fit, since the room is split among workers.
    """
    if not resources.fits(room.largest):
        return 0
    shape = amounts_module.from_resources(resources)
    in_total = amounts_module.tasks_that_fit(
        shape, amounts_module.from_resources(room.free)
    )
    largest = amounts_module.from_resources(room.largest)
    in_largest = amounts_module.tasks_that_fit(shape, largest)
    return min(in_total, in_largest * room.workers)
