"""Split the id of a task into its job and index."""


def parse(task_id: str) -> tuple[str, int]:
    """Return (job id, index) of a task id."""
    job_id, _, index = task_id.rpartition('/')
    return job_id, int(index)
