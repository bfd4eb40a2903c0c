"""Show the state of a daemon to operators."""

import typing

from basilspindle.cell import leader as leader_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import job as job_module

# Jobs and workers that a dump lists at most.
_MOST_ROWS = 1_000


def dump(
    node: str,
    version: int,
    ready: bool,
    leader: leader_module.Leader | None,
) -> dict[str, typing.Any]:
    """Return the state of a daemon; jobs and workers at the leader only."""
    shown: dict[str, typing.Any] = {
        'node': node,
        'configuration_version': version,
        'ready': ready,
        'leads': leader is not None and leader.ready,
    }
    if leader is None:
        return shown
    state = leader.state
    jobs = list(state.table.jobs.values())
    shown['epoch'] = leader.claim.epoch
    shown['store_age_ms'] = leader.store_age_ms
    shown['live_jobs'] = len(jobs)
    shown['ended_jobs'] = len(state.table.ended_jobs)
    shown['unseen_workers'] = sorted(state.unseen_workers)
    shown['jobs'] = [_job(job) for job in jobs[:_MOST_ROWS]]
    shown['workers'] = [
        _worker(worker) for worker in list(state.workers.values())[:_MOST_ROWS]
    ]
    return shown


def _job(job: job_module.Job) -> dict[str, typing.Any]:
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


def _worker(worker: worker_module.Worker) -> dict[str, typing.Any]:
    return {
        'worker': worker.worker_id,
        'pool': worker.pool,
        'rack': worker.rack,
        'ready': worker.ready,
        'listed': worker.listed,
        'reported': worker.reported,
        'tasks': len(worker.tasks),
        'cpu_millicores': worker.capacity.cpu_millicores,
        'used_cpu_millicores': worker.used.cpu_millicores,
        'slowness': round(worker.slowness, 2),
        'lag': round(worker.lag, 2),
    }
