"""Hold what the HTTP routes need of the daemon."""

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
    """The parts of a daemon that serve callers and operators."""

    __slots__ = (
        'clock',
        'store',
        'router',
        'admission',
        'metrics',
        'ready',
        'members',
        'workers',
        'dump',
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
        ready: collections.abc.Callable[[], str],
        members: collections.abc.Callable[[], list[member_body.MemberBody]],
        workers: collections.abc.Callable[[], list[worker_body.WorkerBody]],
        dump: collections.abc.Callable[[], dict[str, typing.Any]],
        limits: settings.RequestLimits,
    ) -> None:
        self.clock = clock
        self.store = store
        self.router = router
        self.admission = admission_module.Admission(clock, store, limits)
        self.metrics = metrics
        self.ready = ready
        self.members = members
        self.workers = workers
        self.dump = dump
        self.limits = limits
        self.request_limiter = request_limiter.RequestLimiter(
            limits.max_waiting_requests
        )
