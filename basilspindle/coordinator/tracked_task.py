"""Track one started attempt of a task."""

from basilspindle import model


class TrackedTask:
    """An attempt that counts as running: from its placement to its end."""

    __slots__ = (
        'index',
        'attempt',
        'state',
        'holder_id',
        'worker_id',
        'failure_domain',
        'rack',
    )

    def __init__(self, index: int, attempt: int) -> None:
        self.index = index
        self.attempt = attempt
        self.state = model.State.STARTING
        self.holder_id = ''
        self.worker_id = ''
        self.failure_domain = ''
        self.rack = ''
