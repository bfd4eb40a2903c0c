"""Append a publish and determine its outcome from the log."""

import datetime

from basilspindle import clock as clock_module
from basilspindle.config import events as config_events
from basilspindle.config import follower as follower_module
from basilspindle.config import interfaces
from basilspindle.config import publication as publication_module
from basilspindle import errors
from basilspindle import events

_PUBLISH_TIMEOUT_MS = 10_000
_APPEND_TIMEOUT_MS = 3_000
_FIRST_RETRY_MS = 100
_MAX_RETRY_MS = 1_000


class Publisher:
    """Append publications; only the history decides their outcome."""

    __slots__ = ('_clock', '_log', '_follower')

    def __init__(
        self,
        clock: clock_module.Clock,
        log: interfaces.ControlLog,
        follower: follower_module.Follower,
    ) -> None:
        self._clock = clock
        self._log = log
        self._follower = follower

    async def append(self, publication: publication_module.Publication) -> int:
        """Append a publish; return its version when it is in force.

        An append without an answer is repeated. That is safe: at most one
        of two equal records can be accepted, and once the second one is
        rejected, the first one can no longer be accepted. Raises
        ``VersionConflict``, ``LogUnavailable`` and ``OutcomeUnknown``.
        """
        record = publication_module.encode(publication)
        gap_count = self._follower.gap_count
        give_up_at_ms = self._clock.now_ms() + _PUBLISH_TIMEOUT_MS
        retry_ms = _FIRST_RETRY_MS
        await self._append(record)
        while not await self._is_decided(publication, gap_count):
            if self._clock.now_ms() >= give_up_at_ms:
                raise _make_unknown()
            await self._clock.sleep_ms(retry_ms)
            retry_ms = min(2 * retry_ms, _MAX_RETRY_MS)
            await self._append_again(record)
        return publication.version

    def resolve(self, publication: publication_module.Publication) -> int:
        """Return the version if a publish is accepted, 0 if undecided.

        Raises ``VersionConflict`` if another publish has its version.
        """
        history = self._follower.history
        if history.version < publication.version:
            return 0
        accepted = history.summary(publication.version)
        if accepted is not None and accepted.digest == publication.digest():
            return publication.version
        raise self.make_conflict(publication.from_version)

    def make_conflict(self, from_version: int) -> errors.VersionConflict:
        """Return an error that names the accepted publish."""
        history = self._follower.history
        accepted = history.summary(from_version + 1)
        if accepted is None:
            accepted = history.summary(history.version)
        version = accepted.version if accepted else 0
        author = accepted.author if accepted else ''
        wall_ms = accepted.wall_ms if accepted else 0
        events.emit(
            config_events.PUBLISH_CONFLICT,
            from_version=from_version,
            winner=version,
            author=author,
        )
        return errors.VersionConflict(
            f'version {version} was published by key "{author}" at '
            f'{_format_time(wall_ms)}, but this publish is based on version '
            f'{from_version}; read version {history.version}, apply the '
            'change to it and publish again',
            version=version,
            author=author,
            wall_ms=wall_ms,
        )

    async def _append(self, record: bytes) -> None:
        try:
            await self._clock.wait_for(
                self._log.append(follower_module.STREAM, record),
                _APPEND_TIMEOUT_MS,
            )
        except (errors.LogOutcomeUnknown, errors.DeadlineExceeded):
            return

    async def _append_again(self, record: bytes) -> None:
        try:
            await self._append(record)
        except errors.LogUnavailable:
            return

    async def _is_decided(
        self, publication: publication_module.Publication, gap_count: int
    ) -> bool:
        try:
            await self._follower.catch_up()
        except errors.LogError:
            return False
        if self._follower.gap_count != gap_count:
            # The accepted record may be among those that were trimmed.
            raise _make_unknown()
        return bool(self.resolve(publication))


def _format_time(wall_ms: int) -> str:
    time = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return time.isoformat(timespec='seconds')


def _make_unknown() -> errors.OutcomeUnknown:
    events.emit(config_events.PUBLISH_UNKNOWN)
    return errors.OutcomeUnknown(
        'the log did not confirm the publish, which may or may not take '
        'effect; publish the same documents from the same version again, '
        'which cannot apply them twice'
    )
