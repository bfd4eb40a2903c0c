"""Parse the ids of tasks."""

# Belongs to no job, since the ids of jobs are not empty.
_NO_TASK = ('', -1)


def parse(task_id: str) -> tuple[str, int]:
    """Return the job id and the index in the job.

    An id that no job can have, such as a worker of another build may
    report, gives an empty job id.
    """
    job_id, _, digits = task_id.rpartition('/')
    try:
        index = int(digits)
    except ValueError:
        return _NO_TASK
    if index < 0 or task_id != f'{job_id}/{index}':
        return _NO_TASK
    return job_id, index
