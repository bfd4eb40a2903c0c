"""Expose the state of a daemon as gauges."""

from basilspindle import api
from basilspindle.daemon import parts as parts_module


def add(metrics: api.Metrics, parts: parts_module.Parts) -> None:
    """Add the gauges of a daemon; they are read at each scrape."""
    metrics.add_gauge(
        'log_down',
        '1 while the log is silent.',
        lambda: float(parts.log.is_down),
    )
    metrics.add_gauge(
        'config_version',
        'Version of the configuration in force.',
        lambda: parts.store.version,
    )
    metrics.add_gauge(
        'config_age_ms',
        'Age of the assurance of the configuration; -1 is never.',
        parts.config_age_ms,
    )
    metrics.add_gauge(
        'members_live',
        'Daemons that answer, this one included.',
        lambda: len(parts.membership.live()),
    )
    metrics.add_gauge(
        'partitions_owned',
        'Partitions that this daemon owns.',
        lambda: len(parts.ownership.claims()) if parts.ownership else 0,
    )
    metrics.add_gauge(
        'workers_held',
        'Workers that this daemon holds and that take work.',
        lambda: parts.fleet.free_capacity().workers if parts.fleet else 0,
    )
    metrics.add_gauge(
        'tasks_waiting',
        'Tasks that wait in the queues of this daemon.',
        lambda: parts.coordinator.waiting() if parts.coordinator else 0,
    )
