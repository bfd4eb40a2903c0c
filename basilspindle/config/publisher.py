"""Append a publish and learn its outcome from the log."""

import datetime

from basilspindle import clock as clock_module
from basilspindle.config import events as config_events
from basilspindle.config import follower as follower_module
from basilspindle.config import interfaces
from basilspindle.config import publication as publication_module
from basilspindle import errors
from basilspindle import events

_MAX_MS = 10_000
_APPEND_MS = 3_000
_RETRY_MS = 100
_MOST_RETRY_MS = 1_000


class Publisher:
    """Append publications and judge them by the history alone."""

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

        An append whose answer was lost is repeated: of two equal records
        at most one can be accepted, and a record that loses the race says
        that the first one never will be. Raises ``VersionConflict``,
        ``LogUnavailable`` and ``OutcomeUnknown``.
        """
        record = publication_module.encode(publication)
        skips = self._follower.skips
        give_up_ms = self._clock.now_ms() + _MAX_MS
        retry_ms = _RETRY_MS
        await self._append(record)
        while not await self._decided(publication, skips):
            if self._clock.now_ms() >= give_up_ms:
                raise _unknown()
            await self._clock.sleep_ms(retry_ms)
            retry_ms = min(2 * retry_ms, _MOST_RETRY_MS)
            await self._append_again(record)
        return publication.version

    def judge(self, publication: publication_module.Publication) -> int:
        """Return the version if a publish is in force, 0 if undecided.

        Raises ``VersionConflict`` if its version is another publish.
        """
        history = self._follower.history
        if history.version < publication.version:
            return 0
        winner = history.summary(publication.version)
        if winner is not None and winner.digest == publication.digest():
            return publication.version
        raise self.conflict(publication.from_version)

    def conflict(self, from_version: int) -> errors.VersionConflict:
        """Return the error that names who published instead."""
        history = self._follower.history
        winner = history.summary(from_version + 1)
        if winner is None:
            winner = history.summary(history.version)
        version = winner.version if winner else 0
        author = winner.author if winner else ''
        wall_ms = winner.wall_ms if winner else 0
        events.emit(
            config_events.CONFLICT,
            from_version=from_version,
            winner=version,
            author=author,
        )
        return errors.VersionConflict(
            f'version {version} was published by key "{author}" at '
            f'{_format(wall_ms)}, this publish was made from version '
            f'{from_version}; read version {history.version}, apply the '
            'change to it and publish again',
            version=version,
            author=author,
            wall_ms=wall_ms,
        )

    async def _append(self, record: bytes) -> None:
        try:
            await self._clock.wait_ms(
                self._log.append(follower_module.STREAM, record), _APPEND_MS
            )
        except (errors.LogOutcomeUnknown, errors.DeadlineExceeded):
            return

    async def _append_again(self, record: bytes) -> None:
        try:
            await self._append(record)
        except errors.LogUnavailable:
            return

    async def _decided(
        self, publication: publication_module.Publication, skips: int
    ) -> bool:
        try:
            await self._follower.catch_up()
        except errors.LogError:
            return False
        if self._follower.skips != skips:
            # The record that won may be among those that were trimmed.
            raise _unknown()
        return bool(self.judge(publication))


def _format(wall_ms: int) -> str:
    time = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    return time.isoformat(timespec='seconds')


def _unknown() -> errors.OutcomeUnknown:
    events.emit(config_events.PUBLISH_UNKNOWN)
    return errors.OutcomeUnknown(
        'the publish may or may not take effect, the log does not tell; '
        'publish the same documents from the same version again, which has '
        'no second effect'
    )
