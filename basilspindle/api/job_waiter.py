"""Follow one request from its submission to its result."""

import contextlib

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import routing

_POLL_MS = 5_000
_MIN_CALL_MS = 500
_CANCEL_MS = 1_000
_RETRY_PAUSE_MS = 100


class JobWaiter:
    """Submit a job and wait for its end on behalf of one caller."""

    __slots__ = ('_clock', '_router', '_partition', '_job', '_due_ms', '_sent')

    def __init__(
        self,
        clock: clock_module.Clock,
        router: routing.Router,
        job: model.Job,
        timeout_ms: int,
    ) -> None:
        self._clock = clock
        self._router = router
        self._partition = router.partition_of(job.workspace)
        self._job = job
        self._due_ms = clock.now_ms() + timeout_ms
        # Whether an owner other than the last one may have run the job.
        self._sent = False

    async def submit(self, wait_ms: int = 0) -> messages.Submitted:
        """Hand the job to its workspace's owner; wait there for its end."""
        request = messages.Submit(
            partition=self._partition, job=self._job, wait_ms=wait_ms
        )
        return await self._router.call(
            request, max(_MIN_CALL_MS, self._left_ms()), self._note_repeat
        )

    def _note_repeat(self) -> None:
        self._sent = True

    async def result(self) -> model.JobView:
        """Submit and wait for the end.

        Raises ``DeadlineExceeded`` at the timeout; its ``ran`` is ``no``
        only if the job was cancelled before any of its tasks started.
        """
        try:
            view = (await self.submit(self._wait_ms())).view
            while view is None or not view.state.final:
                if self._left_ms() <= 0:
                    break
                view = await self._view()
            else:
                return view
        except errors.BasilspindleError as error:
            if self._sent:
                error.ran = errors.Ran.UNKNOWN
                error.job_id = self._job.job_id
            # A refused job needs no cancellation.
            if error.ran is not errors.Ran.NO:
                await self._cancel()
            raise
        except BaseException:
            await self._cancel()
            raise
        raise await self._timeout()

    def _wait_ms(self) -> int:
        return max(0, min(_POLL_MS, self._left_ms()))

    def _left_ms(self) -> int:
        return self._due_ms - self._clock.now_ms()

    async def _view(self) -> model.JobView | None:
        wait_ms = self._wait_ms()
        request = messages.View(
            partition=self._partition,
            workspace=self._job.workspace,
            job_id=self._job.job_id,
            wait_ms=wait_ms,
        )
        try:
            reply = await self._router.call(request, wait_ms + _MIN_CALL_MS)
        except errors.NotFound:
            # A new owner does not know a job that was never in the log;
            # the same job id makes this the same job.
            self._sent = True
            return (await self.submit(wait_ms)).view
        except (errors.OutcomeUnknown, errors.NotReady):
            # Either may come at once and again.
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)
            return None
        return reply.view

    async def _cancel(self) -> model.JobView | None:
        """Cancel a job that nobody can ask for after its connection."""
        if self._job.durable:
            return None
        request = messages.Cancel(
            partition=self._partition,
            workspace=self._job.workspace,
            job_id=self._job.job_id,
        )
        with contextlib.suppress(errors.BasilspindleError):
            reply = await self._router.call(request, _CANCEL_MS)
            return reply.view
        return None

    async def _timeout(self) -> errors.BasilspindleError:
        view = await self._cancel()
        untouched = view is not None and _never_started(view)
        ran = errors.Ran.UNKNOWN
        if untouched and not self._sent:
            ran = errors.Ran.NO
        advice = (
            'ask for the job by its id'
            if self._job.durable
            else 'submit it again'
        )
        return errors.DeadlineExceeded(
            f'the request did not end in time; {advice}',
            ran=ran,
            job_id=self._job.job_id,
        )


def _never_started(view: model.JobView) -> bool:
    # A view holds a bounded number of results; those left out may have
    # been started.
    complete = len(view.results) == view.tasks
    return complete and not any(result.attempts for result in view.results)
