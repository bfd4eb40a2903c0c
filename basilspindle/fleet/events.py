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
    'None if this daemon was paused or disconnected; otherwise check the '
    'member list.',
)
LEASE_RETURNED = event.Event(
    602,
    'worker_lease_returned',
    event.Level.INFO,
    'Returned the placement lease of a worker.',
    'None.',
)
WORKER_SUSPECT = event.Event(
    603,
    'worker_suspect',
    event.Level.WARNING,
    'A worker repeatedly did not answer and gets no new tasks.',
    'Check the worker and the network to its failure domain.',
)
WORKER_LOST = event.Event(
    604,
    'worker_lost',
    event.Level.ERROR,
    'Tasks of a worker were lost: it restarted or their leases expired.',
    'Check the worker; idempotent tasks are queued again.',
)
START_UNCERTAIN = event.Event(
    605,
    'start_uncertain',
    event.Level.WARNING,
    'The answer to a task start was lost; the inventory of the worker is '
    'read.',
    'None.',
)
START_RESOLVED = event.Event(
    606,
    'start_resolved',
    event.Level.INFO,
    'The outcome of a task start whose answer was lost was determined.',
    'None.',
)
WORKER_QUARANTINED = event.Event(
    607,
    'worker_quarantined',
    event.Level.WARNING,
    'Most tasks fail on a worker; it gets few or no new tasks.',
    'Check the worker; its task limit is raised step by step.',
)
REPORT_FAILED = event.Event(
    608,
    'report_failed',
    event.Level.WARNING,
    'The owner of a partition did not confirm task ends; they are sent again.',
    'None if the partition is changing owners; otherwise check its owner.',
)
CONTROLLER_FAILED = event.Event(
    609,
    'worker_keeper_failed',
    event.Level.ERROR,
    'The controller of a worker stopped at an unexpected error.',
    'Report the error; the controller continues after a wait.',
)
ENTRY_UNREADABLE = event.Event(
    611,
    'worker_entry_unreadable',
    event.Level.WARNING,
    'An answer of a worker has an entry that cannot be decoded.',
    'Find out which build the worker runs; its other tasks are served.',
)
HOLD_EXPIRED = event.Event(
    610,
    'hold_expired',
    event.Level.WARNING,
    'Capacity held for a gang was neither committed nor dropped in time.',
    'None if a coordinator failed; otherwise increase hold_ms.',
)
