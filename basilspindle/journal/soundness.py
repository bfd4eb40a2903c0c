"""Tell which jobs and task numbers of the stream can be used."""

from basilspindle import decoding
from basilspindle import events
from basilspindle.journal import events as journal_events
from basilspindle import model


def check_job(job: model.Job) -> bool:
    """Tell whether a recorded job can be run; log it otherwise.

    A negative amount would give its workspace and the workers capacity that
    does not exist.
    """
    amounts = (
        job.resources.cpu_millicores,
        job.resources.memory_mb,
        job.resources.accelerators,
        job.resources.slots,
    )
    sound = all(0 <= amount <= decoding.MAX_INTEGER for amount in amounts)
    if not sound:
        events.emit(
            journal_events.JOB_UNUSABLE,
            job_id=job.job_id,
            workspace=job.workspace,
            resources=amounts,
        )
    return sound


def has_task(job: model.Job, index: int) -> bool:
    """Tell whether a job has a task with an index.

    Others would count towards the end of the job.
    """
    return 0 <= index < job.tasks
