"""Define what ownership requires of the journal of a partition."""

import collections.abc
import types
import typing


class JournalState(typing.Protocol):
    """State replayed from the stream."""

    released: bool


class Journal(typing.Protocol):
    """Claim and release a partition in its stream.

    ``epoch`` is that of this daemon's claim, 0 without one.
    ``assured_at_ms`` is the monotonic send time of the last answered read
    of the tail that found no other daemon's claim; far in the past if
    there was none. ``on_deposed`` is called, without arguments, when
    another daemon's claim supersedes this one's.
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
        """Close the journal without releasing the partition."""

    async def wait_replayed(self) -> None:
        """Wait until the stream was read up to its tail once."""

    async def claim(self) -> int:
        """Append a claim, read the stream up to it, return its epoch."""

    async def release(self) -> None:
        """Append a snapshot of all live jobs and a release."""

    def follow(self, on: bool) -> None:
        """Start or stop reading the stream."""


OpenJournal = collections.abc.Callable[[int], Journal]
