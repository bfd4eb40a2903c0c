"""Submit a job and wait for its result."""

import contextlib

from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import routing

_MAX_POLL_WAIT_MS = 5_000
_MIN_CALL_TIMEOUT_MS = 500
_CANCEL_TIMEOUT_MS = 1_000
_RETRY_PAUSE_MS = 100


class JobWaiter:
    """Submit the job of one caller and wait for it to end.

    ``calls`` receives the calls that submit the job.
    """

    __slots__ = (
        '_clock',
        '_router',
        '_partition',
        '_job',
        '_deadline_ms',
        '_may_have_run_elsewhere',
        '_accepted',
        '_calls',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        router: routing.Router,
        job: model.Job,
        timeout_ms: int,
        calls: routing.Calls,
    ) -> None:
        self._clock = clock
        self._calls = calls
        self._router = router
        self._partition = router.partition_of(job.workspace)
        self._job = job
        self._deadline_ms = clock.now_ms() + timeout_ms
        # Whether an earlier owner may have received and run the job.
        self._may_have_run_elsewhere = False
        self._accepted = False

    async def submit(self, wait_ms: int = 0) -> messages.Submitted:
        """Submit to the workspace's owner, which waits for the job's end.

        The owner replies after ``wait_ms`` at the latest.
        """
        request = messages.Submit(
            partition=self._partition, job=self._job, wait_ms=wait_ms
        )
        reply = await self._router.call(
            request,
            max(_MIN_CALL_TIMEOUT_MS, self._remaining_ms()),
            self._note_repeated_call,
            self._calls,
        )
        self._accepted = True
        return reply

    def _note_repeated_call(self) -> None:
        self._may_have_run_elsewhere = True

    async def wait_for_result(self) -> model.JobView:
        """Submit the job and return its view after it has ended.

        Raises ``DeadlineExceeded`` at the timeout; its ``ran`` is ``no``
        only if the job was cancelled before any of its tasks started.
        """
        try:
            view = (await self.submit(self._poll_wait_ms())).view
            while view is None or not view.state.final:
                if self._remaining_ms() <= 0:
                    break
                view = await self._poll()
            else:
                return view
        except errors.BasilspindleError as error:
            # A refused job need not be cancelled.
            may_have_run = self._accepted or self._may_have_run_elsewhere
            if error.ran is errors.Ran.NO and not may_have_run:
                raise
            await self._cancel()
            raise errors.restate(
                error,
                errors.Ran.UNKNOWN,
                error.job_id or self._job.job_id,
            ) from error
        except BaseException:
            await self._cancel()
            raise
        raise await self._timeout_error()

    def _poll_wait_ms(self) -> int:
        return max(0, min(_MAX_POLL_WAIT_MS, self._remaining_ms()))

    def _remaining_ms(self) -> int:
        return self._deadline_ms - self._clock.now_ms()

    async def _poll(self) -> model.JobView | None:
        wait_ms = self._poll_wait_ms()
        request = messages.View(
            partition=self._partition,
            workspace=self._job.workspace,
            job_id=self._job.job_id,
            wait_ms=wait_ms,
        )
        try:
            reply = await self._router.call(
                request, wait_ms + _MIN_CALL_TIMEOUT_MS
            )
        except errors.NotFound:
            # A new owner does not know a job that was not recorded in the
            # log. Submitting again under the same id keeps it one job.
            self._may_have_run_elsewhere = True
            return (await self.submit(wait_ms)).view
        except (errors.OutcomeUnknown, errors.NotReady):
            # Either error can come back at once; do not retry in a loop.
            await self._clock.sleep_ms(_RETRY_PAUSE_MS)
            return None
        return reply.view

    async def _cancel(self) -> model.JobView | None:
        """Cancel the job unless it is durable.

        Once the connection is closed, nobody can fetch the result of a job
        that is not durable.
        """
        if self._job.durable:
            return None
        request = messages.Cancel(
            partition=self._partition,
            workspace=self._job.workspace,
            job_id=self._job.job_id,
        )
        with contextlib.suppress(errors.BasilspindleError):
            reply = await self._router.call(request, _CANCEL_TIMEOUT_MS)
            return reply.view
        return None

    async def _timeout_error(self) -> errors.BasilspindleError:
        view = await self._cancel()
        not_started = view is not None and _never_started(view)
        ran = errors.Ran.UNKNOWN
        if not_started and not self._may_have_run_elsewhere:
            ran = errors.Ran.NO
        advice = (
            'look up the job by its id'
            if self._job.durable
            else 'submit it again'
        )
        return errors.DeadlineExceeded(
            f'the job did not end within the time limit; {advice}',
            ran=ran,
            job_id=self._job.job_id,
        )


def _never_started(view: model.JobView) -> bool:
    # A view holds a limited number of results; tasks whose results are left
    # out may have started.
    complete = len(view.results) == view.tasks
    return complete and not any(result.attempts for result in view.results)
