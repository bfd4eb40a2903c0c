"""Define the settings of individual workers."""

import typing

import msgspec

WorkerId = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$',
        description='the id of a worker, as given in the VM list',
    ),
]


class Workers(msgspec.Struct, frozen=True, kw_only=True):
    """``drained`` lists the ids of workers that get no new work."""

    drained: list[WorkerId] = []
