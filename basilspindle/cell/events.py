"""Define the log events of the cell, numbered 9xx."""

from basilspindle.events import event as event_module

_Event = event_module.Event
_Level = event_module.Level

LINK_BROKEN = _Event(
    901,
    'link_broken',
    _Level.WARNING,
    'a connection between daemons carried an invalid frame',
    'check that all daemons run the same version',
)
RECORD_UNREADABLE = _Event(
    902,
    'record_unreadable',
    _Level.ERROR,
    'a record in the store cannot be decoded and is skipped',
    'find out what else writes to the streams of the cell',
)
LEADER_GAINED = _Event(
    903,
    'leader_gained',
    _Level.INFO,
    'this daemon has become the leader of the cell',
    'nothing to do',
)
LEADER_READY = _Event(
    904,
    'leader_ready',
    _Level.INFO,
    'the leader has recovered all jobs and accepts requests',
    'nothing to do',
)
LEADER_LOST = _Event(
    905,
    'leader_lost',
    _Level.WARNING,
    'this daemon is no longer the leader of the cell',
    'see the reason and the cause; another daemon takes over; with '
    'workers_read false, it has started nothing',
)
LEADER_FOLLOWED = _Event(
    906,
    'leader_followed',
    _Level.INFO,
    'this daemon follows a leader and forwards requests to it',
    'nothing to do',
)
LEADER_SILENT = _Event(
    907,
    'leader_silent',
    _Level.WARNING,
    'the leader does not answer',
    'another daemon takes over unless the leader still appends',
)
LEADERS_UNSTABLE = _Event(
    909,
    'leaders_unstable',
    _Level.WARNING,
    'leaders follow each other too quickly',
    'see the cause in the leader_lost lines; with fault, see internal_fault '
    'and the registry_entry lines before it',
)
CLAIM_FAILED = _Event(
    908,
    'claim_failed',
    _Level.WARNING,
    'the leadership claim could not be read or recorded',
    'check that the store is reachable',
)
JOB_ACCEPTED = _Event(
    910,
    'job_accepted',
    _Level.INFO,
    'a job was recorded and accepted',
    'nothing to do',
)
JOB_REFUSED = _Event(
    911,
    'job_refused',
    _Level.INFO,
    'a job was rejected and has not run',
    'see the reason in docs/OPERATIONS.md; add workers if capacity persists',
)
JOB_ENDED = _Event(
    912,
    'job_ended',
    _Level.INFO,
    'a job reached its final state',
    'nothing to do',
)
TASK_STARTED = _Event(
    913,
    'task_started',
    _Level.INFO,
    'a worker was asked to start a task',
    'nothing to do',
)
TASK_ENDED = _Event(
    914,
    'task_ended',
    _Level.INFO,
    'a worker reported the end of a run',
    'nothing to do',
)
START_FAILED = _Event(
    915,
    'start_failed',
    _Level.WARNING,
    'a worker did not start a task',
    'see the outcome; the task is queued again',
)
STEP_WAITS = _Event(
    916,
    'step_waits',
    _Level.INFO,
    'a ready step cannot start all of its tasks now',
    'see the reason; candidates is the number of workers that may run it',
)
WORK_STALLED = _Event(
    919,
    'work_stalled',
    _Level.WARNING,
    'accepted jobs have tasks to start and none running',
    'see step_waits of the job; with workers_read false, the leader has not '
    'read the worker registry yet, and nothing can start',
)
START_ANSWERED = _Event(
    949,
    'start_answered',
    _Level.INFO,
    'a worker answered the order to start a task',
    'nothing to do; born_wall_ms is the life that the leader has heard of, '
    'and a clock_ms far from expected_clock_ms is that of another one',
)
RUNS_REPORTED = _Event(
    950,
    'runs_reported',
    _Level.INFO,
    'a worker listed runs for the first time since it started',
    'nothing to do; unexpected runs are stopped',
)
WORKER_RESTARTED = _Event(
    951,
    'worker_restarted',
    _Level.WARNING,
    'a worker reports a later start time under its id',
    'its earlier runs are requeued once the store has confirmed that this '
    'daemon still leads',
)
TASKS_PREEMPTED = _Event(
    938,
    'tasks_preempted',
    _Level.INFO,
    'less urgent tasks are stopped to make room for a gang',
    'nothing to do; they continue from their checkpoints',
)
ADVICE_TAKEN = _Event(
    917,
    'advice_taken',
    _Level.INFO,
    'the advice service named the workers that may run a step',
    'nothing to do',
)
WORKER_GAINED = _Event(
    920,
    'worker_gained',
    _Level.INFO,
    'a worker answered for the first time',
    'nothing to do',
)
WORKER_SILENT = _Event(
    921,
    'worker_silent',
    _Level.WARNING,
    'a worker does not answer',
    'its tasks are rescheduled once its lease has expired',
)
WORKER_LOST = _Event(
    922,
    'worker_lost',
    _Level.WARNING,
    'the lease or the process of a worker ended; its tasks are requeued',
    'see the evidence; with a confirmed_age_ms of seconds the store has not '
    'answered this daemon',
)
WORKER_DRAINING = _Event(
    923,
    'worker_draining',
    _Level.INFO,
    'a worker is draining and gets no new tasks',
    'nothing to do',
)
STORE_FAILED = _Event(
    930,
    'store_failed',
    _Level.WARNING,
    'a call to the store failed',
    'check that the store is reachable; the call is retried',
)
STORE_REGAINED = _Event(
    931,
    'store_regained',
    _Level.INFO,
    'the store answers again',
    'nothing to do',
)
CONFIGURATION_IN_FORCE = _Event(
    932,
    'configuration_in_force',
    _Level.INFO,
    'a new version of the configuration is in force',
    'nothing to do; source is where it was read, transfer_ms the time from '
    'its first to its last byte, apply_ms the time to decode and index it',
)
CONFIGURATION_UNREADABLE = _Event(
    933,
    'configuration_unreadable',
    _Level.ERROR,
    'a configuration cannot be read; the last valid one stays in force',
    'publish a valid configuration',
)
REGISTRY_ENTRY_UNREADABLE = _Event(
    934,
    'registry_entry_unreadable',
    _Level.WARNING,
    'an entry of the worker registry cannot be decoded and is skipped',
    'find out what writes the entry',
)
ADVICE_FAILED = _Event(
    935,
    'advice_failed',
    _Level.WARNING,
    'a call to the advice service failed and is retried',
    'check the advice service if this persists',
)
CONFIGURATION_READ_FAILED = _Event(
    936,
    'configuration_read_failed',
    _Level.WARNING,
    'a read of the configuration failed and is repeated',
    'see the error: without any byte the source is silent, with some the '
    'answer is too slow for the link',
)
CONFIGURATION_BEHIND = _Event(
    937,
    'configuration_behind',
    _Level.WARNING,
    'a newer version of the configuration is known and not in force here',
    'look for configuration_read_failed at this daemon',
)
NODE_STARTED = _Event(
    940,
    'node_started',
    _Level.INFO,
    'the daemon accepts connections',
    'nothing to do',
)
NODE_STOPPING = _Event(
    941,
    'node_stopping',
    _Level.INFO,
    'the daemon was asked to stop and completes the requests in flight',
    'nothing to do',
)
NODE_STOPPED = _Event(
    942,
    'node_stopped',
    _Level.INFO,
    'the daemon has stopped',
    'nothing to do',
)
SETTINGS_RELOADED = _Event(
    943,
    'settings_reloaded',
    _Level.INFO,
    'the settings file was reloaded',
    'nothing to do',
)
CHECKPOINT_DROPPED = _Event(
    947,
    'checkpoint_dropped',
    _Level.WARNING,
    'a worker reported a checkpoint that is too long to store',
    'find out what the task writes; it restarts from its beginning',
)
STATE_DUMPED = _Event(
    946,
    'state_dumped',
    _Level.INFO,
    'the state of the daemon, dumped on request',
    'nothing to do',
)
REQUEST_FAILED = _Event(
    944,
    'request_failed',
    _Level.WARNING,
    'a request of a client failed',
    'see the status and the reason',
)
SUBMISSION_FAILED = _Event(
    948,
    'submission_failed',
    _Level.INFO,
    'a caller was answered that a job was not accepted, or may have been',
    'see the copies of the submission and their outcomes; a status of 429 or '
    '503 promises that the job never runs',
)
TASK_PACED = _Event(
    918,
    'task_paced',
    _Level.INFO,
    'a task that fills spare capacity was throttled or sped up',
    'nothing to do; a service on the same worker is close to its response '
    'time limit, or no longer close to it',
)
CLIENT_LIMITED = _Event(
    965,
    'client_limited',
    _Level.WARNING,
    'a client reached a limit and was refused or lost its connection',
    'see the limit and the table of limits in docs/OPERATIONS.md; a status of '
    '0 means a closed connection',
)
ACCEPT_FAILED = _Event(
    966,
    'accept_failed',
    _Level.WARNING,
    'a connection of a client could not be accepted yet',
    'compare max_fds in the settings with the limit of the process; the '
    'connection waits and is tried again',
)
REGISTRY_ENTRY_FAILED = _Event(
    939,
    'registry_entry_failed',
    _Level.ERROR,
    'an entry of the worker registry was decoded and could not be applied; it '
    'is skipped',
    'report it as a bug, with the record at that offset of the registry',
)
INTERNAL_FAULT = _Event(
    945,
    'internal_fault',
    _Level.ERROR,
    'a part of the daemon failed unexpectedly',
    'report it as a bug, with the trace',
)
WORKER_SPEED = _Event(
    955,
    'worker_speed',
    _Level.INFO,
    'the tasks of a worker show that it is of another speed than was assumed',
    'nothing to do if the workers of the pool differ; otherwise look for what '
    'slows this one down; class 0 is the fastest',
)
WORKER_SLOW = _Event(
    956,
    'worker_slow',
    _Level.WARNING,
    'the tasks of a worker are far slower than it usually is, or make no '
    'progress; it gets no new tasks for a while',
    'nothing to do if it passes; otherwise see the worker; lag is the ratio '
    'of actual to expected durations',
)
DRY_RUN_ANSWERED = _Event(
    952,
    'dry_run_answered',
    _Level.INFO,
    'someone asked what would be decided about a job; nothing was submitted',
    'nothing to do',
)
DRY_RUN_FAILED = _Event(
    953,
    'dry_run_failed',
    _Level.INFO,
    'a dry run of a job had no answer; nothing was submitted',
    'see the reason: with not_ready no leader of a build that knows dry runs '
    'has answered',
)
DOMAIN_CLOSED = _Event(
    960,
    'domain_closed',
    _Level.WARNING,
    'a failure domain is being evacuated: no task starts there any more',
    'nothing to do; remove the record evacuate/ZONE of stream op to use its '
    'workers again',
)
DOMAIN_REOPENED = _Event(
    961,
    'domain_reopened',
    _Level.INFO,
    'a failure domain is no longer evacuated; tasks start there again',
    'nothing to do',
)
START_WITHHELD = _Event(
    962,
    'start_withheld',
    _Level.INFO,
    'an order to start a task was not sent or not repeated',
    'see the reason: with domain_closed its failure domain was closed since '
    'the task was placed, with held see starts_held; the task is placed again',
)
STARTS_HELD = _Event(
    963,
    'starts_held',
    _Level.WARNING,
    'the leader starts no tasks until it has read which failure domains are '
    'closed',
    'look for store_failed of the call evacuation; if this persists, check '
    'the reads of stream op',
)
STARTS_RESUMED = _Event(
    964,
    'starts_resumed',
    _Level.INFO,
    'the leader starts tasks again',
    'nothing to do; age_ms is how long ago the closed failure domains were '
    'known, more than some seconds if the store does not answer',
)
WORKERS_AWAITED = _Event(
    967,
    'workers_awaited',
    _Level.INFO,
    'a new leader waits for the reports of the workers that the log names',
    'tasks that the log places on a silent worker wait for it until its last '
    'lease has ended; while one of unaccounted is silent, all recovered work '
    'waits',
)
STARTS_COPIED = _Event(
    968,
    'starts_copied',
    _Level.INFO,
    'the store is slow, and the followers keep starts in its place',
    'with kept false, the tasks wait for the store: see store_failed, and '
    'whether all daemons are connected to the leader',
)
