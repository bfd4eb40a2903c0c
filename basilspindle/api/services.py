"""Group the parts of the daemon that the HTTP routes use."""

import collections.abc
import typing

from basilspindle.api import admission as admission_module
from basilspindle.api import member_body
from basilspindle.api import metrics as metrics_module
from basilspindle.api import request_limiter
from basilspindle.api import worker_body
from basilspindle import clock as clock_module
from basilspindle import config
from basilspindle import routing
from basilspindle import settings


class Services:
    """Parts and callbacks of the daemon that the HTTP routes use.

    ``not_ready_reason`` returns '' while the daemon can serve requests.
    """

    __slots__ = (
        'clock',
        'store',
        'router',
        'admission',
        'metrics',
        'not_ready_reason',
        'list_members',
        'list_workers',
        'dump_state',
        'limits',
        'request_limiter',
    )

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        store: config.ConfigStore,
        router: routing.Router,
        metrics: metrics_module.Metrics,
        not_ready_reason: collections.abc.Callable[[], str],
        list_members: collections.abc.Callable[
            [], list[member_body.MemberBody]
        ],
        list_workers: collections.abc.Callable[
            [], list[worker_body.WorkerBody]
        ],
        dump_state: collections.abc.Callable[[], dict[str, typing.Any]],
        limits: settings.RequestLimits,
    ) -> None:
        self.clock = clock
        self.store = store
        self.router = router
        self.admission = admission_module.Admission(clock, store, limits)
        self.metrics = metrics
        self.not_ready_reason = not_ready_reason
        self.list_members = list_members
        self.list_workers = list_workers
        self.dump_state = dump_state
        self.limits = limits
        self.request_limiter = request_limiter.RequestLimiter(
            limits.max_waiting_requests
        )
