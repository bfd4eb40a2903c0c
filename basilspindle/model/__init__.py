"""Define the data types that all packages share."""

from basilspindle.model.job import Job
from basilspindle.model.job_view import JobView
from basilspindle.model.priority import Priority
from basilspindle.model.resources import Resources
from basilspindle.model.running_task import RunningTask
from basilspindle.model.state import State
from basilspindle.model.task_end import TaskEnd
from basilspindle.model.task_order import TaskOrder
from basilspindle.model.task_result import TaskResult

__all__ = [
    'Job',
    'JobView',
    'Priority',
    'Resources',
    'RunningTask',
    'State',
    'TaskEnd',
    'TaskOrder',
    'TaskResult',
]
