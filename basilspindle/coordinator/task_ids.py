"""Parse the ids of tasks."""


def parse(task_id: str) -> tuple[str, int]:
    """Return the job id and the index in the job."""
    job_id, _, index = task_id.rpartition('/')
    return job_id, int(index)
