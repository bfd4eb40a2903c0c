"""Dump the state of a daemon for operators."""

import typing

from basilspindle.cell import leader as leader_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import job as job_module

# A dump lists at most this many jobs and this many workers.
_MAX_ROWS = 1_000


def dump(
    node: str,
    version: int,
    ready: bool,
    leader: leader_module.Leader | None,
) -> dict[str, typing.Any]:
    """Return the state of a daemon; only the leader has jobs and workers."""
    fields: dict[str, typing.Any] = {
        'node': node,
        'configuration_version': version,
        'ready': ready,
        'leads': leader is not None and leader.ready,
    }
    if leader is None:
        return fields
    state = leader.state
    jobs = list(state.table.jobs.values())
    fields['epoch'] = leader.claim.epoch
    fields['store_age_ms'] = leader.store_age_ms
    fields['live_jobs'] = len(jobs)
    fields['ended_jobs'] = len(state.table.ended_jobs)
    fields['closed_domains'] = sorted(state.closed_domains)
    fields['unseen_workers'] = sorted(state.awaited_workers)
    fields['jobs'] = [_dump_job(job) for job in jobs[:_MAX_ROWS]]
    fields['workers'] = [
        _dump_worker(worker)
        for worker in list(state.workers.values())[:_MAX_ROWS]
    ]
    return fields


def _dump_job(job: job_module.Job) -> dict[str, typing.Any]:
    return {
        'job': job.job_id,
        'workspace': job.definition.workspace,
        'queue': job.definition.queue,
        'state': job.state,
        'recorded_state': job.durable_state,
        'steps': [
            {
                'step': run.key,
                'done': run.done,
                'waiting': len(run.waiting),
                'tasks': run.step.count,
                'advised': len(run.advised_worker_ids),
                'may_run_on': len(run.tickets or ()),
            }
            for run in job.runs.values()
        ],
    }


def _dump_worker(worker: worker_module.Worker) -> dict[str, typing.Any]:
    return {
        'worker': worker.worker_id,
        'pool': worker.pool,
        'rack': worker.rack,
        'failure_domain': worker.failure_domain,
        'ready': worker.ready,
        'listed': worker.listed,
        'reported': worker.reported,
        'tasks': len(worker.tasks),
        'cpu_millicores': worker.capacity.cpu_millicores,
        'used_cpu_millicores': worker.used.cpu_millicores,
        'slowness': round(worker.speed.slowness, 2),
        'slowness_deviation': round(worker.speed.deviation, 2),
        'speed_samples': worker.speed.samples,
        'speed_class': worker.speed_class,
        'lag': round(worker.lag, 2),
    }
