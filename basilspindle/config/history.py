"""Decide which publishes in stream ``control`` are accepted."""

import msgspec

from basilspindle.config import publication as publication_module
from basilspindle.config import summary as summary_module

_MAX_SUMMARIES = 256


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The latest accepted publish and the offset of its record."""

    offset: int
    publication: publication_module.Publication

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.publication.version

    def as_refresh(self) -> publication_module.Publication:
        """Return the publication as a refresh of an accepted one."""
        return msgspec.structs.replace(
            self.publication, refresh=True, accepted_offset=self.offset
        )


class History:
    """Apply the records of the log in order, without I/O or clock.

    A publish is accepted if it is based on the latest accepted one, the
    head. It names its base by offset as well as by version, because
    records may be trimmed before they are read: if two publishes were
    based on the same version and the accepted one was trimmed, the
    rejected one looks acceptable. It is recognised by a later record
    whose base is an offset between the base of the rejected publish and
    the first record read, or by a refresh.

    ``settled`` is False from a trim until the tail is reached; until then
    the head may be a rejected publish. ``proven`` tells that no unread
    record can have been accepted instead of the head.
    """

    __slots__ = ('head', 'proven', 'settled', '_unread', '_summaries')

    def __init__(self) -> None:
        self.head: Head | None = None
        self.proven = True
        self.settled = True
        self._unread = range(0)
        self._summaries: dict[int, summary_module.PublishSummary] = {}

    @property
    def version(self) -> int:
        """Return the latest accepted version, 0 if there is none."""
        return self.head.version if self.head else 0

    def note_trimmed(self, offsets: range) -> None:
        """Note the offsets that were trimmed before they were read."""
        self._unread = offsets
        self.settled = False

    def settle(self) -> None:
        """Note that the tail was reached."""
        self.settled = True

    def apply(
        self, offset: int, publication: publication_module.Publication
    ) -> bool:
        """Apply the next record; return whether the head changed."""
        if publication.refresh:
            return self._apply_refresh(publication)
        if not self._is_accepted(publication):
            return False
        self.proven = publication.from_offset >= self._unread.stop
        self._set_head(offset, publication)
        return True

    def summary(self, version: int) -> summary_module.PublishSummary | None:
        """Return the summary of a version, None if it is not kept."""
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
        self._set_head(offset, accepted)
        return True

    def _is_accepted(
        self, publication: publication_module.Publication
    ) -> bool:
        if self._is_based_on_head(publication):
            return True
        if publication.from_offset not in self._unread:
            return False
        # The base of this publish was accepted but never read. It replaced
        # the head if it is later than the base of the head.
        return self.head is None or (
            publication.version > self.head.version
            and publication.from_offset > self.head.publication.from_offset
        )

    def _is_based_on_head(
        self, publication: publication_module.Publication
    ) -> bool:
        if self.head is None:
            return publication.from_version == 0
        return (
            publication.from_offset == self.head.offset
            and publication.from_version == self.head.version
        )

    def _set_head(
        self, offset: int, publication: publication_module.Publication
    ) -> None:
        self.head = Head(offset=offset, publication=publication)
        self._summaries[publication.version] = summary_module.PublishSummary(
            version=publication.version,
            author=publication.author,
            wall_ms=publication.wall_ms,
            digest=publication.digest(),
        )
        self._summaries.pop(publication.version - _MAX_SUMMARIES, None)
