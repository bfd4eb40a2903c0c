"""Know the other daemons and whether they answer."""

import asyncio
import collections.abc
import contextlib
import types
import typing

import msgspec

from basilspindle import clock as clock_module
from basilspindle.cluster import events as cluster_events
from basilspindle.cluster import fence_table
from basilspindle.cluster import log_and_suppress
from basilspindle.cluster import member as member_module
from basilspindle.cluster import member_state
from basilspindle.cluster import timing as timing_module
from basilspindle.cluster import vm_list as vm_list_module
from basilspindle import errors
from basilspindle import events
from basilspindle.peer import messages

_State = member_state.MemberState
Accept = collections.abc.Callable[[messages.Heartbeat], bool]
# States are reviewed at this interval between heartbeats.
_REVIEW_MS = 100
# Least time between two heartbeats to one member.
_REST_MS = 20
# Part of heartbeat_ms after which a member that did not call is called.
_MISSED_PERCENT = 125
# Time for which replies are demanded after the last request for them.
_DEMAND_MS = 5_000


class PeerCaller(typing.Protocol):
    """Call other daemons, as ``peer.PeerClient`` does."""

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Return the reply; raises ``PeerError`` and handlers' errors."""

    def refused(self, address: str) -> bool:
        """Tell whether the last connection to an address was refused."""

    def lost(self, address: str) -> bool:
        """Tell whether the connection was closed and not yet reopened."""

    def drop(self, address: str) -> None:
        """Forget an address."""


