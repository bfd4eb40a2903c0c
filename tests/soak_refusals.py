"""Overload leaders and lose them briefly while callers ask only once.

A caller that tries again at another daemon hides a refusal: the job runs
because a later attempt is accepted. Here part of the callers make a single
attempt, and the leader that refuses it stays the leader.
"""

import asyncio
import collections
import random
import time
import typing

import httpx
import msgspec

from tests import platform_case

if typing.TYPE_CHECKING:
    from tests import soak_case

# How the schedule of a seed has these faults: not at all, beside the others,
# or in a phase of their own, in which a leader stays for longer.
NONE = 'none'
BESIDE = 'beside'
APART = 'apart'
_MODES = (NONE, BESIDE, APART, APART, APART)
PHASE_S = 12.0
_OVERLOAD_SHARE = 0.75
_LATE_SHARE = 0.6
_PAUSE_SHARE = 0.5
_SLOW_STORE_SHARE = 0.4
# Seeds in which half of the cuts have the kernels lose packets and send them
# again.
_DROP_SHARE = 0.5
_DROPPING_CUTS = 0.5
# Attempts per second, and while the leader is to be overloaded.
_QUIET_RATE_S = 15.0
_BURST_RATE_S = (60.0, 100.0)
_BURST_S = (2.0, 5.0)
_BURST_PAUSE_S = (0.5, 1.5)
# The routes of the users' sites allow for up to 5 s.
_DEADLINE_MS = (1_500, 5_000)
_CLIENT_MARGIN_S = 2.0
_TASK_MS = (250, 250, 600)
_TASK_COUNTS = (1, 2, 3)
# Workers have 8 cores each; at most ten of them are up.
_TASK_CPU = (1_000, 2_000, 4_000)
_AT_LEADER_SHARE = 0.1
# Jobs per second that callers send to several daemons at once.
_SEVERAL_RATE_S = 5.0
_SEVERAL_COUNTS = (2, 3)
# Shorter than it takes the followers to replace the leader, or little longer.
_LOSS_S = (0.3, 1.6)
_LOSS_SERIES = (1, 2, 3, 4)
_LOSS_PAUSE_S = (0.1, 0.9)
_SERIES_PAUSE_S = (0.3, 1.5)
# What was sent during a cut arrives by then after its end.
_MAX_LATE_S = 1.5
_ONE_WAY_SHARE = 0.2
_SLOW_STORE_S = (0.05, 0.25)
# Time for a late copy to arrive, to be recorded and to start a task behind
# the backlog that a leader accepts.
LATE_START_S = _MAX_LATE_S + 6.5
_CLAIMS = 'keyed.lead'


