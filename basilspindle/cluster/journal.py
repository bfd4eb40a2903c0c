"""Name what ownership asks of the journal of a partition."""

import collections.abc
import types
import typing


class JournalState(typing.Protocol):
    """State derived from the stream."""

    released: bool


class Journal(typing.Protocol):
    """Claim and release one partition in its stream.

    ``epoch`` is that of the own claim, 0 without one. ``assured_at_ms``
    is the monotonic time at which the last answered read of the tail was
    sent that found no foreign claim; far in the past if there was none.
    ``on_deposed`` is called without arguments.
    """

    epoch: int
    latest_epoch: int
    latest_claimant: str
    is_owner: bool
    assured_at_ms: int
    state: JournalState
    on_deposed: collections.abc.Callable[[], None] | None

    async def __aenter__(self) -> typing.Any:
        """Open the journal without reading the stream."""

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Close the journal without a release."""

    async def wait_replayed(self) -> None:
        """Wait until the tail of the stream was read once."""

    async def claim(self) -> int:
        """Append a claim, read up to it and return its epoch."""

    async def release(self) -> None:
        """Append a snapshot of all live jobs and a release."""

    def follow(self, on: bool) -> None:
        """Start or stop reading the stream."""


OpenJournal = collections.abc.Callable[[int], Journal]
