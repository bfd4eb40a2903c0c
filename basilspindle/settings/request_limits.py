"""Define the limits on API requests to one daemon."""

import typing

import msgspec

_MAX_SIZE_BYTES = 16 * 1024 * 1024
_MAX_COUNT = 1_000_000

Bytes = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_MAX_SIZE_BYTES,
        description=f'a whole number of bytes from 1 to {_MAX_SIZE_BYTES}',
    ),
]
Count = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=_MAX_COUNT,
        description=f'a whole number from 1 to {_MAX_COUNT}',
    ),
]


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on requests to the API.

    ``max_configuration_bytes`` replaces ``max_body_bytes`` for requests
    that publish a configuration. ``max_waiting_requests`` limits the
    requests that wait for a result at the same time.
    """

    max_body_bytes: Bytes = 262_144
    max_input_bytes: Bytes = 65_536
    max_result_bytes: Bytes = 65_536
    max_configuration_bytes: Bytes = 4_194_304
    max_tasks: Count = 10_000
    max_page_results: Count = 1_000
    max_waiting_requests: Count = 10_000
