"""Define the states of a task."""

import enum


class TaskState(enum.IntEnum):
    """State of a task; STARTING, RUNNING and STOPPING occupy a worker."""

    WAITING = 0
    STARTING = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4
