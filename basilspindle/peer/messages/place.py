"""Place tasks on the workers of a holder."""

import msgspec

from basilspindle import model


class Place(msgspec.Struct, frozen=True, kw_only=True):
    """Ask to start each task of a batch on any worker of the receiver.

    With ``hold``, capacity is only reserved for ``hold_ms``; the tasks are
    started by ``Commit``. The receiver rejects a request that is too old, as
    it may have waited in a buffer after the sender gave up on it. The age is
    measured with the receiver's clock: ``receiver_time_ms`` and
    ``receiver_incarnation`` are the ``sent_at_ms`` and the incarnation of the
    receiver's last heartbeat that the sender has seen.
    """

    member_id: str
    orders: list[model.TaskOrder]
    hold: bool = False
    hold_ms: int = 0
    receiver_incarnation: str = ''
    receiver_time_ms: int = 0


class Placement(msgspec.Struct, frozen=True, kw_only=True):
    """The worker of a task; ``worker_id`` is empty if it was not placed.

    ``reason`` is the kind of the error if the task was not placed.
    ``unknown`` means that the start was sent to a worker and the answer was
    lost.
    """

    task_id: str
    attempt: int
    worker_id: str = ''
    failure_domain: str = ''
    rack: str = ''
    reason: str = ''
    unknown: bool = False


class Placed(msgspec.Struct, frozen=True, kw_only=True):
    """The placement of each task, in the order of the request."""

    placements: list[Placement]
