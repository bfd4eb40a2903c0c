"""Serve the HTTP routes for callers: submit, show, list and cancel jobs."""

import asyncio
import contextlib
import typing

import litestar
import msgspec

from basilspindle.api import events as api_events
from basilspindle.api import job_body
from basilspindle.api import job_waiter
from basilspindle.api import problem
from basilspindle.api import services as services_module
from basilspindle import errors
from basilspindle import events
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import routing

_SUBMIT_TIMEOUT_MS = 8_000
# Longer than another daemon needs to take over from a failed owner.
_LOOKUP_TIMEOUT_MS = 8_000
_MAX_WAIT_MS = 15_000
_DEFAULT_PAGE_RESULTS = 100


class SubmittedBody(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted job; ``repeated`` if it had been accepted before."""

    job_id: str
    workspace: str
    repeated: bool


class JobListBody(msgspec.Struct, frozen=True, kw_only=True):
    """One page of jobs; pass its last id as ``after`` for the next page."""

    jobs: list[job_body.JobBody]
    more: bool


def _authorization(request: litestar.Request) -> str:
    return request.headers.get('authorization', '')


def _validated_wait_ms(value: int) -> int:
    if not 0 <= value <= _MAX_WAIT_MS:
        raise errors.BadRequest(f'wait_ms must be from 0 to {_MAX_WAIT_MS}')
    return value


def routes(services: services_module.Services) -> list[object]:
    """Return the routes for callers."""
    max_results = services.limits.max_page_results

    def make_body(view: model.JobView) -> job_body.JobBody:
        return job_body.from_view(view, max_results)

    @litestar.post('/v1/requests', status_code=200)
    async def run_request(request: litestar.Request) -> job_body.JobBody:
        """Run a job and return its result in the response."""
        job = services.admission.build_job(
            await request.body(),
            _authorization(request),
            request.headers.get('idempotency-key', ''),
            caller_waits=True,
        )
        timing = services.store.current.document.timing
        calls = routing.Calls(services.clock)
        with (
            _log_failed_submission(job, calls),
            services.request_limiter.admit(),
        ):
            waiter = job_waiter.JobWaiter(
                services.clock,
                services.router,
                job,
                timing.request_max_ms,
                calls,
            )
            return make_body(
                await _result_unless_disconnected(request, waiter)
            )

    @litestar.post('/v1/jobs', status_code=201)
    async def submit_job(request: litestar.Request) -> SubmittedBody:
        """Accept a job whose result is fetched with later requests."""
        job = services.admission.build_job(
            await request.body(),
            _authorization(request),
            request.headers.get('idempotency-key', ''),
            caller_waits=False,
        )
        calls = routing.Calls(services.clock)
        waiter = job_waiter.JobWaiter(
            services.clock, services.router, job, _SUBMIT_TIMEOUT_MS, calls
        )
        with _log_failed_submission(job, calls):
            reply = await waiter.submit()
        return SubmittedBody(
            job_id=reply.job_id,
            workspace=job.workspace,
            repeated=reply.repeated,
        )

    @litestar.get('/v1/jobs')
    async def list_jobs(
        request: litestar.Request, after: str = '', limit: int | None = None
    ) -> JobListBody:
        """List the jobs of the key's workspace."""
        workspace = _caller_workspace(services, request)
        if limit is None:
            limit = min(_DEFAULT_PAGE_RESULTS, max_results)
        if not 1 <= limit <= max_results:
            raise errors.BadRequest(f'limit must be from 1 to {max_results}')
        reply = await services.router.call(
            messages.ListJobs(
                partition=services.router.partition_of(workspace),
                workspace=workspace,
                after=after,
                limit=limit,
            ),
            _LOOKUP_TIMEOUT_MS,
        )
        return JobListBody(
            jobs=[make_body(view) for view in reply.views],
            more=reply.more,
        )

    @litestar.get('/v1/jobs/{job_id:str}')
    async def show_job(
        request: litestar.Request,
        job_id: str,
        wait_ms: int = 0,
        queue: str = 'default',
    ) -> job_body.JobBody:
        """Show a job after waiting up to ``wait_ms`` for it to end."""
        workspace, key_id = services.admission.authorize_queue(
            _authorization(request), queue
        )
        lookup = messages.View(
            partition=services.router.partition_of(workspace),
            workspace=workspace,
            job_id=job_id,
            wait_ms=_validated_wait_ms(wait_ms),
        )
        if not key_id:
            await _check_queue(services, lookup, queue)
        return make_body(
            await _call_for_view(
                services, lookup, wait_ms + _LOOKUP_TIMEOUT_MS
            )
        )

    @litestar.delete('/v1/jobs/{job_id:str}', status_code=200)
    async def cancel_job(
        request: litestar.Request, job_id: str
    ) -> job_body.JobBody:
        """Cancel a job; tasks that have ended keep their outcome."""
        workspace = _caller_workspace(services, request)
        cancel = messages.Cancel(
            partition=services.router.partition_of(workspace),
            workspace=workspace,
            job_id=job_id,
        )
        return make_body(
            await _call_for_view(services, cancel, _SUBMIT_TIMEOUT_MS)
        )

    return [run_request, submit_job, list_jobs, show_job, cancel_job]


@contextlib.contextmanager
def _log_failed_submission(
    job: model.Job, calls: routing.Calls
) -> typing.Iterator[None]:
    """Log who refused a submission, or left it open, after which calls."""
    try:
        yield
    except errors.BasilspindleError as error:
        answered = problem.as_answered(error)
        events.emit(
            api_events.SUBMIT_FAILED,
            job=job.job_id,
            status=answered.status,
            kind=error.kind,
            ran=answered.ran,
            refused_by=calls.refused_by,
            calls=calls.count,
            outcomes=calls.describe(),
            spent_ms=calls.spent_ms,
        )
        raise


async def _call_for_view(
    services: services_module.Services,
    request: messages.View | messages.Cancel,
    timeout_ms: int,
) -> model.JobView:
    """Return the job that the owner replies with.

    An unknown job may have run and been dropped since, so ``NotFound`` is
    raised with ``ran`` unknown.
    """
    try:
        reply = await services.router.call(request, timeout_ms)
    except errors.NotFound as error:
        raise errors.NotFound(
            error.message, ran=errors.Ran.UNKNOWN, job_id=request.job_id
        ) from None
    return reply.view


async def _check_queue(
    services: services_module.Services, lookup: messages.View, queue: str
) -> None:
    """Raise ``NotFound`` for a job that was not submitted to the queue.

    Limits callers without a key to the jobs of their open queue. The job id
    alone grants no access: it is derived from the idempotency key, which
    can be guessed.
    """
    immediate = msgspec.structs.replace(lookup, wait_ms=0)
    view = await _call_for_view(services, immediate, _LOOKUP_TIMEOUT_MS)
    if view.queue != queue:
        raise errors.NotFound(
            f'queue {queue!r} has no job with this id; check the id',
            ran=errors.Ran.UNKNOWN,
            job_id=lookup.job_id,
        )


async def _result_unless_disconnected(
    request: litestar.Request, waiter: job_waiter.JobWaiter
) -> model.JobView:
    """Return the result; raise ``CallerGone`` if the caller disconnects."""
    result = asyncio.ensure_future(waiter.wait_for_result())
    disconnect = asyncio.ensure_future(_wait_for_disconnect(request))
    try:
        await asyncio.wait(
            {result, disconnect}, return_when=asyncio.FIRST_COMPLETED
        )
        if result.done():
            return await result
        result.cancel()
        await asyncio.wait({result})
        raise errors.CallerGone(
            'the caller closed the connection before the job ended; look up '
            'the job if it was submitted with an idempotency key'
        )
    finally:
        disconnect.cancel()
        result.cancel()


async def _wait_for_disconnect(request: litestar.Request) -> None:
    # The body has been read, so the only message left is the disconnect.
    while (await request.receive())['type'] != 'http.disconnect':
        pass


def _caller_workspace(
    services: services_module.Services, request: litestar.Request
) -> str:
    identity = services.admission.authenticate(_authorization(request))
    if not identity.workspace:
        raise errors.Forbidden(
            'an operator key has no jobs; use a caller key of the workspace'
        )
    return identity.workspace
