"""Keep the configuration in force on this daemon."""

import asyncio
import collections.abc
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle.config import accepted_configuration as accepted_module
from basilspindle.config import bootstrap as bootstrap_module
from basilspindle.config import document as document_module
from basilspindle.config import dump as dump_module
from basilspindle.config import events as config_events
from basilspindle.config import follower as follower_module
from basilspindle.config import history as history_module
from basilspindle.config import identity as identity_module
from basilspindle.config import interfaces
from basilspindle.config import keyring as keyring_module
from basilspindle.config import publication as publication_module
from basilspindle.config import publisher as publisher_module
from basilspindle.config import timing as timing_module
from basilspindle.config import validate
from basilspindle import errors
from basilspindle import events

_RETRY_MS = 250
# Refreshes within the time for which the log keeps a record.
_REFRESHES_PER_RETENTION = 3
_DEFAULT_TIMING = timing_module.Timing()

Callback = collections.abc.Callable[
    [accepted_module.AcceptedConfiguration], None
]


class ConfigStore:
    """Follow stream ``control``, authenticate keys and publish.

    An async context manager, which follows the stream while it is entered.
    Times are in ms of the monotonic clock.
    """

    __slots__ = (
        '_clock',
        '_log',
        '_member_id',
        '_peers',
        '_bootstrap',
        '_follower',
        '_publisher',
        '_head',
        '_head_set_at_ms',
        '_accepted',
        '_keyring',
        '_peer_confirmed_at_ms',
        '_callbacks',
        '_log_available',
        '_task',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        log: interfaces.ControlLog,
        *,
        member_id: str,
        peers: interfaces.Peers,
        bootstrap_operator_sha256: str = '',
    ) -> None:
        self._clock = clock
        self._log = log
        self._member_id = member_id
        self._peers = peers
        self._bootstrap = bootstrap_module.BootstrapKey(
            bootstrap_operator_sha256
        )
        self._follower = follower_module.Follower(
            clock, log, self._apply_history
        )
        self._publisher = publisher_module.Publisher(
            clock, log, self._follower
        )
        self._head: history_module.Head | None = None
        self._head_set_at_ms = 0
        self._accepted: accepted_module.AcceptedConfiguration | None = None
        self._keyring = keyring_module.Keyring({})
        self._peer_confirmed_at_ms: int | None = None
        self._callbacks: list[Callback] = []
        self._log_available = True
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> typing.Self:
        """Start following the log."""
        self._task = asyncio.create_task(self._follow())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop following the log."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    @property
    def version(self) -> int:
        """Return the version in force on this daemon, 0 if none."""
        return self._head.version if self._head else 0

    @property
    def current(self) -> accepted_module.AcceptedConfiguration:
        """Return the configuration in force; raises ``NotReady``."""
        if self._accepted is not None:
            return self._accepted
        if self._head is not None:
            raise errors.NotReady(
                f'this daemon cannot read version {self.version} of the '
                'configuration; update the daemon or publish a corrected '
                'configuration'
            )
        raise errors.NotReady(
            'this daemon has no configuration yet; wait for the log '
            'service, or publish the first one with the bootstrap key',
            retry_after_ms=_RETRY_MS,
        )

    @property
    def timing(self) -> timing_module.Timing:
        """Return the times in force, or the defaults if there are none."""
        return (
            self._accepted.document.timing
            if self._accepted
            else _DEFAULT_TIMING
        )

    @property
    def confirmed_at_ms(self) -> int | None:
        """Return when this configuration was last confirmed as the newest.

        None if it never was.
        """
        times = (self._follower.tail_read_at_ms, self._peer_confirmed_at_ms)
        return max((time for time in times if time is not None), default=None)

    def note_peer_confirmation(self, at_ms: int) -> None:
        """Note that all other members confirmed this version.

        ``at_ms`` is when the oldest of their answers was requested.
        """
        known = self._peer_confirmed_at_ms
        self._peer_confirmed_at_ms = max(at_ms, known or at_ms)

    def check_fresh(self) -> None:
        """Raise ``ConfigurationStale`` if a newer one may be in force.

        Raises ``NotReady`` if there is no configuration.
        """
        max_age_ms = self.current.document.timing.config_max_age_ms
        if not self._is_fresh(max_age_ms):
            raise errors.ConfigurationStale(
                'this daemon could not confirm its configuration in the last '
                f'{max_age_ms} ms; try another daemon or try again later, and '
                'check the log service',
                retry_after_ms=_RETRY_MS,
            )

    def authenticate(self, key: str) -> identity_module.Identity:
        """Return the identity of a key.

        Raises ``KeyInvalid``, ``ConfigurationStale`` and ``NotReady``.
        Until the first publish, the bootstrap key is an operator key.
        """
        if self._head is None and self._is_log_empty():
            return self._bootstrap.check(key)
        self.check_fresh()
        return self._keyring.check(key)

    def key_belongs_to(self, key_id: str, workspace: str) -> bool:
        """Tell whether a key id is in force for a workspace.

        Also answers while the configuration is stale; used to check queued
        work before its first start. Raises ``NotReady``.
        """
        key = self.current.document.keys.get(key_id)
        return key is not None and key.workspace == workspace

    def subscribe(
        self, callback: Callback
    ) -> collections.abc.Callable[[], None]:
        """Call back on each new configuration; return a function to stop it.

        Calls back at once if there is a configuration.
        """
        self._callbacks.append(callback)
        if self._accepted is not None:
            self._notify(callback, self._accepted)
        return lambda: self._callbacks.remove(callback)

    async def publish(
        self, base: bytes, overlay: bytes, from_version: int, author: str
    ) -> int:
        """Publish two JSON documents; return their version once in force.

        ``from_version`` is the version that they are based on. ``author`` is
        a key id. Repeating a publish that took effect returns its version.
        Raises ``ConfigurationInvalid``, ``VersionConflict``,
        ``LogUnavailable`` and ``OutcomeUnknown``.
        """
        document = self._accepted.document if self._accepted else None
        validate.validate(base, overlay, current=document)
        await self._follower.catch_up()
        await self._fetch_missing_after_trim()
        await self._restore_lost_head()
        publication = publication_module.Publication(
            version=from_version + 1,
            from_version=from_version,
            from_offset=self._head.offset if self._head else 0,
            author=author,
            wall_ms=self._clock.wall_ms(),
            base=base,
            overlay=overlay,
        )
        if from_version == self.version:
            return await self._publisher.append(publication)
        # The publish is not based on the version in force: it repeats one that
        # took effect, or it is a conflict.
        version = self._publisher.resolve(publication)
        if not version:
            raise self._publisher.make_conflict(from_version)
        return version

    def adopt_if_newer(self, record: bytes) -> bool:
        """Apply the configuration of a peer if it is newer; tell if applied.

        ``record`` is what ``record_if_newer`` of the peer returned. One that
        cannot be read replaces nothing: unlike one of the log it need not
        have been accepted.
        """
        try:
            publication = publication_module.decode(record)
            if not publication.refresh or publication.version <= self.version:
                return False
            validate.read_accepted(publication.base, publication.overlay)
        except (
            errors.RecordUnreadable,
            errors.ConfigurationInvalid,
        ) as error:
            events.emit(config_events.RECORD_SKIPPED, error=error.message)
            return False
        head = history_module.Head(
            offset=publication.accepted_offset,
            publication=msgspec.structs.replace(
                publication, refresh=False, accepted_offset=0
            ),
        )
        self._set_head(head)
        return True

    def record_if_newer(self, above_version: int) -> bytes:
        """Return a refresh record for a peer, b'' if it is not newer."""
        if self._head is None or self.version <= above_version:
            return b''
        return publication_module.encode(self._head.as_refresh())

    async def refresh_if_due(self, has_lowest_id: bool) -> bool:
        """Append the configuration again before the log trims it.

        Only the live member with the lowest id does so. Tell whether a record
        was appended. After an error of the log the next call tries again.
        """
        if not has_lowest_id or not self._refresh_due():
            return False
        try:
            await self._refresh()
        except errors.LogError:
            return False
        return True

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for operators, without hashes of keys."""
        now_ms = self._clock.now_ms()
        confirmed_at_ms = self.confirmed_at_ms
        document = self._accepted.document if self._accepted else None
        return {
            'member_id': self._member_id,
            'version': self.version,
            'history_version': self._follower.history.version,
            'history_settled': self._follower.history.settled,
            'history_proven': self._follower.history.proven,
            'next_offset': self._follower.next_offset,
            'skips': self._follower.gap_count,
            'log_answers': self._log_available,
            'assured_age_ms': (
                -1 if confirmed_at_ms is None else now_ms - confirmed_at_ms
            ),
            'publication': dump_module.dump_head(self._head),
            'document': dump_module.dump_document(document),
        }

    async def _follow(self) -> None:
        wait_ms = 0
        while True:
            try:
                at_tail = await self._follower.read(wait_ms)
                self._note_log_result(None)
                if at_tail:
                    await self._fetch_missing_after_trim()
                wait_ms = self.timing.config_poll_ms if at_tail else 0
            except Exception as error:
                self._note_log_result(error)
                await self._fetch_missing_from_peers()
                await self._clock.sleep_ms(_RETRY_MS)
                wait_ms = 0

    def _note_log_result(self, error: Exception | None) -> None:
        available = error is None
        if available == self._log_available:
            return
        self._log_available = available
        if available:
            events.emit(config_events.CONTROL_READABLE)
        else:
            events.emit(config_events.CONTROL_UNREADABLE, error=repr(error))

    async def _fetch_missing_after_trim(self) -> None:
        # If the stream was trimmed and has no configuration, one may still
        # have been published; a peer may have it.
        if self._follower.next_offset > follower_module.FIRST_OFFSET:
            await self._fetch_missing_from_peers()

    async def _fetch_missing_from_peers(self) -> None:
        if self._head is not None:
            return
        try:
            record = await self._peers.fetch_configuration(0)
        except errors.BasilspindleError:
            return
        if record:
            self.adopt_if_newer(record)

    def _apply_history(self) -> None:
        history = self._follower.history
        head = history.head
        if head is None or not history.settled:
            return
        if head.version > self.version:
            self._set_head(head)
        elif head.version == self.version and history.proven:
            self._replace_diverged(head)

    def _replace_diverged(self, head: history_module.Head) -> None:
        if self._head is not None and head.offset != self._head.offset:
            events.emit(config_events.DIVERGED, version=head.version)
            self._set_head(head)

    def _set_head(self, head: history_module.Head) -> None:
        self._head = head
        self._head_set_at_ms = self._clock.now_ms()
        self._accepted = None
        self._keyring = keyring_module.Keyring({})
        publication = head.publication
        try:
            document = validate.read_accepted(
                publication.base, publication.overlay
            )
        except errors.ConfigurationInvalid as error:
            events.emit(
                config_events.CONFIGURATION_UNREADABLE,
                version=head.version,
                error=error.message,
            )
            return
        self._activate(publication, document)

    def _activate(
        self,
        publication: publication_module.Publication,
        document: document_module.Document,
    ) -> None:
        self._keyring = keyring_module.Keyring(document.keys)
        accepted = accepted_module.AcceptedConfiguration(
            version=publication.version,
            publication=publication,
            document=document,
        )
        self._accepted = accepted
        events.emit(
            config_events.APPLIED,
            version=accepted.version,
            author=publication.author,
        )
        for callback in tuple(self._callbacks):
            self._notify(callback, accepted)

    def _notify(
        self,
        callback: Callback,
        accepted: accepted_module.AcceptedConfiguration,
    ) -> None:
        try:
            callback(accepted)
        except Exception as error:
            events.emit(
                config_events.CALLBACK_FAILED,
                version=accepted.version,
                error=repr(error),
            )

    def _is_fresh(self, max_age_ms: int) -> bool:
        at_ms = self.confirmed_at_ms
        return at_ms is not None and self._clock.now_ms() - at_ms <= max_age_ms

    def _is_log_empty(self) -> bool:
        """Tell whether a recent read to the tail found no configuration."""
        tail_read_at_ms = self._follower.tail_read_at_ms
        if tail_read_at_ms is None or self._follower.history.head is not None:
            return False
        age_ms = self._clock.now_ms() - tail_read_at_ms
        return age_ms <= _DEFAULT_TIMING.config_max_age_ms

    async def _restore_lost_head(self) -> None:
        # A publish names the offset of its base. If the log has lost that
        # record, only a refresh tells its readers what is at that offset.
        if self._follower.history.version >= self.version:
            return
        try:
            await self._refresh()
        except errors.LogOutcomeUnknown as error:
            raise errors.LogUnavailable(
                'the log did not confirm the configuration that this '
                'publish is based on; nothing was published, try again'
            ) from error
        await self._follower.catch_up()

    def _refresh_due(self) -> bool:
        tail_read_at_ms = self._follower.tail_read_at_ms
        if self._head is None or tail_read_at_ms is None:
            return False
        if self._follower.history.version < self.version:
            # This version came from a peer. It is missing in the log if a read
            # to the tail after that did not find it either.
            return tail_read_at_ms > self._head_set_at_ms
        head_recorded_at_ms = self._follower.head_recorded_at_ms
        if head_recorded_at_ms is None:
            return True
        age_ms = self._clock.now_ms() - head_recorded_at_ms
        max_age_ms = self.timing.log_retention_ms // _REFRESHES_PER_RETENTION
        return age_ms > max_age_ms

    async def _refresh(self) -> None:
        record = publication_module.encode(self._head.as_refresh())
        await self._log.append(follower_module.STREAM, record)
        events.emit(config_events.REFRESHED, version=self.version)
