"""Define the merged configuration."""

import typing

import msgspec

from basilspindle.config import key as key_module
from basilspindle.config import kind as kind_module
from basilspindle.config import queue as queue_module
from basilspindle.config import timing as timing_module
from basilspindle.config import workers as workers_module
from basilspindle.config import workspace as workspace_module
from basilspindle import document

_MAX_PARTITIONS = 1_024

Partitions = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_MAX_PARTITIONS,
        description=f'a whole number from 1 to {_MAX_PARTITIONS}',
    ),
]


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of one cell, merged from base and overlay.

    ``overlay_may_set`` lists the paths that the overlay may set, as JSON
    pointers in which "*" matches any member name.
    """

    cell: document.Name
    regions: list[document.Name]
    workspaces: dict[document.Name, workspace_module.Workspace]
    kinds: dict[document.Name, kind_module.Kind]
    partitions: Partitions = 12
    overlay_may_set: list[str] = []
    keys: dict[document.Name, key_module.Key] = {}
    queues: dict[document.Name, queue_module.Queue] = {}
    workers: workers_module.Workers = workers_module.Workers()
    timing: timing_module.Timing = timing_module.Timing()
