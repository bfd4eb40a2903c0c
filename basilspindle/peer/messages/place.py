"""Ask the holder of worker leases to place and start tasks."""

import msgspec

from basilspindle import model


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Ask to start each of a batch of tasks somewhere.

    With ``hold`` the tasks are only given capacity, for ``hold_ms``, and
    started by ``Commit``. The receiver refuses a request that is too old
    by its own clock: ``receiver_time_ms`` is the ``sent_at_ms`` of its
    last heartbeat that the sender has seen, ``receiver_incarnation`` its
    incarnation there. This refuses a request that waited in a buffer
    while the sender gave it up.
    """

    member_id: str
    orders: list[model.TaskOrder]
    hold: bool = False
    hold_ms: int = 0
    receiver_incarnation: str = ''
    receiver_time_ms: int = 0


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """Where one task went; an empty ``worker_id`` means not placed.

    ``reason`` is the kind of the error where it was not placed.
    ``unknown`` means that the start was sent and its answer was lost.
    """

    task_id: str
    attempt: int
    worker_id: str = ''
    failure_domain: str = ''
    rack: str = ''
    reason: str = ''
    unknown: bool = False


class Placed(msgspec.Struct, frozen=True, kw_only=True):
    """One placement for each order, in the same order."""

    placements: list[Placement]
