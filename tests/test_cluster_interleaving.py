"""Interleave faults at random and look for two owners at once."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from tests import soak
from tests.standins import cluster_rig

_IDS = ('a', 'b', 'c')
_STEP_MS = 50
_PARTITIONS = 2
_START_STEPS = 40
_ONE = strategies.sampled_from(_IDS)
_PAIR = strategies.tuples(_ONE, _ONE).filter(lambda pair: pair[0] != pair[1])
_FAULT = strategies.one_of(
    strategies.tuples(
        strategies.sampled_from(
            (
                'pause',
                'resume',
                'kill',
                'replace',
                'vanish',
                'isolate',
                'hand_over',
            )
        ),
        _ONE,
    ),
    strategies.tuples(
        strategies.sampled_from(('cut', 'cut_one_way', 'lose_reply')), _PAIR
    ),
    strategies.tuples(
        strategies.sampled_from(
            (
                'heal',
                'log_down',
                'log_up',
                'lose_append',
                'list_silent',
            )
        ),
        strategies.none(),
    ),
)
# The owner is lost, and something fails right after the next claim.
_LOSS = strategies.tuples(
    strategies.just('lose_owner'),
    strategies.tuples(
        strategies.sampled_from(('isolate', 'pause', 'kill', 'vanish')),
        strategies.sampled_from(
            ('heal', 'log_down', 'pause_owner', 'lose_append')
        ),
    ),
)
# A claimant that had fenced nobody released its claim, and the next one took
# that for the release of the owner.
_RELEASED_UNFENCED = [
    (('isolate', 'a'), 81),
    (('isolate', 'a'), 81),
    (('log_up', None), 67),
    (('hand_over', 'a'), 1),
]
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(_FAULT, strategies.integers(1, 120)),
        strategies.tuples(_LOSS, strategies.integers(40, 150)),
    ),
    min_size=1,
    max_size=8,
)


class _Run:
    """Apply faults to a rig and note breaches."""

    def __init__(self, rig: cluster_rig.ClusterRig) -> None:
        self.rig = rig
        self.breaches: list[str] = []
        self.starts = 0
        self.armed: list[str] = []
        self.claims = 0
        # The id of the VM in each place; a replaced VM has another one.
        self.ids = {place: place for place in _IDS}

    def daemon(self, place):
        return self.rig.daemons[self.ids[place]]

    def address(self, place):
        return self.ids[place] + ':1'

    def pause(self, place):
        self.daemon(place).pause()

    def resume(self, place):
        # A resumed process may act before any of its timers runs.
        self.check()
        self.daemon(place).resume()
        self.check()

    async def kill(self, place):
        await self.daemon(place).kill()
        await self.rig.add(self.ids[place])

    async def replace(self, place):
        old = self.ids[place]
        await self.rig.daemons.pop(old).kill()
        del self.rig.source.vms[old]
        self.ids[place] = f'{place}{len(self.rig.network.nodes)}'
        await self.rig.add(self.ids[place])

    async def vanish(self, place):
        # The VM is lost: its address does not even refuse.
        self.isolate(place)
        await self.replace(place)

    def isolate(self, place):
        self.rig.network.isolate(self.address(place))

    def hand_over(self, place):
        for own_claim in self.daemon(place).ownership._own_claims.values():
            own_claim.request_handover()

    def cut(self, pair):
        self.rig.network.cut(*map(self.address, pair))

    def cut_one_way(self, pair):
        self.rig.network.cut(*map(self.address, pair), both=False)

    def lose_reply(self, pair):
        self.rig.network.lost_replies.add(tuple(map(self.address, pair)))

    def heal(self, _):
        self.rig.network.heal()

    def log_down(self, _):
        self.rig.log.down = True

    def log_up(self, _):
        self.rig.log.down = False

    def lose_append(self, _):
        self.rig.log.lost_answers += 1

    def list_silent(self, _):
        self.rig.source.silent = not self.rig.source.silent

    def owners(self):
        return [place for place in _IDS if self.daemon(place).active]

    async def lose_owner(self, faults):
        how, then = faults
        self.armed.append(then)
        for place in self.owners()[:1]:
            done = getattr(self, how)(place)
            if done is not None:
                await done

    def pause_owner(self, _):
        for place in self.owners()[:1]:
            self.pause(place)

    def spring(self):
        # Faults right after a claim hit the time before it is known.
        claims = self.rig.log.claims()
        if claims > self.claims:
            for name in self.armed:
                getattr(self, name)(None)
            self.armed.clear()
        self.claims = claims

    def check(self):
        for holder in self.rig.daemons.values():
            for partition in range(_PARTITIONS):
                found = self.rig.starters(partition, holder)
                self.starts += len(found)
                if len(found) > 1:
                    names = [daemon.member_id for daemon in found]
                    self.breaches.append(f'{names} at {holder.member_id}')

    async def step(self, fault, steps):
        name, argument = fault
        done = getattr(self, name)(argument)
        if done is not None:
            await done
        for _ in range(steps):
            await self.rig.run_ms(_STEP_MS)
            self.spring()
            self.check()


async def _interleave(steps, economical):
    async with cluster_rig.ClusterRig(
        partitions=_PARTITIONS, economical=economical
    ) as rig:
        for member_id in _IDS:
            await rig.add(member_id)
        run = _Run(rig)
        await run.step(('heal', None), _START_STEPS)
        for fault, count in steps:
            await run.step(fault, count)
        run.armed.clear()
        run.rig.log.down = False
        run.rig.source.silent = False
        rig.network.heal()
        for member_id in _IDS:
            run.resume(member_id)
        await run.step(('heal', None), 1)
        spent_ms = await rig.until(lambda: _settled(rig), 600_000)
        return run, spent_ms


def _settled(rig):
    return all(
        sum(daemon.starts(partition) for daemon in rig.daemons.values()) == 1
        for partition in range(_PARTITIONS)
    )


class InterleavingTest(unittest.TestCase):
    """Guard against two daemons that start tasks of one partition."""

    @soak.settings(60)
    @hypothesis.given(_STEPS, strategies.booleans())
    @hypothesis.example(_RELEASED_UNFENCED, True)
    def test_at_most_one_daemon_starts_tasks(self, steps, economical):
        run, _ = asyncio.run(_interleave(steps, economical))
        self.assertEqual([], run.breaches)
        self.assertGreater(run.starts, 0)
