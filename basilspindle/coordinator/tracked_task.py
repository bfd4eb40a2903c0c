"""Track one started attempt of a task."""

from basilspindle import model


class TrackedTask:
    """An attempt that counts as running: from its placement to its end.

    ``worker_epoch`` is the epoch under which a holder last reported it.
    ``missed`` counts the complete inventories in a row that lack it.
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
