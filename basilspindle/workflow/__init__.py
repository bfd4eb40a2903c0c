"""Model jobs of several steps and their progress."""

from basilspindle.workflow.advice_terms import AdviceTerms
from basilspindle.workflow.definition import JobDefinition
from basilspindle.workflow.job import Job
from basilspindle.workflow.job_state import JobState
from basilspindle.workflow.need import Need
from basilspindle.workflow.step import Step
from basilspindle.workflow.step_run import StepRun
from basilspindle.workflow.task import Task
from basilspindle.workflow.task_state import TaskState
from basilspindle.workflow.ticket import Ticket

__all__ = [
    'AdviceTerms',
    'Job',
    'JobDefinition',
    'JobState',
    'Need',
    'Step',
    'StepRun',
    'Task',
    'TaskState',
    'Ticket',
]
