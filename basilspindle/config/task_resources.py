"""Describe what one task of a kind needs."""

import typing

import msgspec

_MOST = 1_000_000_000

Amount = typing.Annotated[
    int,
    msgspec.Meta(
        ge=0,
        le=_MOST,
        description=f'a whole number from 0 to {_MOST}',
    ),
]


class TaskResources(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of one task; a task always takes one slot."""

    cpu_millicores: Amount
    memory_mb: Amount
    accelerators: Amount = 0
