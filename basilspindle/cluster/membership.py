"""Track the other daemons and whether they answer."""

import asyncio
import collections.abc
import contextlib
import types
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle.cluster import events as cluster_events
from basilspindle.cluster import fence_table
from basilspindle.cluster import identity
from basilspindle.cluster import log_and_suppress
from basilspindle.cluster import member as member_module
from basilspindle.cluster import member_state
from basilspindle.cluster import timing as timing_module
from basilspindle.cluster import vm_list as vm_list_module
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import messages

_State = member_state.MemberState
AcceptReply = collections.abc.Callable[[messages.Heartbeat], bool]
# Interval at which the states of all members are recomputed.
_REVIEW_INTERVAL_MS = 100
# Minimum time between two heartbeats to one member.
_MIN_GAP_MS = 20
# A member whose turn it is to call is called instead once its last call is
# older than this percentage of heartbeat_ms.
_OVERDUE_PERCENT = 125
# How long every member is called after ``demand_replies``.
_DEMAND_DURATION_MS = 5_000


class PeerCaller(typing.Protocol):
    """Call other daemons, as ``peer.PeerClient`` does."""

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Return the reply; raises ``PeerError`` or the handler's error."""

    def refused(self, address: str) -> bool:
        """Tell whether the last connection to an address was refused."""

    def lost(self, address: str) -> bool:
        """Tell whether the connection was closed and not yet reopened."""

    def drop(self, address: str) -> None:
        """Close the connection to an address and forget it."""


