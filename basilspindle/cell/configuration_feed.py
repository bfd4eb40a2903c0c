"""Follow the changes of the configuration at the leader."""

import typing

from basilspindle.cell import configuration_transfer
from basilspindle.cell import configuration_update
from basilspindle.cell import events as cell_events
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import metrics
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events

# Pings tell meanwhile whether the version is still the newest.
_WAIT_MS = 10_000
_PART_TIMEOUT_MS = 2_000
_RETRY_MS = 150


class Receiver(typing.Protocol):
    """Applies what the leader sends."""

    @property
    def version(self) -> int:
        """Return the version in force."""
        ...

    def confirm(self, version: int, at_ms: int) -> None:
        """Note that a version was the newest at a time."""
        ...

    def note_progress(self) -> None:
        """Note that a newer version is being received."""
        ...

    def apply_payload(
        self,
        payload: bytes,
        transfer: configuration_transfer.ConfigurationTransfer,
        next_offset: int | None,
    ) -> None:
        """Bring a payload into force; raises ``ConfigurationDiverged``."""
        ...


class ConfigurationFeed:
    """Request changes over one link to a leader.

    A payload comes in parts. A part that is not answered in time is requested
    again, and the parts before it are kept.
    """

    __slots__ = (
        'link',
        '_receiver',
        '_clock',
        '_transfer',
        '_needs_whole',
    )

    def __init__(
        self,
        link: link_module.Link,
        receiver: Receiver,
        clock: clock_module.Clock,
    ) -> None:
        self.link = link
        self._receiver = receiver
        self._clock = clock
        self._transfer: configuration_transfer.ConfigurationTransfer | None = (
            None
        )
        self._needs_whole = False

    async def run(self) -> None:
        """Apply changes until the link closes."""
        while not self.link.closed.is_set():
            part = await self._request()
            if part is None or not self._receive(part):
                await self._clock.sleep_ms(_RETRY_MS)

    async def _request(self) -> messages.ConfigurationPart | None:
        version = 0 if self._needs_whole else self._receiver.version
        transfer = self._transfer
        if transfer is not None and (
            transfer.base_version not in (0, version)
            or transfer.target <= version
        ):
            # The daemon got a newer version from the store meanwhile.
            transfer = self._transfer = None
        if transfer is None:
            request = messages.FollowConfiguration(version, 0, 0, 0, _WAIT_MS)
        else:
            request = messages.FollowConfiguration(
                version,
                transfer.base_version,
                transfer.target,
                transfer.next_number,
                0,
            )
        try:
            reply = await self.link.call(
                request, request.wait_ms + _PART_TIMEOUT_MS
            )
        except errors.PeerError as error:
            if not self.link.closed.is_set():
                self._log_failure(error.message)
            return None
        return reply if isinstance(reply, messages.ConfigurationPart) else None

    def _receive(self, part: messages.ConfigurationPart) -> bool:
        # Returns whether to go on at once.
        confirmed_ms = self._clock.now_ms() - part.age_ms
        if not part.part_count:
            self._receiver.confirm(part.version, confirmed_ms)
            return True
        transfer = self._transfer
        if transfer is None or not transfer.expects(part):
            transfer = self._transfer = (
                configuration_transfer.ConfigurationTransfer(
                    part.base_version, part.version, self._clock.now_ms()
                )
            )
            if not transfer.expects(part):
                return False
        payload = transfer.add(part)
        if payload is None:
            self._receiver.note_progress()
            return True
        self._transfer = None
        next_offset = part.next_offset if part.next_offset >= 0 else None
        try:
            self._receiver.apply_payload(payload, transfer, next_offset)
        except errors.ConfigurationDiverged as error:
            self._needs_whole = True
            self._log_failure(error.message)
            return False
        self._needs_whole = False
        self._receiver.confirm(part.version, confirmed_ms)
        return True

    def _log_failure(self, reason: str) -> None:
        source = configuration_update.Source.LEADER
        metrics.CONFIGURATION_READ_FAILURES.labels(source).inc()
        events.emit(
            cell_events.CONFIGURATION_READ_FAILED,
            source=source,
            version=self._receiver.version,
            error=reason,
            received_bytes=(
                self._transfer.size_bytes if self._transfer is not None else 0
            ),
        )
