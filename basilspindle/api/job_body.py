"""Define the JSON body of a job."""

import msgspec

from basilspindle import model


class ResultBody(msgspec.Struct, frozen=True, kw_only=True):
    """An ended task; ``result`` is the JSON value that it returned."""

    index: int
    state: model.State
    attempts: int
    worker_id: str
    result: msgspec.Raw
    error: str


class JobBody(msgspec.Struct, frozen=True, kw_only=True):
    """A job as shown to callers of its workspace."""

    job_id: str
    workspace: str
    queue: str
    kind: str
    state: model.State
    tasks: int
    counts: dict[str, int]
    submitted_wall_ms: int
    results: list[ResultBody]
    reason: str


def from_view(view: model.JobView, max_results: int) -> JobBody:
    """Return the body of a job with its first ``max_results`` results."""
    results = [
        ResultBody(
            index=result.index,
            state=result.state,
            attempts=result.attempts,
            worker_id=result.worker_id,
            result=msgspec.Raw(result.result or b'null'),
            error=result.error,
        )
        for result in view.results[:max_results]
    ]
    return JobBody(
        job_id=view.job_id,
        workspace=view.workspace,
        queue=view.queue,
        kind=view.kind,
        state=view.state,
        tasks=view.tasks,
        counts=view.counts,
        submitted_wall_ms=view.submitted_wall_ms,
        results=results,
        reason=view.reason,
    )