class Membership:
    """Exchange heartbeats with every other daemon and track their states.

    While the log answers, only the member with the lower address of each
    pair calls the other, which halves the number of calls: a call and its
    reply carry the state of both. The other member calls only if a call
    is overdue. While the log does not answer, every member calls every
    other one, because assurance then depends on replies.

    ``build_heartbeat`` returns this daemon's heartbeat. ``seeds`` are
    member addresses from the settings. The server that answers heartbeats
    must listen before this is entered and until after it is left, since
    other daemons take refused connections as a sign that no process runs
    here.
    """

    __slots__ = (
        '_build_heartbeat',
        '_client',
        '_clock',
        '_demand_replies_until_ms',
        '_fences',
        '_gone_incarnations',
        '_heartbeat_tasks',
        '_last_review_ms',
        '_last_silence_ms',
        '_listeners',
        '_listening_since_ms',
        '_members',
        '_reviewer',
        '_seeds',
        '_self_member',
        '_started_ms',
        '_timing',
        '_vm_list',
        '_wake_events',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: timing_module.Timing,
        client: PeerCaller,
        vm_list: vm_list_module.VmList,
        build_heartbeat: collections.abc.Callable[[], messages.Heartbeat],
        *,
        seeds: collections.abc.Iterable[str] = (),
        fences: fence_table.FenceTable | None = None,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._vm_list = vm_list
        self._build_heartbeat = build_heartbeat
        self._seeds = tuple(seeds)
        self._fences = fences or fence_table.FenceTable()
        self._members: dict[str, member_module.Member] = {}
        self._heartbeat_tasks: dict[str, asyncio.Task[None]] = {}
        self._wake_events: dict[str, asyncio.Event] = {}
        self._gone_incarnations: dict[str, str] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._reviewer: asyncio.Task[None] | None = None
        self._self_member = member_module.Member('')
        self._started_ms = 0
        self._last_review_ms = 0
        # When a required member was last silent, as far as reviews show.
        self._last_silence_ms = 0
        self._listening_since_ms = 0
        self._demand_replies_until_ms = 0

    async def __aenter__(self) -> 'Membership':
        now_ms = self._clock.now_ms()
        self._started_ms = now_ms
        self._last_review_ms = now_ms
        self._listening_since_ms = now_ms
        self._last_silence_ms = now_ms
        self._refresh_own_heartbeat()
        self._vm_list.on_change(self._apply_vm_list)
        for address in self._seeds:
            self._ensure_member(address)
        self._apply_vm_list()
        self._reviewer = asyncio.ensure_future(self._run_reviews())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        tasks = list(self._heartbeat_tasks.values())
        if self._reviewer is not None:
            tasks.append(self._reviewer)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._heartbeat_tasks.clear()

    @property
    def own(self) -> member_module.Member:
        """Return this daemon as a member."""
        return self._self_member

    def settled(self) -> bool:
        """Tell whether this process has listened for at least suspect_ms.

        The time counts from its start or from the end of its last pause.
        Before that, a live member may not have been heard from.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_review_ms > self._pause_threshold_ms():
            return False
        return now_ms - self._listening_since_ms >= self._timing.suspect_ms

    def all_heard_since_ms(self) -> int:
        """Return since when no member that must reply has been silent.

        A pause of this process counts as silence of all members.
        """
        now_ms = self._clock.now_ms()
        paused = now_ms - self._last_review_ms > self._pause_threshold_ms()
        return now_ms if paused else self._last_silence_ms

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a callback for changes of members, states or claims."""
        self._listeners.append(listener)

    def members(self) -> list[member_module.Member]:
        """Return all known members except this one."""
        return list(self._members.values())

    def live(self) -> list[member_module.Member]:
        """Return the live members, including this one if it is live."""
        matching = [
            member
            for member in self._members.values()
            if member.state is _State.LIVE
        ]
        if self._self_member.state is _State.LIVE:
            matching.append(self._self_member)
        return matching

    def get(self, member_id: str) -> member_module.Member | None:
        """Return the newest incarnation of a member by id."""
        if member_id == self._self_member.member_id:
            return self._self_member
        matching = [
            member
            for member in self._members.values()
            if member.member_id == member_id
        ]
        return max(matching, key=lambda m: m.incarnation, default=None)

    def required_members(self) -> list[member_module.Member]:
        """Return the members whose replies assurance needs."""
        return [
            member
            for member in self._members.values()
            if self._state_of(member).must_reply
        ]

    def fenceable_members(self) -> list[member_module.Member]:
        """Return the members that may answer a fence.

        Those that refuse connections do not. They are assured of nothing
        once assurance_ms have passed since they were last answered.
        """
        return [
            member
            for member in self.required_members()
            if self._state_of(member) is not _State.DOWN
        ]

    def answered_send_ms(self, member_id: str) -> int | None:
        """Return the send time of the last answered heartbeat, or None.

        The value is not refreshed while the member is the one that calls
        this daemon, as one of each pair does while the log answers. Use the
        member's state to tell whether it is responsive.
        """
        member = self.get(member_id)
        return None if member is None else member.last_answered_send_ms

    def oldest_answered_send_ms(
        self, region: str | None = None, accept: AcceptReply | None = None
    ) -> int | None:
        """Return the oldest last_answered_send_ms of the required members.

        Returns the current time if no member is required. ``region`` limits
        the members to those of that region and of unknown region. Returns
        None if a member never replied, if ``accept`` rejects its last reply
        or if this daemon is not settled.
        """
        if not self.settled():
            return None
        oldest_ms = self._clock.now_ms()
        for member in self.required_members():
            if region and member.region and member.region != region:
                continue
            if member.last_answered_send_ms is None or member.reply is None:
                return None
            if accept is not None and not accept(member.reply):
                return None
            oldest_ms = min(oldest_ms, member.last_answered_send_ms)
        return oldest_ms

    def demand_replies(self) -> None:
        """Call every member for a while, as if the log did not answer."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._demand_replies_until_ms:
            self.send_now()
        self._demand_replies_until_ms = now_ms + _DEMAND_DURATION_MS

    def send_now(self) -> None:
        """Send the next heartbeat to every member now."""
        for wake in self._wake_events.values():
            wake.set()

    async def handle(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Record a heartbeat and reply.

        Raises ``StaleIncarnation`` or ``BadRequest``.
        """
        if heartbeat.address != self._self_member.address:
            self._refuse_odd(heartbeat)
            self._refuse_stale(heartbeat)
            self._record(heartbeat)
            caller = self._members[heartbeat.address]
            caller.last_call_ms = self._clock.now_ms()
        reply = self._refresh_own_heartbeat()
        fenced = self._fences.superseding(heartbeat.claims)
        if fenced:
            return msgspec.structs.replace(reply, fenced=fenced)
        return reply

    def _refresh_own_heartbeat(self) -> messages.Heartbeat:
        heartbeat = self._build_heartbeat()
        self._self_member.address = heartbeat.address
        self._self_member.update(heartbeat, self._clock.now_ms())
        leaving = heartbeat.leaving
        self._self_member.state = _State.LEAVING if leaving else _State.LIVE
        return heartbeat

    def _refuse_odd(self, heartbeat: messages.Heartbeat) -> None:
        """Raise ``BadRequest`` if no process can have sent the heartbeat.

        A member is known by its id, incarnation and address until it leaves
        the VM list, so that a wrong one would stay.
        """
        reason = identity.check(
            heartbeat.member_id, heartbeat.incarnation, heartbeat.address
        )
        for member in self.members():
            if not reason and self._differs(member, heartbeat):
                if member.confirmed and not self._is_corrected(
                    member, heartbeat
                ):
                    reason = (
                        f'this process is {member.member_id} at '
                        f'{member.address}'
                    )
                elif member.address != heartbeat.address:
                    # Either of the two is odd; the next one shows which.
                    self._remove(member)
        if reason:
            self._refuse(heartbeat)
            raise errors.BadRequest(
                f'the heartbeat is invalid: {reason}; run compatible '
                'versions on all daemons'
            )

    def _differs(
        self, member: member_module.Member, heartbeat: messages.Heartbeat
    ) -> bool:
        """Tell whether a heartbeat gives a process another id or address."""
        return member.incarnation == heartbeat.incarnation and (
            member.member_id != heartbeat.member_id
            or member.address != heartbeat.address
        )

    def _is_corrected(
        self, member: member_module.Member, heartbeat: messages.Heartbeat
    ) -> bool:
        """Tell whether a process repeats an identity that differs.

        One that has answered at its address is there, so only that of a
        process that merely calls can be corrected.
        """
        if member.last_answered_send_ms is not None:
            return False
        identity_now = (heartbeat.member_id, heartbeat.address)
        is_repeated = member.disputed_identity == identity_now
        member.disputed_identity = identity_now
        return is_repeated

    def _refuse_stale(self, heartbeat: messages.Heartbeat) -> None:
        at_address = self._members.get(heartbeat.address)
        gone_incarnation = self._gone_incarnations.get(heartbeat.member_id, '')
        gone = (
            bool(gone_incarnation)
            and heartbeat.incarnation <= gone_incarnation
        )
        replaced = at_address is not None and (
            heartbeat.incarnation < at_address.incarnation
        )
        with_same_id = self.get(heartbeat.member_id)
        older = (
            with_same_id is not None
            and heartbeat.incarnation < with_same_id.incarnation
        )
        if gone or replaced or older:
            self._raise_stale(heartbeat)

    def _refuse(self, heartbeat: messages.Heartbeat) -> None:
        events.emit(
            cluster_events.HEARTBEAT_REFUSED,
            member_id=heartbeat.member_id[: identity.MAX_CHARACTERS],
            address=heartbeat.address[: identity.MAX_CHARACTERS],
            incarnation=heartbeat.incarnation[: identity.MAX_CHARACTERS],
        )

    def _raise_stale(self, heartbeat: messages.Heartbeat) -> None:
        self._refuse(heartbeat)
        raise errors.StaleIncarnation(
            f'process {heartbeat.incarnation} of {heartbeat.member_id} at '
            f'{heartbeat.address} was replaced or left the VM list; stop it'
        )

    def _record(
        self, heartbeat: messages.Heartbeat, sent_ms: int | None = None
    ) -> None:
        """Record a heartbeat; ``sent_ms`` is given if it is a reply."""
        member = self._ensure_member(heartbeat.address)
        if member.incarnation and member.incarnation < heartbeat.incarnation:
            self._mark_gone(member)
            member = self._ensure_member(heartbeat.address)
        before = (member.claims, member.configured)
        member.update(heartbeat, self._clock.now_ms())
        if sent_ms is not None:
            member.record_reply(heartbeat, sent_ms)
        self._fences.record_claims(heartbeat.claims)
        # Once only: the reply is kept, and the log may refute a fence.
        self._fences.record_claims(heartbeat.fenced)
        changed = before != (member.claims, member.configured)
        if self._update_state(member) or changed or heartbeat.fenced:
            self._notify()

    def _ensure_member(self, address: str) -> member_module.Member:
        member = self._members.get(address)
        if member is None:
            member = member_module.Member(address)
            self._members[address] = member
        if address not in self._heartbeat_tasks:
            self._wake_events[address] = asyncio.Event()
            self._heartbeat_tasks[address] = asyncio.ensure_future(
                self._run_heartbeats(address)
            )
        return member

    def _mark_gone(self, member: member_module.Member) -> None:
        # The incarnation is kept so that a late heartbeat is refused.
        if member.incarnation:
            self._gone_incarnations[member.member_id] = member.incarnation
        del self._members[member.address]
        self._set_state(member, _State.GONE)
        self._notify()

    def _forget(self, member: member_module.Member) -> None:
        self._mark_gone(member)
        self._stop_heartbeats(member)

    def _remove(self, member: member_module.Member) -> None:
        """Remove a member that no process may be."""
        del self._members[member.address]
        self._stop_heartbeats(member)
        self._notify()

    def _stop_heartbeats(self, member: member_module.Member) -> None:
        task = self._heartbeat_tasks.pop(member.address, None)
        if task is not None:
            task.cancel()
        self._wake_events.pop(member.address, None)
        self._client.drop(member.address)

    def _apply_vm_list(self) -> None:
        entries = {vm.address: vm for vm in self._vm_list.entry_vms()}
        listed_vm_ids = {vm.id for vm in entries.values()}
        for member in self.members():
            if member.vm is not None and member.vm.id not in listed_vm_ids:
                self._forget(member)
        for address, vm in entries.items():
            if address != self._self_member.address:
                member = self._ensure_member(address)
                member.update_vm(vm)
                if self._update_state(member):
                    self._notify()

    async def _run_heartbeats(self, address: str) -> None:
        wake = self._wake_events[address]
        wake.set()
        while True:
            started_ms = self._clock.now_ms()
            idle_ms = self._idle_ms(address)
            if wake.is_set() or not idle_ms:
                wake.clear()
                with log_and_suppress.LogAndSuppress('heartbeat'):
                    await self._send_heartbeat(address)
                idle_ms = self._interval_ms(address)
                idle_ms -= self._clock.now_ms() - started_ms
            with contextlib.suppress(errors.DeadlineExceeded):
                await self._clock.wait_for(
                    wake.wait(), max(_MIN_GAP_MS, idle_ms)
                )

    def _idle_ms(self, address: str) -> int:
        """Return how long the member need not be called."""
        member = self._members.get(address)
        if member is None or member.last_call_ms is None:
            return 0
        if self._self_member.address < address or self._needs_replies():
            return 0
        since_ms = self._clock.now_ms() - member.last_call_ms
        due_ms = self._timing.heartbeat_ms * _OVERDUE_PERCENT // 100
        return max(0, due_ms - since_ms)

    def _needs_replies(self) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms < self._demand_replies_until_ms or not self.settled():
            return True
        return self._is_log_silent()

    def _is_log_silent(self) -> bool:
        """Tell whether the log has not answered for assurance_ms / 2."""
        now_ms = self._clock.now_ms()
        own_heartbeat = self._self_member.heartbeat
        if own_heartbeat is None or own_heartbeat.log_age_ms < 0:
            return True
        age_ms = (
            own_heartbeat.log_age_ms
            + now_ms
            - (self._self_member.last_heard_ms or 0)
        )
        if age_ms <= self._timing.assurance_ms // 2:
            return False
        # The log may have answered since that heartbeat was built.
        age_ms = self._refresh_own_heartbeat().log_age_ms
        return not 0 <= age_ms <= self._timing.assurance_ms // 2

    def _interval_ms(self, address: str) -> int:
        # Retry refused connections sooner: a refused attempt is cheap, and
        # the member counts as down once refusals have lasted suspect_ms.
        member = self._members.get(address)
        if member is not None and member.state is not _State.DOWN:
            if member.last_refused_ms is not None:
                return self._timing.heartbeat_ms // 4
        return self._timing.heartbeat_ms

    async def _send_heartbeat(self, address: str) -> None:
        sent_ms = self._clock.now_ms()
        try:
            reply = await self._client.call(
                address,
                self._refresh_own_heartbeat(),
                self._reply_timeout_ms(),
            )
        except errors.PeerUnavailable:
            self._record_failure(address, self._client.refused(address))
        except errors.BasilspindleError:
            self._record_failure(address, False)
        else:
            self._handle_reply(address, reply, sent_ms)

    def _reply_timeout_ms(self) -> int:
        # A timed-out call and its retry over a new connection must fit
        # into suspect_ms.
        timing = self._timing
        half_ms = (timing.suspect_ms - timing.heartbeat_ms) // 2
        return max(timing.heartbeat_ms // 2, half_ms)

    def _record_failure(self, address: str, refused: bool) -> None:
        member = self._members.get(address)
        if member is None:
            return
        if refused:
            member.record_refusal(
                self._clock.now_ms(), self._timing.suspect_ms
            )
        else:
            member.clear_refusals()
        if self._update_state(member):
            self._notify()

    def _handle_reply(
        self, address: str, reply: messages.Heartbeat, sent_ms: int
    ) -> None:
        if reply.address == self._self_member.address:
            # The seed or VM list entry is this daemon itself.
            self._forget_self(address)
            return
        if reply.address != address:
            # Another daemon listens at this address.
            self._record_failure(address, False)
            return
        try:
            self._refuse_odd(reply)
            self._refuse_stale(reply)
        except (errors.BadRequest, errors.StaleIncarnation):
            self._record_failure(address, False)
            return
        self._record(reply, sent_ms)

    def _forget_self(self, address: str) -> None:
        member = self._members.pop(address, None)
        task = self._heartbeat_tasks.pop(address, None)
        if member is not None and task is not None:
            task.cancel()
        self._notify()

    async def _run_reviews(self) -> None:
        while True:
            await self._clock.sleep_ms(_REVIEW_INTERVAL_MS)
            now_ms = self._clock.now_ms()
            if now_ms - self._last_review_ms > self._pause_threshold_ms():
                # This process was paused: heartbeats missed meanwhile do
                # not make the other members suspect.
                self._listening_since_ms = now_ms
                self._last_silence_ms = now_ms
            self._last_review_ms = now_ms
            with log_and_suppress.LogAndSuppress('review'):
                if self._is_log_silent():
                    self.demand_replies()
                self._call_disconnected()
            changed = [self._update_state(member) for member in self.members()]
            if not all(member.state.responsive for member in self.members()):
                self._last_silence_ms = now_ms
            if any(changed):
                self._notify()

    def _call_disconnected(self) -> None:
        # A process that exits closes its connections. Calling at once
        # shows whether its address refuses new ones.
        for member in self.members():
            already_failing = (
                member.last_refused_ms is not None
                or not member.state.responsive
            )
            if not already_failing and self._client.lost(member.address):
                self._wake_events[member.address].set()

    def _pause_threshold_ms(self) -> int:
        return self._timing.suspect_ms // 2

    def _update_state(self, member: member_module.Member) -> bool:
        return self._set_state(member, self._state_of(member))

    def _set_state(self, member: member_module.Member, state: _State) -> bool:
        if member.state is state:
            return False
        events.emit(
            cluster_events.MEMBER_STATE,
            member_id=member.member_id,
            address=member.address,
            before=member.state,
            state=state,
        )
        member.state = state
        return True

    def _state_of(self, member: member_module.Member) -> _State:
        now_ms = self._clock.now_ms()
        suspect_ms = self._timing.suspect_ms
        if member.refused_for_ms(now_ms, suspect_ms) >= suspect_ms:
            return _State.DOWN
        if member.last_heard_ms is None:
            return _State.SUSPECT
        since_ms = max(member.last_heard_ms, self._listening_since_ms)
        if now_ms - since_ms > suspect_ms:
            return _State.SUSPECT
        return _State.LEAVING if member.leaving else _State.LIVE

    def _notify(self) -> None:
        log_and_suppress.call_listeners(self._listeners)
