"""Define the Prometheus metrics of the cell.

Labels have few values, such as outcomes, states and names of calls, and
never ids.
"""

import prometheus_client as prometheus

_LATENCY_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)

REQUESTS = prometheus.Counter(
    'basilspindle_requests_total',
    'Requests of callers by method and status.',
    ['method', 'status'],
)
REQUEST_SECONDS = prometheus.Histogram(
    'basilspindle_request_seconds',
    'Time to answer a caller.',
    buckets=_LATENCY_S,
)
REFUSALS = prometheus.Counter(
    'basilspindle_refusals_total',
    'Jobs that were turned away, by reason.',
    ['reason'],
)
DRY_RUNS = prometheus.Counter(
    'basilspindle_dry_runs_total',
    'Dry runs of jobs by outcome: accepted, refused or failed.',
    ['outcome'],
)
ACCEPT_SECONDS = prometheus.Histogram(
    'basilspindle_accept_seconds',
    'Time from the arrival of a job to its confirmed record.',
    buckets=_LATENCY_S,
)
JOBS_ENDED = prometheus.Counter(
    'basilspindle_jobs_ended_total', 'Ended jobs by final state.', ['state']
)
JOB_SECONDS = prometheus.Histogram(
    'basilspindle_job_seconds',
    'Time from the arrival of a job to its final state.',
    buckets=_LATENCY_S,
)
STARTS = prometheus.Counter(
    'basilspindle_task_starts_total',
    'Orders to start a task by outcome.',
    ['outcome'],
)
STARTS_COPIED = prometheus.Counter(
    'basilspindle_task_starts_copied_total',
    'Orders sent once the followers kept them, as the store was slow.',
)
PREEMPTIONS = prometheus.Counter(
    'basilspindle_preemptions_total',
    'Tasks stopped to make room for more urgent ones.',
)
SPEED_CHANGES = prometheus.Counter(
    'basilspindle_worker_speed_changes_total',
    'Times that a worker moved to another speed class, at the leader.',
)
SLOW_PERIODS = prometheus.Counter(
    'basilspindle_worker_slow_periods_total',
    'Times that a worker became far slower than it usually is, or made no '
    'progress, at the leader.',
)
STARTS_WITHHELD = prometheus.Counter(
    'basilspindle_starts_withheld_total',
    'Orders to start a task that were not sent or not repeated, by reason.',
    ['reason'],
)
CLOSED_DOMAINS = prometheus.Gauge(
    'basilspindle_closed_domains',
    'Failure domains that are being evacuated, at the leader.',
)
CLOSED_DOMAINS_AGE_SECONDS = prometheus.Gauge(
    'basilspindle_closed_domains_age_seconds',
    'Time since the closed failure domains were known, at the leader.',
)
EVACUATION_READ_FAILURES = prometheus.Counter(
    'basilspindle_evacuation_read_failures_total',
    'Reads of the closed failure domains that failed.',
)
RUN_ENDS = prometheus.Counter(
    'basilspindle_run_ends_total', 'Ended runs by kind.', ['kind']
)
CALL_SECONDS = prometheus.Histogram(
    'basilspindle_call_seconds',
    'Time of calls to the platform by dependency.',
    ['dependency'],
    buckets=_LATENCY_S,
)
CALL_FAILURES = prometheus.Counter(
    'basilspindle_call_failures_total',
    'Calls to the platform without an answer, by dependency.',
    ['dependency'],
)
DISCARDED_BYTES = prometheus.Counter(
    'basilspindle_discarded_bytes_total',
    'Bytes of incomplete responses that timed out, by dependency.',
    ['dependency'],
)
LEADER_CHANGES = prometheus.Counter(
    'basilspindle_leader_changes_total',
    'Times that this daemon began or ceased to lead.',
    ['change'],
)
LEADERSHIPS_ENDED = prometheus.Counter(
    'basilspindle_leaderships_ended_total',
    'Leaderships of this daemon that ended, by cause.',
    ['cause'],
)
TASKS_RELEASED = prometheus.Counter(
    'basilspindle_tasks_released_total',
    'Tasks that are started again although their worker lists no end of '
    'their runs, by evidence.',
    ['evidence'],
)
UNCONFIRMED_SECONDS = prometheus.Gauge(
    'basilspindle_unconfirmed_seconds',
    'Time since the store has confirmed an append of the leader.',
)
LEADERS_LAST_MINUTE = prometheus.Gauge(
    'basilspindle_leaders_last_minute',
    'Claims of leadership in the cell in the last minute.',
)
STALLED_JOBS = prometheus.Gauge(
    'basilspindle_stalled_jobs',
    'Accepted jobs with tasks to start and none running, at the leader.',
)
STALLED_SECONDS = prometheus.Gauge(
    'basilspindle_stalled_seconds',
    'Longest time that an accepted job has had tasks to start and none '
    'running, at the leader.',
)
CONFIGURATION_VERSION = prometheus.Gauge(
    'basilspindle_configuration_version',
    'Version of the configuration in force.',
)
CONFIGURATION_BYTES = prometheus.Counter(
    'basilspindle_configuration_bytes_total',
    'Bytes of the configurations that were read, by source.',
    ['source'],
)
CONFIGURATION_READ_SECONDS = prometheus.Histogram(
    'basilspindle_configuration_read_seconds',
    'Time from the first to the last byte of a configuration, by source.',
    ['source'],
    buckets=_LATENCY_S,
)
CONFIGURATION_READ_FAILURES = prometheus.Counter(
    'basilspindle_configuration_read_failures_total',
    'Reads of the configuration that failed, by source.',
    ['source'],
)
CONFIGURATION_APPLY_SECONDS = prometheus.Histogram(
    'basilspindle_configuration_apply_seconds',
    'Time to bring a configuration that was read into force.',
    buckets=_LATENCY_S,
)
CONFIGURATION_BEHIND_SECONDS = prometheus.Gauge(
    'basilspindle_configuration_behind_seconds',
    'Time since a version newer than the one in force became known, 0 if '
    'none is.',
)
LATE_REPLY_BYTES = prometheus.Counter(
    'basilspindle_late_reply_bytes_total',
    'Bytes of replies of other daemons that came after the timeout.',
)
CLIENTS_LIMITED = prometheus.Counter(
    'basilspindle_clients_limited_total',
    'Clients that were refused or lost their connection, by listener and '
    'limit.',
    ['listener', 'limit'],
)
CLIENT_CONNECTIONS = prometheus.Gauge(
    'basilspindle_client_connections',
    'Open connections of clients, by listener.',
    ['listener'],
)
CLIENT_HELD_BYTES = prometheus.Gauge(
    'basilspindle_client_held_bytes',
    'Estimated memory of requests that are being received or handled.',
)
LIVE_JOBS = prometheus.Gauge(
    'basilspindle_live_jobs', 'Jobs that the leader holds.'
)
WAITING_TASKS = prometheus.Gauge(
    'basilspindle_waiting_tasks', 'Tasks whose turn has come.'
)
LOOP_DELAY_SECONDS = prometheus.Gauge(
    'basilspindle_loop_delay_seconds',
    'Latest delay of a timer of the event loop.',
)
DROPPED_LINES = prometheus.Counter(
    'basilspindle_log_lines_dropped_total',
    'Log lines that were counted instead of written.',
)


def render() -> bytes:
    """Return all metrics in the text format."""
    return prometheus.generate_latest()
