"""Define the log events of the fleet."""

from basilspindle.events import event

LEASE_TAKEN = event.Event(
    600,
    'worker_lease_taken',
    event.Level.INFO,
    'Took the placement lease of a worker and read its inventory.',
    'None.',
)
LEASE_LOST = event.Event(
    601,
    'worker_lease_lost',
    event.Level.WARNING,
    'Another daemon holds the placement lease of a worker.',
    'None if the daemon was paused or cut off; else check the member list.',
)
LEASE_RETURNED = event.Event(
    602,
    'worker_lease_returned',
    event.Level.INFO,
    'Gave the placement lease of a worker back.',
    'None.',
)
WORKER_SUSPECT = event.Event(
    603,
    'worker_suspect',
    event.Level.WARNING,
    'A worker did not answer and gets no new work.',
    'Check the worker and the network to its failure domain.',
)
WORKER_LOST = event.Event(
    604,
    'worker_lost',
    event.Level.ERROR,
    'The tasks of a worker are over: it restarted or their leases expired.',
    'Check the worker; idempotent tasks are queued again.',
)
START_UNCERTAIN = event.Event(
    605,
    'start_uncertain',
    event.Level.WARNING,
    'The answer to a start was lost; the worker is queried.',
    'None.',
)
START_RESOLVED = event.Event(
    606,
    'start_resolved',
    event.Level.INFO,
    'The outcome of a start whose answer was lost is known.',
    'None.',
)
WORKER_QUARANTINED = event.Event(
    607,
    'worker_quarantined',
    event.Level.WARNING,
    'A worker fails most of what it starts and gets less or no new work.',
    'Check the worker; it is readmitted stepwise.',
)
REPORT_FAILED = event.Event(
    608,
    'report_failed',
    event.Level.WARNING,
    'The owner of a partition did not confirm ends; they are sent again.',
    'None if the partition changes its owner; else check its owner.',
)
CONTROLLER_FAILED = event.Event(
    609,
    'worker_keeper_failed',
    event.Level.ERROR,
    'An unexpected error interrupted the handling of a worker.',
    'Report the error; the worker is handled again after a wait.',
)
HOLD_EXPIRED = event.Event(
    610,
    'hold_expired',
    event.Level.WARNING,
    'Capacity held for a gang was neither committed nor dropped in time.',
    'None if a coordinator failed; else raise hold_ms.',
)
