"""Decode and validate the request body of a submitted job."""

import msgspec

from basilspindle.cell import configuration as configuration_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle.workflow import definition as definition_module
from basilspindle.workflow import need as need_module
from basilspindle.workflow import step as step_module

_MAX_SPEC_BYTES = 4_000
# Below the limit that the store sets on one record.
_MAX_DEFINITION_BYTES = 200_000


class _Step(msgspec.Struct):
    count: decoding.Integer = 1
    cpu: decoding.Integer = 0
    mem_mb: decoding.Integer = 0
    gpus: decoding.Integer = 0
    estimate_ms: decoding.Number = 0
    after: list[decoding.Integer] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # Label that a worker must have to run the tasks; '' for any worker.
    requires: str = ''
    # Rack of the input data, where the tasks run fastest.
    affinity: str = ''
    # Maximum number of tasks of the step on one worker; 0 for no limit.
    anti_affinity: decoding.Integer = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: decoding.Number = 0
    fills: bool = False
    may_miss: decoding.Integer = 0


class _Job(msgspec.Struct):
    # Payload that is passed to every task.
    spec: str = ''
    steps: list[_Step] = []
    max_runs: decoding.Integer = 0
    first_run_ms: decoding.Integer = 0
    interval_ms: decoding.Integer = 0


_DECODER = msgspec.json.Decoder(_Job)


def decode(
    body: bytes,
    job_id: str,
    workspace: str,
    queue: configuration_module.QueueConfig,
    accepted_wall_ms: int,
) -> definition_module.JobDefinition:
    """Return the job that a request body defines; raises ``BadRequest``."""
    try:
        job = _DECODER.decode(body)
    except decoding.FAULTS as error:
        raise errors.BadRequest(
            f'the body is not a valid job: {error}'
        ) from error
    _validate(job)
    definition = definition_module.JobDefinition(
        job_id,
        workspace,
        queue.name,
        queue.pool,
        job.spec,
        tuple(_to_step(step) for step in job.steps),
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_latency_ms,
        accepted_wall_ms,
        job.max_runs,
        job.first_run_ms,
        job.interval_ms,
        queue.advice,
    )
    size_bytes = len(msgspec.msgpack.encode(definition))
    if size_bytes > _MAX_DEFINITION_BYTES:
        raise errors.TooLarge(
            f'the job takes {size_bytes} bytes to store, more than '
            f'{_MAX_DEFINITION_BYTES}; divide its steps among several jobs'
        )
    return definition


def _validate(job: _Job) -> None:
    if len(job.spec.encode()) > _MAX_SPEC_BYTES:
        raise errors.BadRequest(
            f'spec is longer than {_MAX_SPEC_BYTES} bytes; shorten it'
        )
    if not job.steps:
        raise errors.BadRequest('a job needs at least one step')
    if sum(step.count for step in job.steps) > definition_module.MAX_TASKS:
        raise errors.BadRequest(
            f'a job may have at most {definition_module.MAX_TASKS} tasks'
        )
    for index, step in enumerate(job.steps):
        if step.count < 1:
            raise errors.BadRequest(f'step {index}: count must be at least 1')
        amounts = (step.cpu, step.mem_mb, step.gpus, step.estimate_ms)
        limits = (step.target_ms, step.anti_affinity, step.may_miss)
        if min(*amounts, *limits) < 0:
            raise errors.BadRequest(
                f'step {index}: resources, estimate_ms, target_ms, '
                'anti_affinity and may_miss must not be negative'
            )
        if any(not 0 <= earlier < index for earlier in step.after):
            raise errors.BadRequest(
                f'step {index}: after may only contain indexes of '
                'earlier steps'
            )
    if job.max_runs < 0 or job.interval_ms < 0:
        raise errors.BadRequest(
            'max_runs and interval_ms must not be negative'
        )


def _to_step(step: _Step) -> step_module.Step:
    return step_module.Step(
        step.count,
        need_module.Need(step.cpu, step.mem_mb, step.gpus),
        int(step.estimate_ms),
        tuple(step.after),
        step.checkpointing,
        step.gang,
        step.same_rack,
        step.requires,
        step.affinity,
        step.anti_affinity,
        step.speculative,
        step.long_running,
        step.image,
        int(step.target_ms),
        step.fills,
        step.may_miss,
    )
