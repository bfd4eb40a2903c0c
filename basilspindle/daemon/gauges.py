"""Export the state of a daemon as Prometheus gauges."""

from basilspindle import api
from basilspindle.daemon import components as components_module


def register(
    metrics: api.Metrics, components: components_module.Components
) -> None:
    """Register the gauges of a daemon; each scrape evaluates them."""
    metrics.add_gauge(
        'log_down',
        '1 while the log is silent.',
        lambda: float(components.log.is_down),
    )
    metrics.add_gauge(
        'config_version',
        'Version of the configuration in force.',
        lambda: components.store.version,
    )
    metrics.add_gauge(
        'config_age_ms',
        'Age of the assurance of the configuration; -1 is never.',
        components.config_age_ms,
    )
    metrics.add_gauge(
        'members_live',
        'Daemons that answer, this one included.',
        lambda: len(components.membership.live()),
    )
    metrics.add_gauge(
        'partitions_owned',
        'Partitions that this daemon owns.',
        lambda: (
            len(components.ownership.claims()) if components.ownership else 0
        ),
    )
    metrics.add_gauge(
        'workers_held',
        'Workers that this daemon holds and that take work.',
        lambda: (
            components.fleet.free_capacity().workers if components.fleet else 0
        ),
    )
    metrics.add_gauge(
        'tasks_waiting',
        'Tasks that wait in the queues of this daemon.',
        lambda: (
            components.coordinator.waiting() if components.coordinator else 0
        ),
    )
