"""Serve callers: submit, wait, look up, list and cancel."""

import asyncio

import litestar
import msgspec

from basilspindle.api import job_body
from basilspindle.api import job_waiter
from basilspindle.api import services as services_module
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages

_SUBMIT_MS = 8_000
# Longer than a takeover after the death of an owner.
_LOOKUP_MS = 8_000
_MAX_WAIT_MS = 15_000
_PAGE = 100


class SubmittedBody(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm an accepted job; ``repeated`` if it was accepted before."""

    job_id: str
    workspace: str
    repeated: bool


class JobListBody(msgspec.Struct, frozen=True, kw_only=True):
    """One page of jobs; pass the last id as ``after`` for the next."""

    jobs: list[job_body.JobBody]
    more: bool


def _authorization(request: litestar.Request) -> str:
    return request.headers.get('authorization', '')


def _wait(value: int) -> int:
    if not 0 <= value <= _MAX_WAIT_MS:
        raise errors.BadRequest(f'wait_ms must be from 0 to {_MAX_WAIT_MS}')
    return value


def routes(services: services_module.Services) -> list[object]:
    """Return the routes for callers."""
    most = services.limits.max_page_results

    def show(view: model.JobView) -> job_body.JobBody:
        return job_body.make(view, most)

    @litestar.post('/v1/requests', status_code=200)
    async def run_request(request: litestar.Request) -> job_body.JobBody:
        """Run work and return its result on the same connection."""
        job = services.admission.build(
            await request.body(),
            _authorization(request),
            request.headers.get('idempotency-key', ''),
            waits=True,
        )
        timing = services.store.current.document.timing
        with services.request_limiter.enter():
            work = job_waiter.JobWaiter(
                services.clock, services.router, job, timing.request_max_ms
            )
            return show(await _watch(request, work))

    @litestar.post('/v1/jobs', status_code=201)
    async def submit_job(request: litestar.Request) -> SubmittedBody:
        """Accept work that is asked for later."""
        job = services.admission.build(
            await request.body(),
            _authorization(request),
            request.headers.get('idempotency-key', ''),
            waits=False,
        )
        work = job_waiter.JobWaiter(
            services.clock, services.router, job, _SUBMIT_MS
        )
        reply = await work.submit()
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
        workspace = _workspace(services, request)
        if limit is None:
            limit = min(_PAGE, most)
        if not 1 <= limit <= most:
            raise errors.BadRequest(f'limit must be from 1 to {most}')
        reply = await services.router.call(
            messages.ListJobs(
                partition=services.router.partition_of(workspace),
                workspace=workspace,
                after=after,
                limit=limit,
            ),
            _LOOKUP_MS,
        )
        return JobListBody(
            jobs=[show(view) for view in reply.views],
            more=reply.more,
        )

    @litestar.get('/v1/jobs/{job_id:str}')
    async def show_job(
        request: litestar.Request,
        job_id: str,
        wait_ms: int = 0,
        queue: str = 'default',
    ) -> job_body.JobBody:
        """Show a job, waiting up to ``wait_ms`` for its end."""
        workspace, key_id = services.admission.workspace_of(
            _authorization(request), queue
        )
        look = messages.View(
            partition=services.router.partition_of(workspace),
            workspace=workspace,
            job_id=job_id,
            wait_ms=_wait(wait_ms),
        )
        if not key_id:
            await _check_queue(services, look, queue)
        return show(await _ask(services, look, wait_ms + _LOOKUP_MS))

    @litestar.delete('/v1/jobs/{job_id:str}', status_code=200)
    async def cancel_job(
        request: litestar.Request, job_id: str
    ) -> job_body.JobBody:
        """Cancel a job; ended tasks keep their outcome."""
        workspace = _workspace(services, request)
        cancel = messages.Cancel(
            partition=services.router.partition_of(workspace),
            workspace=workspace,
            job_id=job_id,
        )
        return show(await _ask(services, cancel, _SUBMIT_MS))

    return [run_request, submit_job, list_jobs, show_job, cancel_job]


async def _ask(
    services: services_module.Services,
    request: messages.View | messages.Cancel,
    timeout_ms: int,
) -> model.JobView:
    """Return a job; a job that is not known any more may have been run."""
    try:
        reply = await services.router.call(request, timeout_ms)
    except errors.NotFound as error:
        raise errors.NotFound(
            error.message, ran=errors.Ran.UNKNOWN, job_id=request.job_id
        ) from None
    return reply.view


async def _check_queue(
    services: services_module.Services, look: messages.View, queue: str
) -> None:
    """Refuse a caller without a key the jobs of other queues.

    The id of a job follows from its idempotency key, which can be guessed.
    """
    now = msgspec.structs.replace(look, wait_ms=0)
    view = await _ask(services, now, _LOOKUP_MS)
    if view.queue != queue:
        raise errors.NotFound(
            f'queue {queue!r} has no such job; check the id',
            ran=errors.Ran.UNKNOWN,
            job_id=look.job_id,
        )


async def _watch(
    request: litestar.Request, work: job_waiter.JobWaiter
) -> model.JobView:
    """Wait for the result, and give up when the caller disconnects."""
    result = asyncio.ensure_future(work.result())
    gone = asyncio.ensure_future(_disconnected(request))
    try:
        await asyncio.wait({result, gone}, return_when=asyncio.FIRST_COMPLETED)
        if result.done():
            return await result
        result.cancel()
        await asyncio.wait({result})
        raise errors.CallerGone(
            'the caller closed the connection before the end; ask for the '
            'job if it has an idempotency key'
        )
    finally:
        gone.cancel()
        result.cancel()


async def _disconnected(request: litestar.Request) -> None:
    # The body was read before, so the next message is the disconnect.
    while (await request.receive())['type'] != 'http.disconnect':
        pass


def _workspace(
    services: services_module.Services, request: litestar.Request
) -> str:
    identity = services.admission.identify(_authorization(request))
    if not identity.workspace:
        raise errors.Forbidden(
            'an operator key has no jobs; use a key of the workspace'
        )
    return identity.workspace