class Membership:
    """Exchange heartbeats with every other daemon and keep their states.

    While the log answers, only the member with the lower address of each
    pair calls the other, which halves the calls; both learn from the call
    and its reply. The other one calls if it is not called. While the log
    does not answer, every member calls every other, since assurance then
    rests on replies.

    ``own`` returns this daemon's heartbeat. ``seeds`` are addresses from
    the settings. The server that answers heartbeats must listen before
    this is entered and until after it is left: refused connections tell
    the others that no process runs here.
    """

    __slots__ = (
        '_beats',
        '_client',
        '_clock',
        '_demand_until_ms',
        '_fences',
        '_gone',
        '_listeners',
        '_members',
        '_own',
        '_quiet_from_ms',
        '_reviewed_ms',
        '_reviewer',
        '_seeds',
        '_self',
        '_started_ms',
        '_timing',
        '_vm_list',
        '_wakes',
    )

    def __init__(
        self,
        clock: clock_module.Clock,
        timing: timing_module.Timing,
        client: PeerCaller,
        vm_list: vm_list_module.VmList,
        own: collections.abc.Callable[[], messages.Heartbeat],
        *,
        seeds: collections.abc.Iterable[str] = (),
        fences: fence_table.FenceTable | None = None,
    ) -> None:
        self._clock = clock
        self._timing = timing
        self._client = client
        self._vm_list = vm_list
        self._own = own
        self._seeds = tuple(seeds)
        self._fences = fences or fence_table.FenceTable()
        self._members: dict[str, member_module.Member] = {}
        self._beats: dict[str, asyncio.Task[None]] = {}
        self._wakes: dict[str, asyncio.Event] = {}
        self._gone: dict[str, str] = {}
        self._listeners: list[collections.abc.Callable[[], None]] = []
        self._reviewer: asyncio.Task[None] | None = None
        self._self = member_module.Member('')
        self._started_ms = 0
        self._reviewed_ms = 0
        self._quiet_from_ms = 0
        self._demand_until_ms = 0

    async def __aenter__(self) -> 'Membership':
        now_ms = self._clock.now_ms()
        self._started_ms = now_ms
        self._reviewed_ms = now_ms
        self._quiet_from_ms = now_ms
        self._make_heartbeat()
        self._vm_list.on_change(self._follow_list)
        for address in self._seeds:
            self._learn(address)
        self._follow_list()
        self._reviewer = asyncio.ensure_future(self._keep_reviewing())
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        tasks = list(self._beats.values())
        if self._reviewer is not None:
            tasks.append(self._reviewer)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._beats.clear()

    @property
    def own(self) -> member_module.Member:
        """Return this daemon as a member."""
        return self._self

    def settled(self) -> bool:
        """Tell whether every member had suspect_ms to be heard.

        Counts from the start, and again after this process was paused.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._reviewed_ms > self._pause_ms():
            return False
        return now_ms - self._quiet_from_ms >= self._timing.suspect_ms

    def on_change(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call a function after a change of members, states or claims."""
        self._listeners.append(listener)

    def members(self) -> list[member_module.Member]:
        """Return all known members but this one."""
        return list(self._members.values())

    def live(self) -> list[member_module.Member]:
        """Return the live members, including this one, without leaving."""
        found = [
            member
            for member in self._members.values()
            if member.state is _State.LIVE
        ]
        if self._self.state is _State.LIVE:
            found.append(self._self)
        return found

    def get(self, member_id: str) -> member_module.Member | None:
        """Return a member by id; the newest incarnation if several."""
        if member_id == self._self.member_id:
            return self._self
        found = [
            member
            for member in self._members.values()
            if member.member_id == member_id
        ]
        return max(found, key=lambda m: m.incarnation, default=None)

    def required_members(self) -> list[member_module.Member]:
        """Return the other members that count for assurance and fences."""
        return [
            member
            for member in self._members.values()
            if self._state_of(member).must_reply
        ]

    def answered_send_ms(self, member_id: str) -> int | None:
        """Return when the last answered heartbeat was sent, if any was.

        Grows old while the log answers and the member is the one that
        calls; its state tells whether it is heard.
        """
        member = self.get(member_id)
        return None if member is None else member.last_answered_send_ms

    def oldest_answered_send_ms(
        self, region: str | None = None, accept: Accept | None = None
    ) -> int | None:
        """Return the oldest of the last answered sends, in ms.

        Takes the members of a region (or of an unknown one) that must
        reply; None if one never replied, ``accept`` rejects its reply or
        this daemon is not settled. Without any such member it is the
        present time.
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
        """Call every member for a while, as without the log."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._demand_until_ms:
            self.send_now()
        self._demand_until_ms = now_ms + _DEMAND_MS

    def send_now(self) -> None:
        """Send the next heartbeat to every member now."""
        for wake in self._wakes.values():
            wake.set()

    async def handle(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Answer a heartbeat; raises ``StaleIncarnation``."""
        if heartbeat.address != self._self.address:
            self._refuse_stale(heartbeat)
            self._record(heartbeat)
            called = self._members[heartbeat.address]
            called.last_call_ms = self._clock.now_ms()
        reply = self._make_heartbeat()
        fenced = self._fences.superseding(heartbeat.claims)
        if fenced:
            return msgspec.structs.replace(reply, fenced=fenced)
        return reply

    def _make_heartbeat(self) -> messages.Heartbeat:
        heartbeat = self._own()
        self._self.address = heartbeat.address
        self._self.update(heartbeat, self._clock.now_ms())
        leaving = heartbeat.leaving
        self._self.state = _State.LEAVING if leaving else _State.LIVE
        return heartbeat

    def _refuse_stale(self, heartbeat: messages.Heartbeat) -> None:
        known = self._members.get(heartbeat.address)
        newest = self._gone.get(heartbeat.member_id, '')
        gone = bool(newest) and heartbeat.incarnation <= newest
        replaced = known is not None and (
            heartbeat.incarnation < known.incarnation
        )
        same = self.get(heartbeat.member_id)
        older = same is not None and heartbeat.incarnation < same.incarnation
        if gone or replaced or older:
            self._refuse(heartbeat)

    def _refuse(self, heartbeat: messages.Heartbeat) -> None:
        events.emit(
            cluster_events.HEARTBEAT_REFUSED,
            member_id=heartbeat.member_id,
            address=heartbeat.address,
            incarnation=heartbeat.incarnation,
        )
        raise errors.StaleIncarnation(
            f'{heartbeat.incarnation} of {heartbeat.member_id} at '
            f'{heartbeat.address} was replaced; stop that process'
        )

    def _record(
        self, heartbeat: messages.Heartbeat, sent_ms: int | None = None
    ) -> None:
        member = self._learn(heartbeat.address)
        if member.incarnation and member.incarnation < heartbeat.incarnation:
            self._mark_gone(member)
            member = self._learn(heartbeat.address)
        before = (member.claims, member.configured)
        member.update(heartbeat, self._clock.now_ms())
        if sent_ms is not None:
            member.record_reply(heartbeat, sent_ms)
        self._fences.record_claims(heartbeat.claims)
        changed = before != (member.claims, member.configured)
        if self._review(member) or changed or heartbeat.fenced:
            self._notify()

    def _learn(self, address: str) -> member_module.Member:
        member = self._members.get(address)
        if member is None:
            member = member_module.Member(address)
            self._members[address] = member
        if address not in self._beats:
            self._wakes[address] = asyncio.Event()
            self._beats[address] = asyncio.ensure_future(self._beat(address))
        return member

    def _mark_gone(self, member: member_module.Member) -> None:
        # The id stays in _gone so that a late heartbeat is refused.
        if member.incarnation:
            self._gone[member.member_id] = member.incarnation
        del self._members[member.address]
        self._set_state(member, _State.GONE)
        self._notify()

    def _forget(self, member: member_module.Member) -> None:
        self._mark_gone(member)
        beat = self._beats.pop(member.address, None)
        if beat is not None:
            beat.cancel()
        self._wakes.pop(member.address, None)
        self._client.drop(member.address)

    def _follow_list(self) -> None:
        entries = {vm.address: vm for vm in self._vm_list.entry_vms()}
        listed = {vm.id for vm in entries.values()}
        for member in self.members():
            if member.vm is not None and member.vm.id not in listed:
                self._forget(member)
        for address, vm in entries.items():
            if address != self._self.address:
                member = self._learn(address)
                member.update_vm(vm)
                if self._review(member):
                    self._notify()

    async def _beat(self, address: str) -> None:
        wake = self._wakes[address]
        wake.set()
        while True:
            began_ms = self._clock.now_ms()
            rest_ms = self._rest_ms(address)
            if wake.is_set() or not rest_ms:
                wake.clear()
                with log_and_suppress.LogAndSuppress('heartbeat'):
                    await self._exchange(address)
                rest_ms = self._pace_ms(address)
                rest_ms -= self._clock.now_ms() - began_ms
            with contextlib.suppress(errors.DeadlineExceeded):
                await self._clock.wait_ms(wake.wait(), max(_REST_MS, rest_ms))

    def _rest_ms(self, address: str) -> int:
        """Return for how long the member need not be called."""
        member = self._members.get(address)
        if member is None or member.last_call_ms is None:
            return 0
        if self._self.address < address or self._needs_replies():
            return 0
        since_ms = self._clock.now_ms() - member.last_call_ms
        due_ms = self._timing.heartbeat_ms * _MISSED_PERCENT // 100
        return max(0, due_ms - since_ms)

    def _needs_replies(self) -> bool:
        now_ms = self._clock.now_ms()
        if now_ms < self._demand_until_ms or not self.settled():
            return True
        return self._log_silent()

    def _log_silent(self) -> bool:
        now_ms = self._clock.now_ms()
        spoken = self._self.heartbeat
        if spoken is None or spoken.log_age_ms < 0:
            return True
        age_ms = spoken.log_age_ms + now_ms - (self._self.last_heard_ms or 0)
        if age_ms <= self._timing.assurance_ms // 2:
            return False
        age_ms = self._make_heartbeat().log_age_ms
        return not 0 <= age_ms <= self._timing.assurance_ms // 2

    def _pace_ms(self, address: str) -> int:
        # A refused connection costs little, and the sooner a series of
        # refusals is complete, the sooner the member counts as down.
        member = self._members.get(address)
        if member is not None and member.state is not _State.DOWN:
            if member.last_refused_ms is not None:
                return self._timing.heartbeat_ms // 4
        return self._timing.heartbeat_ms

    async def _exchange(self, address: str) -> None:
        sent_ms = self._clock.now_ms()
        try:
            reply = await self._client.call(
                address, self._make_heartbeat(), self._reply_ms()
            )
        except errors.PeerUnavailable:
            self._miss(address, self._client.refused(address))
        except errors.BasilspindleError:
            self._miss(address, False)
        else:
            self._accept(address, reply, sent_ms)

    def _reply_ms(self) -> int:
        # One missed reply and its repetition over a new connection fit
        # into suspect_ms.
        timing = self._timing
        half_ms = (timing.suspect_ms - timing.heartbeat_ms) // 2
        return max(timing.heartbeat_ms // 2, half_ms)

    def _miss(self, address: str, refused: bool) -> None:
        member = self._members.get(address)
        if member is None:
            return
        if refused:
            member.record_refusal(
                self._clock.now_ms(), self._timing.suspect_ms
            )
        else:
            member.clear_refusals()
        if self._review(member):
            self._notify()

    def _accept(
        self, address: str, reply: messages.Heartbeat, sent_ms: int
    ) -> None:
        if reply.address == self._self.address:
            # A seed or a list entry that is this daemon itself.
            self._forget_self(address)
            return
        if reply.address != address:
            self._miss(address, False)
            return
        try:
            self._refuse_stale(reply)
        except errors.StaleIncarnation:
            self._miss(address, False)
            return
        self._record(reply, sent_ms)

    def _forget_self(self, address: str) -> None:
        member = self._members.pop(address, None)
        beat = self._beats.pop(address, None)
        if member is not None and beat is not None:
            beat.cancel()
        self._notify()

    async def _keep_reviewing(self) -> None:
        while True:
            await self._clock.sleep_ms(_REVIEW_MS)
            now_ms = self._clock.now_ms()
            if now_ms - self._reviewed_ms > self._pause_ms():
                # This process was paused. What it has not heard in the
                # meantime says nothing about the others.
                self._quiet_from_ms = now_ms
            self._reviewed_ms = now_ms
            with log_and_suppress.LogAndSuppress('review'):
                if self._log_silent():
                    self.demand_replies()
                self._call_lost()
            changed = [self._review(member) for member in self.members()]
            if any(changed):
                self._notify()

    def _call_lost(self) -> None:
        # A process that ends closes its connections. The call tells soon
        # whether its address refuses new ones.
        for member in self.members():
            known = (
                member.last_refused_ms is not None
                or not member.state.responsive
            )
            if not known and self._client.lost(member.address):
                self._wakes[member.address].set()

    def _pause_ms(self) -> int:
        return self._timing.suspect_ms // 2

    def _review(self, member: member_module.Member) -> bool:
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
        since_ms = max(member.last_heard_ms, self._quiet_from_ms)
        if now_ms - since_ms > suspect_ms:
            return _State.SUSPECT
        return _State.LEAVING if member.leaving else _State.LIVE

    def _notify(self) -> None:
        log_and_suppress.notify(self._listeners)
