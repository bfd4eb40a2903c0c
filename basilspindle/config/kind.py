"""Define a kind of work."""

import typing

import msgspec

from basilspindle.config import task_resources
from basilspindle import model

_MAX_ATTEMPTS = 100
_YEAR_MS = 31_622_400_000

Attempts = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_MAX_ATTEMPTS,
        description=f'a whole number from 1 to {_MAX_ATTEMPTS}',
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
    """Defaults and properties of all work of one kind.

    ``run_time_ms`` is the expected run time of a task. ``deadline_ms`` is
    the time after acceptance at which queued tasks expire; 0 means never.
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
        """Return the priority as ``model.Priority``."""
        return model.Priority[self.priority.upper()]

    def model_resources(self) -> model.Resources:
        """Return the resources of one task, including its slot."""
        return model.Resources(
            self.resources.cpu_millicores,
            self.resources.memory_mb,
            self.resources.accelerators,
            1,
        )
