"""Check the jobs that other daemons submit."""

from basilspindle.coordinator import reported
from basilspindle import decoding
from basilspindle import model


def check(job: model.Job) -> str:
    """Return why no caller can have submitted a job; '' if one can."""
    if not job.job_id or not job.workspace:
        return 'the id of the job or its workspace is empty'
    for name, number in (
        ('run_time_ms', job.run_time_ms),
        ('deadline_ms', job.deadline_ms),
        ('max_attempts', job.max_attempts),
        ('submitted_wall_ms', job.submitted_wall_ms),
    ):
        if not 0 <= number <= decoding.MAX_INTEGER:
            return f'{name} is out of range'
    return reported.check_resources(job.resources)
