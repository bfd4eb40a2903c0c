"""Count what a daemon does, for Prometheus."""

import collections.abc

import prometheus_client

_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 6, 15)


class Metrics:
    """Metrics of one daemon in a registry of its own."""

    __slots__ = ('_registry', '_requests', '_seconds')

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            'basilspindle_http_requests',
            'Requests by route and status.',
            ['route', 'status'],
            registry=self._registry,
        )
        self._seconds = prometheus_client.Histogram(
            'basilspindle_http_request_seconds',
            'Time to answer by route.',
            ['route'],
            buckets=_BUCKETS_S,
            registry=self._registry,
        )

    def add_gauge(
        self,
        name: str,
        text: str,
        read: collections.abc.Callable[[], float],
    ) -> None:
        """Add a gauge that is read when the metrics are scraped."""
        gauge = prometheus_client.Gauge(
            f'basilspindle_{name}', text, registry=self._registry
        )
        gauge.set_function(read)

    def count_request(self, route: str, status: int, duration_ms: int) -> None:
        """Count an answered request."""
        self._requests.labels(route, str(status)).inc()
        self._seconds.labels(route).observe(duration_ms / 1000)

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)
