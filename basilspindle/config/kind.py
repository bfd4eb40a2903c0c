"""Describe a kind of work."""

import typing

import msgspec

from basilspindle.config import task_resources
from basilspindle import model

_MOST_ATTEMPTS = 100
_YEAR_MS = 31_622_400_000

Attempts = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_MOST_ATTEMPTS,
        description=f'a whole number from 1 to {_MOST_ATTEMPTS}',
    ),
]
RunTimeMs = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_YEAR_MS,
        description=f'a whole number of ms from 1 to {_YEAR_MS}',
    ),
]
DeadlineMs = typing.Annotated[
    int,
    msgspec.Meta(
        ge=0,
        le=_YEAR_MS,
        description=f'a whole number of ms from 0 (none) to {_YEAR_MS}',
    ),
]


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """Defaults and promises of all work of one kind.

    ``run_time_ms`` is the expected run time of a task. ``deadline_ms`` is
    the time from acceptance after which queued tasks expire; 0 is none.
    """

    priority: typing.Literal['urgent', 'service', 'batch']
    resources: task_resources.TaskResources
    run_time_ms: RunTimeMs
    deadline_ms: DeadlineMs = 0
    idempotent: bool = False
    gang: bool = False
    service: bool = False
    max_attempts: Attempts = 3

    def model_priority(self) -> model.Priority:
        """Return the priority class in the order of the model."""
        return model.Priority[self.priority.upper()]

    def model_resources(self) -> model.Resources:
        """Return the resources of one task, which takes one slot."""
        return model.Resources(
            self.resources.cpu_millicores,
            self.resources.memory_mb,
            self.resources.accelerators,
            1,
        )
