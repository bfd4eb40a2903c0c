"""Serve the platform's balancer and Prometheus."""

import litestar
import msgspec

from basilspindle.api import services as services_module


class HealthBody(msgspec.Struct, frozen=True):
    """Whether the daemon serves, and why it does not."""

    ready: bool
    reason: str = ''


def routes(services: services_module.Services) -> list[object]:
    """Return the routes without a key."""

    @litestar.get('/healthz')
    async def healthy() -> HealthBody:
        """Tell that the process answers."""
        return HealthBody(True)

    @litestar.get('/readyz')
    async def ready() -> litestar.Response[HealthBody]:
        """Tell whether callers should be sent here."""
        reason = services.unready_reason()
        return litestar.Response(
            HealthBody(not reason, reason), status_code=503 if reason else 200
        )

    @litestar.get('/metrics')
    async def metrics() -> litestar.Response[bytes]:
        """Return the metrics in the text format of Prometheus."""
        return litestar.Response(
            services.metrics.render(),
            media_type='text/plain; version=0.0.4; charset=utf-8',
        )

    return [healthy, ready, metrics]
