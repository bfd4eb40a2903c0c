"""Find the owner of a workspace's partition and pass calls on to it."""

import asyncio
import collections.abc
import contextlib
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import messages
from basilspindle.routing import events as routing_events
from basilspindle.routing import retry_budget

_OWNER_POLL_MS = 50
_RETRY_PAUSE_MS = 100
# A paused owner does not answer; its successor is asked instead.
_OWNER_CHECK_MS = 200
# Longer than an owner takes to answer while the log is slow. A call on a
# connection that has gone silent is repeated on another one after this.
_ATTEMPT_TIMEOUT_MS = 6_000
_RETRY_AFTER_MS = 1_000

Handler = collections.abc.Callable[
    [typing.Any], collections.abc.Awaitable[typing.Any]
]


class OwnerLookup(typing.Protocol):
    """Know which daemon owns a partition."""

    def partition_of(self, workspace: str) -> int:
        """Return the partition of a workspace."""

    def owner_address(self, partition: int) -> str | None:
        """Return the peer address of the active owner.

        Returns '' if it is this daemon and None if there is none.
        """


class Caller(typing.Protocol):
    """Call another daemon."""

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Return the reply or raise the other side's error."""


class Router:
    """Pass calls to owners, again if the owner changes, until a deadline.

    Every call that it passes on may be repeated: a submission carries its
    job id, and the owner accepts a job id once.
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
    ) -> typing.Any:
        """Return the owner's reply to a request with a ``partition``.

        Raises the owner's error, ``NotReady`` if no owner was found and
        the request was never sent, and ``OutcomeUnknown`` if it was sent
        and not answered within ``timeout_ms``. A refusal of a request that
        an earlier owner may have received does not say that it was not
        run. ``on_retry`` is called before such a request is sent again.
        """
        deadline_ms = self._clock.now_ms() + timeout_ms
        sent = False
        self._retry_budget.count_call()
        while True:
            address = await self._wait_for_owner(request, deadline_ms, sent)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if sent and on_retry is not None:
                on_retry()
            try:
                return await self._call_owner(address, request, remaining_ms)
            except (
                errors.PeerUnavailable,
                errors.NotOwner,
                errors.Deposed,
                errors.NotReady,
            ) as error:
                # An owner that did nothing gets no extra work.
                sent = sent or error.ran is not errors.Ran.NO
            except (errors.PeerOutcomeUnknown, errors.DeadlineExceeded):
                sent = True
                self._take_retry(request)
            except errors.BasilspindleError as error:
                if sent and error.ran is errors.Ran.NO:
                    error.ran = errors.Ran.UNKNOWN
                    error.job_id = error.job_id or _job_id(request)
                raise
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)

    def _take_retry(self, request: typing.Any) -> None:
        if not self._retry_budget.try_acquire():
            events.emit(routing_events.RETRY_BUDGET_SPENT)
            raise _timeout_error(request, True)

    async def _wait_for_owner(
        self,
        request: typing.Any,
        deadline_ms: int,
        sent: bool,
    ) -> str:
        while True:
            address = self._owners.owner_address(request.partition)
            if self._clock.now_ms() >= deadline_ms:
                raise _timeout_error(request, sent)
            if address is not None:
                return address
            await self._clock.sleep_ms(_OWNER_POLL_MS)

    async def _call_owner(
        self, address: str, request: typing.Any, remaining_ms: int
    ) -> typing.Any:
        if not address:
            handler = self._handlers[type(request)]
            return await self._clock.wait_ms(handler(request), remaining_ms)
        attempt_ms = getattr(request, 'wait_ms', 0) + _ATTEMPT_TIMEOUT_MS
        call = asyncio.ensure_future(
            self._caller.call(address, request, min(remaining_ms, attempt_ms))
        )
        try:
            while not await self._is_done(call):
                owner = self._owners.owner_address(request.partition)
                if owner != address:
                    raise errors.NotOwner(
                        'the partition moved during the call; call the new '
                        'owner',
                        ran=errors.Ran.UNKNOWN,
                    )
            return call.result()
        finally:
            call.cancel()

    async def _is_done(self, call: asyncio.Future[typing.Any]) -> bool:
        with contextlib.suppress(errors.DeadlineExceeded):
            await self._clock.wait_ms(asyncio.wait({call}), _OWNER_CHECK_MS)
        return call.done()


def _timeout_error(
    request: typing.Any, sent: bool
) -> errors.BasilspindleError:
    if sent:
        return errors.OutcomeUnknown(
            'the owner of the workspace was called and did not answer in '
            'time; '
            'ask for the job by its id before submitting it again',
            job_id=_job_id(request),
        )
    return errors.NotReady(
        'no daemon owns the workspace at the moment; try again',
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _job_id(request: typing.Any) -> str:
    if isinstance(request, messages.Submit):
        return request.job.job_id
    return getattr(request, 'job_id', '')
