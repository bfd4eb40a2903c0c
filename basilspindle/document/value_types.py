"""Define value types that documents share.

The description of a type is used in remedies: "set it to ...".
"""

import typing

import msgspec

NAME_PATTERN = r'^[a-z0-9][a-z0-9-]{0,62}$'
_DAY_MS = 86_400_000

Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=NAME_PATTERN,
        description='1 to 63 lower-case letters, digits and dashes, the first '
        'of them a letter or digit',
    ),
]
DurationMs = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_DAY_MS,
        description=f'a whole number of ms from 1 to {_DAY_MS}',
    ),
]
Sha256 = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[0-9a-f]{64}$',
        description='64 lower-case hexadecimal digits, as printed by '
        '"basilspindle key generate"',
    ),
]
