"""Decide from the records of ``control`` which publishes are accepted."""

import msgspec

from basilspindle.config import publication as publication_module
from basilspindle.config import summary as summary_module

_SUMMARIES = 256


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The latest accepted publish and the offset of its record."""

    offset: int
    publication: publication_module.Publication

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.publication.version

    def refresh(self) -> publication_module.Publication:
        """Return the publication as one that was accepted."""
        return msgspec.structs.replace(
            self.publication, refresh=True, accepted_offset=self.offset
        )


class History:
    """Apply records in the order of the log; pure, without time.

    A publish is accepted if it is based on the latest accepted one. It
    names that one by offset, because records may have been trimmed
    before they were read: the loser of a race whose winner was trimmed
    names the same version as the winner did. Such a loser is recognised
    by a later record that names an offset between its own base and the
    first record read, or by a refresh. Until the tail is reached after a
    trim, the head may be such a loser (``settled`` is False). ``proven``
    tells that nothing unseen can have won against the head.
    """

    __slots__ = ('head', 'proven', 'settled', '_unseen', '_summaries')

    def __init__(self) -> None:
        self.head: Head | None = None
        self.proven = True
        self.settled = True
        self._unseen = range(0)
        self._summaries: dict[int, summary_module.Summary] = {}

    @property
    def version(self) -> int:
        """Return the latest accepted version, 0 if there is none."""
        return self.head.version if self.head else 0

    def skip(self, unseen: range) -> None:
        """Note offsets that were trimmed before they were read."""
        self._unseen = unseen
        self.settled = False

    def settle(self) -> None:
        """Note that the tail was reached."""
        self.settled = True

    def apply(
        self, offset: int, publication: publication_module.Publication
    ) -> bool:
        """Apply the next record; tell whether the head changed."""
        if publication.refresh:
            return self._apply_refresh(publication)
        if not self._accepts(publication):
            return False
        self.proven = publication.from_offset >= self._unseen.stop
        self._advance(offset, publication)
        return True

    def summary(self, version: int) -> summary_module.Summary | None:
        """Return who published a version, if that is still known."""
        return self._summaries.get(version)

    def _apply_refresh(
        self, publication: publication_module.Publication
    ) -> bool:
        offset = publication.accepted_offset
        if publication.version < self.version:
            return False
        if publication.version == self.version and self.head is not None:
            self.proven = self.proven or offset == self.head.offset
            if self.proven:
                return False
        accepted = msgspec.structs.replace(
            publication, refresh=False, accepted_offset=0
        )
        self.proven = True
        self._advance(offset, accepted)
        return True

    def _accepts(self, publication: publication_module.Publication) -> bool:
        if self._extends(publication):
            return True
        if publication.from_offset not in self._unseen:
            return False
        # The base of this publish was accepted unseen. It replaced the
        # head if it is later than the base of the head.
        return self.head is None or (
            publication.version > self.head.version
            and publication.from_offset > self.head.publication.from_offset
        )

    def _extends(self, publication: publication_module.Publication) -> bool:
        if self.head is None:
            return publication.from_version == 0
        return (
            publication.from_offset == self.head.offset
            and publication.from_version == self.head.version
        )

    def _advance(
        self, offset: int, publication: publication_module.Publication
    ) -> None:
        self.head = Head(offset=offset, publication=publication)
        self._summaries[publication.version] = summary_module.Summary(
            version=publication.version,
            author=publication.author,
            wall_ms=publication.wall_ms,
            digest=publication.digest(),
        )
        self._summaries.pop(publication.version - _SUMMARIES, None)
