"""Define the resources that one task of a kind needs."""

import typing

import msgspec

_MAX_AMOUNT = 1_000_000_000

Amount = typing.Annotated[
    int,
    msgspec.Meta(
        ge=0,
        le=_MAX_AMOUNT,
        description=f'a whole number from 0 to {_MAX_AMOUNT}',
    ),
]


class TaskResources(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of one task, which also takes one slot."""

    cpu_millicores: Amount
    memory_mb: Amount
    accelerators: Amount = 0
