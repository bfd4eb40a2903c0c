"""Define a workspace."""

import typing

import msgspec

from basilspindle.config import limit as limit_module
from basilspindle import document

_MAX_QUEUED = 1_000_000
_MAX_SHARE = 1_000_000

Share = typing.Annotated[
    float,
    msgspec.Meta(
        gt=0,
        le=_MAX_SHARE,
        description=f'a number above 0 and up to {_MAX_SHARE}',
    ),
]
QueuedTasks = typing.Annotated[
    int,
    msgspec.Meta(
        ge=0,
        le=_MAX_QUEUED,
        description=f'a whole number of tasks from 0 to {_MAX_QUEUED}',
    ),
]


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """Share (relative weight), limits and kinds of one workspace."""

    share: Share
    kinds: list[document.Name]
    limit: limit_module.Limit = limit_module.Limit()
    max_queued_tasks: QueuedTasks = 10_000
