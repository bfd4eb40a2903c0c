"""Define the log events of this package."""

from basilspindle import events

VM_LIST_SILENT = events.Event(
    401,
    'vm_list_silent',
    events.Level.WARNING,
    'the VM list did not answer; the last known list stays in use',
    'check the VM list service; no member is marked gone until it answers',
)
MEMBER_STATE = events.Event(
    402,
    'member_state',
    events.Level.INFO,
    'the state of a member changed',
    'none; while the log is unavailable, a member that stays suspect keeps '
    'the others from starting tasks',
)
HEARTBEAT_REFUSED = events.Event(
    403,
    'heartbeat_refused',
    events.Level.WARNING,
    'a heartbeat from a replaced daemon process was refused',
    'check that only one daemon runs at the address',
)
CLAIMED = events.Event(
    404,
    'partition_claimed',
    events.Level.INFO,
    'this daemon claimed a partition',
    'none',
)
CLAIM_FAILED = events.Event(
    405,
    'partition_claim_failed',
    events.Level.WARNING,
    'a partition could not be claimed or recovered; it is retried',
    'check the log service',
)
ACTIVE = events.Event(
    406,
    'partition_active',
    events.Level.INFO,
    'this daemon recovered a partition and starts its tasks',
    'none',
)
DEPOSED = events.Event(
    407,
    'partition_deposed',
    events.Level.WARNING,
    'another daemon claimed a partition that this one had claimed',
    'none; if it repeats, check the network between the two daemons',
)
RELEASED = events.Event(
    408,
    'partition_released',
    events.Level.INFO,
    'this daemon released a partition for another owner',
    'none',
)
HOST_FAILED = events.Event(
    409,
    'partition_host_failed',
    events.Level.ERROR,
    'an unexpected exception ended the ownership of a partition',
    'report the exception as a bug in basilspindle',
)
FENCE_REFUTED = events.Event(
    411,
    'partition_fence_refuted',
    events.Level.WARNING,
    'a member announced an epoch for which the log holds no claim',
    'run compatible versions on all daemons; report it if it repeats',
)
STEP_FAILED = events.Event(
    410,
    'cluster_step_failed',
    events.Level.ERROR,
    'an unexpected exception in membership or ownership was suppressed',
    'report the exception as a bug in basilspindle',
)
VM_UNREADABLE = events.Event(
    412,
    'vm_unreadable',
    events.Level.WARNING,
    'the VM list has an entry that cannot be decoded; the others are used',
    'check the entry in the VM list service',
)