class Refusals:
    """Faults and callers of one seed, drawn apart from its other faults."""

    __slots__ = (
        '_case',
        '_chance',
        '_delivers_late',
        '_drops',
        '_number',
        '_overloads',
        '_pauses',
        '_rate_s',
        '_seed',
        '_slows_store',
        'ended_s',
        'mode',
        'statuses',
    )

    def __init__(self, case: 'soak_case.SoakCase', seed: int) -> None:
        self._case = case
        self._seed = seed
        self._chance = random.Random(seed * 31 + 11)
        self.mode = self._chance.choice(_MODES)
        self._overloads = self._chance.random() < _OVERLOAD_SHARE
        self._delivers_late = self._chance.random() < _LATE_SHARE
        self._pauses = self._chance.random() < _PAUSE_SHARE
        self._slows_store = self._chance.random() < _SLOW_STORE_SHARE
        self._drops = self._chance.random() < _DROP_SHARE
        self._rate_s = _QUIET_RATE_S
        self._number = 0
        # Answers to the single attempts; 0 for none.
        self.statuses: collections.Counter[int] = collections.Counter()
        self.ended_s = time.monotonic()

    def describe(self) -> str:
        """Return what was drawn and how single attempts were answered."""
        drawn = {
            'overload': self._overloads,
            'late delivery': self._delivers_late,
            'lost packets': self._drops,
            'pauses': self._pauses,
            'slow store': self._slows_store,
        }
        if self.mode == NONE:
            return 'no refusals'
        names = [self.mode, *(name for name in drawn if drawn[name])]
        statuses = dict(sorted(self.statuses.items()))
        return f'refusals {", ".join(names)}; single attempts {statuses}'

    async def play(self, end_s: float) -> None:
        """Play the faults and the callers until the given time."""
        works = [self._submit_jobs, self._ask_several, self._lose_leaders]
        if self._overloads:
            works.append(self._overload)
        if self._slows_store:
            works.append(self._slow_store)
        async with asyncio.TaskGroup() as group:
            for work in works:
                group.create_task(work(end_s))
        self.ended_s = time.monotonic()

    async def _submit_jobs(self, end_s: float) -> None:
        limits = httpx.Limits(max_connections=None, keepalive_expiry=None)
        async with (
            httpx.AsyncClient(limits=limits, timeout=None) as session,
            asyncio.TaskGroup() as group,
        ):
            due_s = time.monotonic()
            while time.monotonic() < end_s:
                group.create_task(self._submit_once(session))
                due_s += self._chance.expovariate(self._rate_s)
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _submit_once(self, session: httpx.AsyncClient) -> None:
        chance = self._chance
        self._number += 1
        job_id = f'{self._seed % 0xFFFF:04x}eeee{self._number:08x}'
        daemon = chance.choice(self._case.daemons)
        leader = self._leader()
        if daemon is leader and chance.random() >= _AT_LEADER_SHARE:
            followers = set(self._case.daemons) - {leader}
            daemon = chance.choice(sorted(followers, key=_name))
        deadline_ms = chance.randint(*_DEADLINE_MS)
        body = platform_case.make_job(
            chance.choice(_TASK_MS),
            chance.choice(_TASK_COUNTS),
            cpu=chance.choice(_TASK_CPU),
        )
        self.statuses[
            await self._case.send_submission(
                session,
                daemon,
                job_id,
                body,
                deadline_ms,
                deadline_ms / 1000 + _CLIENT_MARGIN_S,
            )
        ] += 1

    async def _ask_several(self, end_s: float) -> None:
        # Each daemon answers for its own copies.
        chance = random.Random(self._seed * 31 + 17)
        number = 0
        async with (
            httpx.AsyncClient(timeout=None) as session,
            asyncio.TaskGroup() as group,
        ):
            while time.monotonic() < end_s:
                number += 1
                job_id = f'{self._seed % 0xFFFF:04x}dddd{number:08x}'
                deadline_ms = chance.randint(*_DEADLINE_MS)
                body = platform_case.make_job(
                    chance.choice(_TASK_MS), 1, cpu=chance.choice(_TASK_CPU)
                )
                for daemon in chance.sample(
                    self._case.daemons, chance.choice(_SEVERAL_COUNTS)
                ):
                    group.create_task(
                        self._case.send_submission(
                            session,
                            daemon,
                            job_id,
                            body,
                            deadline_ms,
                            deadline_ms / 1000 + _CLIENT_MARGIN_S,
                        )
                    )
                await asyncio.sleep(chance.expovariate(_SEVERAL_RATE_S))

    def _leader(self) -> platform_case.Daemon:
        """Return the daemon that made the newest claim."""
        claims = self._case.store.newest.get(_CLAIMS, {})
        nodes = [msgspec.msgpack.decode(raw)[0] for raw, _ in claims.values()]
        for daemon in self._case.daemons:
            if daemon.node in nodes:
                return daemon
        return self._case.daemons[0]

    async def _overload(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            self._rate_s = self._chance.uniform(*_BURST_RATE_S)
            await asyncio.sleep(self._chance.uniform(*_BURST_S))
            self._rate_s = _QUIET_RATE_S
            await asyncio.sleep(self._chance.uniform(*_BURST_PAUSE_S))

    async def _lose_leaders(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self._chance.uniform(*_SERIES_PAUSE_S))
            for _ in range(self._chance.choice(_LOSS_SERIES)):
                await self._lose_leader()
                await asyncio.sleep(self._chance.uniform(*_LOSS_PAUSE_S))

    async def _lose_leader(self) -> None:
        """Pause the leader, cut it off from other daemons, or both."""
        chance = self._chance
        leader = self._leader()
        duration_s = chance.uniform(*_LOSS_S)
        pauses = self._pauses and chance.random() < 0.5
        cuts = not pauses or chance.random() < 0.3
        others = [each for each in self._case.daemons if each is not leader]
        count = chance.choice((len(others), len(others), 1, 2))
        chosen = {daemon.node for daemon in chance.sample(others, count)}
        late_s = chance.uniform(0.0, _MAX_LATE_S)
        one_way = chance.random() < _ONE_WAY_SHARE
        pause_s = chance.uniform(_LOSS_S[0], duration_s)
        drops = self._drops and chance.random() < _DROPPING_CUTS
        if pauses:
            await self._case.fail_daemon(leader, 'pause', pause_s)
        if not cuts:
            await asyncio.sleep(pause_s)
            return
        cut = self._case.network.cut(
            chosen,
            {leader.node},
            one_way=one_way,
            late_s=late_s if self._delivers_late and not drops else 0.0,
            drops=drops,
        )
        await asyncio.sleep(duration_s)
        await self._case.network.heal(cut)

    async def _slow_store(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self._chance.uniform(0.5, 2.0))
            for door in self._case.doors.values():
                door.delay_s = self._chance.uniform(*_SLOW_STORE_S)
            await asyncio.sleep(self._chance.uniform(0.3, 1.5))
            for door in self._case.doors.values():
                door.delay_s = 0.0


def _name(daemon: platform_case.Daemon) -> str:
    return daemon.node
