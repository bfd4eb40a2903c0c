"""Bound what this daemon takes from callers."""

import typing

import msgspec

_MOST_BYTES = 16 * 1024 * 1024
_MOST = 1_000_000

Bytes = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_MOST_BYTES,
        description=f'a whole number of bytes from 1 to {_MOST_BYTES}',
    ),
]
Count = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_MOST,
        description=f'a whole number from 1 to {_MOST}',
    ),
]


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on one request; a configuration has a limit of its own."""

    max_body_bytes: Bytes = 262_144
    max_input_bytes: Bytes = 65_536
    max_result_bytes: Bytes = 65_536
    max_configuration_bytes: Bytes = 4_194_304
    max_tasks: Count = 10_000
    max_page_results: Count = 1_000
    max_waiting_requests: Count = 10_000
