"""Describe what operators decide about workers."""

import typing

import msgspec

WorkerId = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$',
        description='the id of a worker as the VM list has it',
    ),
]


class Workers(msgspec.Struct, frozen=True, kw_only=True):
    """Workers that get no new work, by id."""

    drained: list[WorkerId] = []
