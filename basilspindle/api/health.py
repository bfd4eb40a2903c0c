"""Serve the HTTP routes for health checks and Prometheus."""

import litestar
import msgspec

from basilspindle.api import services as services_module


class HealthBody(msgspec.Struct, frozen=True):
    """Whether the daemon can serve; ``reason`` says why it cannot."""

    ready: bool
    reason: str = ''


def routes(services: services_module.Services) -> list[object]:
    """Return the routes that need no key."""

    @litestar.get('/healthz')
    async def healthy() -> HealthBody:
        """Report that the process is running."""
        return HealthBody(True)

    @litestar.get('/readyz')
    async def ready() -> litestar.Response[HealthBody]:
        """Report whether the load balancer should send requests here."""
        reason = services.not_ready_reason()
        return litestar.Response(
            HealthBody(not reason, reason), status_code=503 if reason else 200
        )

    @litestar.get('/metrics')
    async def metrics() -> litestar.Response[bytes]:
        """Return the metrics in the Prometheus text format."""
        return litestar.Response(
            services.metrics.render(),
            media_type='text/plain; version=0.0.4; charset=utf-8',
        )

    return [healthy, ready, metrics]
