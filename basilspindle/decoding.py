"""Name the errors that decoders raise for bytes from elsewhere."""

import typing

import msgspec

# msgspec raises RecursionError for values that are nested too deeply, and
# bytes that are no text, or numbers that are too large, show as the others.
FAULTS: typing.Final = (
    msgspec.MsgspecError,
    RecursionError,
    ValueError,
    OverflowError,
)
# Largest integer that JSON numbers hold exactly, and far beyond any amount or
# time. Decoders reject larger ones: sums of them still fit the log's format.
MAX_INTEGER: typing.Final = 2**53 - 1

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# The same without negative values, where no other error names them.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
