"""Estimate how many tasks advertised room suffices for."""

from basilspindle import model
from basilspindle.peer.messages import room as room_module
from basilspindle.policy import amounts as amounts_module


def max_tasks_in(resources: model.Resources, room: room_module.Room) -> int:
    """Return the most tasks that may fit; the workers may hold fewer.

    Bounded by the free totals, and by as many times the largest free
    amounts as there are workers.
    """
    if not resources.fits(room.largest):
        return 0
    shape = amounts_module.from_resources(resources)
    in_total = amounts_module.multiple(
        shape, amounts_module.from_resources(room.free)
    )
    largest = amounts_module.from_resources(room.largest)
    in_largest = amounts_module.multiple(shape, largest)
    return min(in_total, in_largest * room.workers)
