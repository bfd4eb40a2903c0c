"""Collect the Prometheus metrics of a daemon."""

import collections.abc

import prometheus_client

_REQUEST_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 6, 15)


class Metrics:
    """Prometheus metrics of one daemon, in a registry of their own."""

    __slots__ = ('_registry', '_requests', '_request_seconds')

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            'basilspindle_http_requests',
            'Requests by route and status.',
            ['route', 'status'],
            registry=self._registry,
        )
        self._request_seconds = prometheus_client.Histogram(
            'basilspindle_http_request_seconds',
            'Time to answer by route.',
            ['route'],
            buckets=_REQUEST_BUCKETS_S,
            registry=self._registry,
        )

    def add_gauge(
        self,
        name: str,
        help_text: str,
        read_value: collections.abc.Callable[[], float],
    ) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = prometheus_client.Gauge(
            f'basilspindle_{name}', help_text, registry=self._registry
        )
        gauge.set_function(read_value)

    def count_request(self, route: str, status: int, duration_ms: int) -> None:
        """Count an answered request and observe its duration."""
        self._requests.labels(route, str(status)).inc()
        self._request_seconds.labels(route).observe(duration_ms / 1000)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
