"""Track one started attempt of a task."""

from basilspindle import model


class TrackedTask:
    """An attempt from its assignment to a holder until its end.

    ``worker_epoch`` is the highest epoch of the worker's lease under which
    a holder reported it. ``missed_inventories`` counts the consecutive
    complete inventories that did not contain it. ``expired_end`` is the end
    that a holder reports because it has not renewed the task lease; another
    holder may have.
    """

    __slots__ = (
        'index',
        'attempt',
        'state',
        'holder_id',
        'worker_id',
        'failure_domain',
        'rack',
        'worker_epoch',
        'placed_at_ms',
        'missed_inventories',
        'expired_end',
    )

    def __init__(self, index: int, attempt: int) -> None:
        self.index = index
        self.attempt = attempt
        self.state = model.State.STARTING
        self.holder_id = ''
        self.worker_id = ''
        self.failure_domain = ''
        self.rack = ''
        self.worker_epoch = 0
        self.placed_at_ms = 0
        self.missed_inventories = 0
        self.expired_end: model.TaskEnd | None = None
