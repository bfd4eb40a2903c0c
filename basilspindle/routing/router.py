"""Forward requests to the owner of a partition and retry them."""

import asyncio
import collections.abc
import contextlib
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import messages
from basilspindle.routing import calls as calls_module
from basilspindle.routing import events as routing_events
from basilspindle.routing import retry_budget

_OWNER_POLL_MS = 50
_RETRY_PAUSE_MS = 100
# Interval for checking during a call whether the partition has a new owner,
# since a paused owner does not answer.
_OWNER_CHECK_MS = 200
# Longer than an owner takes to answer while the log is slow. After this time
# the connection is considered dead and the call is retried on a new one.
_ATTEMPT_TIMEOUT_MS = 6_000
_RETRY_AFTER_MS = 1_000

Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]


class OwnerLookup(typing.Protocol):
    """Look up the daemon that owns a partition."""

    def partition_of(self, workspace: str) -> int:
        """Return the partition of a workspace."""

    def owner_address(self, partition: int) -> str | None:
        """Return the peer address of the active owner.

        Returns '' if it is this daemon and None if there is none.
        """


class Caller(typing.Protocol):
    """Call other daemons, as ``peer.PeerClient`` does."""

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Return the reply; raises ``PeerError`` or the handler's error."""


class Router:
    """Forward requests to owners and retry them until a deadline.

    Every request may be retried safely: a submission carries its job id, and
    the owner accepts each job id only once.
    """

    __slots__ = ('_clock', '_owners', '_caller', '_handlers', '_retry_budget')

    def __init__(
        self,
        clock: clock_module.Clock,
        owners: OwnerLookup,
        caller: Caller,
        handlers: collections.abc.Mapping[type, Handler],
    ) -> None:
        self._clock = clock
        self._owners = owners
        self._caller = caller
        self._handlers = handlers
        self._retry_budget = retry_budget.RetryBudget(clock)

    def partition_of(self, workspace: str) -> int:
        """Return the partition of a workspace."""
        return self._owners.partition_of(workspace)

    async def call(
        self,
        request: typing.Any,
        timeout_ms: int,
        on_retry: collections.abc.Callable[[], None] | None = None,
        calls: calls_module.Calls | None = None,
    ) -> typing.Any:
        """Forward a request to the owner of its partition; return the reply.

        Raises the owner's error, ``NotReady`` if no owner has accepted the
        request within ``timeout_ms``, and ``OutcomeUnknown`` if one may have
        run it and none answered. If an earlier attempt may have run, an error
        that says "not run" is changed to "unknown". ``on_retry`` is called
        before a request that may have run is sent again. ``calls`` receives
        the outcome of each call.
        """
        calls = calls or calls_module.Calls(self._clock)
        deadline_ms = self._clock.now_ms() + timeout_ms
        may_have_run = False
        self._retry_budget.count_call()
        while True:
            address = await self._wait_for_owner(
                request, deadline_ms, may_have_run
            )
            remaining_ms = deadline_ms - self._clock.now_ms()
            if may_have_run and on_retry is not None:
                on_retry()
            sent_ms = self._clock.now_ms()
            try:
                reply = await self._call_owner(address, request, remaining_ms)
                calls.note_answer(address, sent_ms)
                return reply
            except (
                errors.PeerUnavailable,
                errors.NotOwner,
                errors.Deposed,
                errors.NotReady,
            ) as error:
                # Not charged to the retry budget, which limits the load on
                # owners: refusing a request costs an owner no work.
                calls.note_error(address, sent_ms, error)
                may_have_run = may_have_run or error.ran is not errors.Ran.NO
            except (
                errors.PeerOutcomeUnknown,
                errors.DeadlineExceeded,
            ) as error:
                calls.note_error(address, sent_ms, error)
                may_have_run = True
                self._take_retry(request)
            except errors.BasilspindleError as error:
                calls.note_refusal(address, sent_ms, error)
                if may_have_run and error.ran is errors.Ran.NO:
                    raise errors.restate(
                        error,
                        errors.Ran.UNKNOWN,
                        error.job_id or _job_id(request),
                    ) from error
                raise
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)

    def _take_retry(self, request: typing.Any) -> None:
        if not self._retry_budget.try_acquire():
            events.emit(routing_events.RETRY_BUDGET_SPENT)
            raise _no_reply_error(request, True)

    async def _wait_for_owner(
        self,
        request: typing.Any,
        deadline_ms: int,
        may_have_run: bool,
    ) -> str:
        while True:
            address = self._owners.owner_address(request.partition)
            if self._clock.now_ms() >= deadline_ms:
                raise _no_reply_error(request, may_have_run)
            if address is not None:
                return address
            await self._clock.sleep_ms(_OWNER_POLL_MS)

    async def _call_owner(
        self, address: str, request: typing.Any, remaining_ms: int
    ) -> typing.Any:
        if not address:
            handler = self._handlers[type(request)]
            return await self._clock.wait_for(handler(request), remaining_ms)
        attempt_ms = getattr(request, 'wait_ms', 0) + _ATTEMPT_TIMEOUT_MS
        call = asyncio.ensure_future(
            self._caller.call(address, request, min(remaining_ms, attempt_ms))
        )
        try:
            while not await self._wait_for_end(call):
                owner = self._owners.owner_address(request.partition)
                if owner != address:
                    raise errors.NotOwner(
                        'the partition got a new owner during the call; retry '
                        'with the new owner',
                        ran=errors.Ran.UNKNOWN,
                    )
            reply = call.result()
        finally:
            call.cancel()
        if not _is_answer(request, reply):
            events.emit(
                routing_events.REPLY_REFUSED, request=type(request).__name__
            )
            raise errors.PeerOutcomeUnknown(
                'the owner replied with a job that was not asked for; run '
                'compatible versions on all daemons'
            )
        return reply

    async def _wait_for_end(self, call: asyncio.Future[typing.Any]) -> bool:
        """Wait for a call, at most ``_OWNER_CHECK_MS``; tell if it ended."""
        with contextlib.suppress(errors.DeadlineExceeded):
            await self._clock.wait_for(asyncio.wait({call}), _OWNER_CHECK_MS)
        return call.done()


def _is_answer(request: typing.Any, reply: typing.Any) -> bool:
    """Tell whether a reply shows only jobs that the request asks for."""
    if isinstance(reply, messages.JobList):
        return all(
            view.workspace == request.workspace and view.job_id > request.after
            for view in reply.views
        )
    job = request.job if isinstance(request, messages.Submit) else request
    if isinstance(reply, messages.Submitted) and reply.job_id != job.job_id:
        return False
    view = getattr(reply, 'view', None)
    return view is None or (
        view.job_id == job.job_id and view.workspace == job.workspace
    )


def _no_reply_error(
    request: typing.Any, may_have_run: bool
) -> errors.BasilspindleError:
    if may_have_run:
        return errors.OutcomeUnknown(
            'the owner of the workspace was called but did not answer in '
            'time; query the job by its id before submitting it again',
            job_id=_job_id(request),
        )
    return errors.NotReady(
        'no daemon currently owns the workspace; retry later',
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _job_id(request: typing.Any) -> str:
    if isinstance(request, messages.Submit):
        return request.job.job_id
    return getattr(request, 'job_id', '')
