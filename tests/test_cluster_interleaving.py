"""Interleave random faults and check that no partition has two owners."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from tests import soak
from tests.standins import cluster_rig

_SLOTS = ('a', 'b', 'c')
_STEP_MS = 50
_PARTITIONS = 2
_START_STEPS = 40
_SLOT = strategies.sampled_from(_SLOTS)
_SLOT_PAIR = strategies.tuples(_SLOT, _SLOT).filter(
    lambda pair: pair[0] != pair[1]
)
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
                'lose_log',
                'hand_over',
            )
        ),
        _SLOT,
    ),
    strategies.tuples(
        strategies.sampled_from(('cut', 'cut_one_way', 'lose_reply')),
        _SLOT_PAIR,
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
# The owner fails, and another fault follows right after the next claim.
_OWNER_LOSS = strategies.tuples(
    strategies.just('lose_owner'),
    strategies.tuples(
        strategies.sampled_from(
            ('isolate', 'cut_off', 'pause', 'kill', 'vanish')
        ),
        strategies.sampled_from(
            ('heal', 'log_down', 'pause_owner', 'lose_append')
        ),
    ),
)
# A claimant that has fenced nobody releases its claim, and the next claimant
# must not take this for the release of the owner.
_RELEASED_UNFENCED = [
    (('isolate', 'a'), 81),
    (('isolate', 'a'), 81),
    (('log_up', None), 67),
    (('hand_over', 'a'), 1),
]
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(_FAULT, strategies.integers(1, 120)),
        strategies.tuples(_OWNER_LOSS, strategies.integers(40, 150)),
    ),
    min_size=1,
    max_size=8,
)


class _FaultRun:
    """Apply faults to a rig and record each time two daemons may start."""

    def __init__(self, rig: cluster_rig.ClusterRig) -> None:
        self.rig = rig
        self.violations: list[str] = []
        self.starts = 0
        self.pending_faults: list[str] = []
        self.claim_count = 0
        # The id of the VM in each slot; a replacement VM has a new id.
        self.vm_ids = {slot: slot for slot in _SLOTS}

    def daemon(self, slot):
        return self.rig.daemons[self.vm_ids[slot]]

    def address(self, slot):
        return self.vm_ids[slot] + ':1'

    def pause(self, slot):
        self.daemon(slot).pause()

    def resume(self, slot):
        # A resumed process may act before any of its timers fires.
        self.check()
        self.daemon(slot).resume()
        self.check()

    async def kill(self, slot):
        await self.daemon(slot).kill()
        await self.rig.add(self.vm_ids[slot])

    async def replace(self, slot):
        old = self.vm_ids[slot]
        await self.rig.daemons.pop(old).kill()
        del self.rig.source.vms[old]
        self.vm_ids[slot] = f'{slot}{len(self.rig.network.nodes)}'
        await self.rig.add(self.vm_ids[slot])

    async def vanish(self, slot):
        # The VM is lost: its address does not even refuse connections.
        self.isolate(slot)
        await self.replace(slot)

    def isolate(self, slot):
        self.rig.network.isolate(self.address(slot))

    def cut_off(self, slot):
        self.isolate(slot)
        self.lose_log(slot)

    def hand_over(self, slot):
        for own_claim in self.daemon(slot).ownership._own_claims.values():
            own_claim.request_handover()

    def cut(self, pair):
        self.rig.network.cut(*map(self.address, pair))

    def cut_one_way(self, pair):
        self.rig.network.cut(*map(self.address, pair), both=False)

    def lose_reply(self, pair):
        self.rig.network.lost_replies.add(tuple(map(self.address, pair)))

    def heal(self, _):
        self.rig.network.heal()
        for daemon in self.rig.daemons.values():
            daemon.log.down = False

    def lose_log(self, slot):
        # With ``isolate``, the daemon is cut off from everything but workers.
        self.daemon(slot).log.down = True

    def log_down(self, _):
        self.rig.log.down = True

    def log_up(self, _):
        self.rig.log.down = False

    def lose_append(self, _):
        self.rig.log.lost_answers += 1

    def list_silent(self, _):
        self.rig.source.silent = not self.rig.source.silent

    def owners(self):
        return [slot for slot in _SLOTS if self.daemon(slot).active_epochs]

    async def lose_owner(self, faults):
        owner_fault, claim_fault = faults
        self.pending_faults.append(claim_fault)
        for slot in self.owners()[:1]:
            pending = getattr(self, owner_fault)(slot)
            if pending is not None:
                await pending

    def pause_owner(self, _):
        for slot in self.owners()[:1]:
            self.pause(slot)

    def apply_pending_faults(self):
        # Right after a claim, other members do not know of it yet.
        claim_count = self.rig.log.count_claims()
        if claim_count > self.claim_count:
            for name in self.pending_faults:
                getattr(self, name)(None)
            self.pending_faults.clear()
        self.claim_count = claim_count

    def check(self):
        for holder in self.rig.daemons.values():
            for partition in range(_PARTITIONS):
                found = self.rig.accepted_starters(partition, holder)
                self.starts += len(found)
                if len(found) > 1:
                    names = [daemon.member_id for daemon in found]
                    self.violations.append(f'{names} at {holder.member_id}')

    async def step(self, fault, steps):
        name, argument = fault
        pending = getattr(self, name)(argument)
        if pending is not None:
            await pending
        for _ in range(steps):
            await self.rig.run_ms(_STEP_MS)
            self.apply_pending_faults()
            self.check()


async def _interleave(steps, economical):
    async with cluster_rig.ClusterRig(
        partitions=_PARTITIONS, reports_log_age=economical
    ) as rig:
        for member_id in _SLOTS:
            await rig.add(member_id)
        run = _FaultRun(rig)
        await run.step(('heal', None), _START_STEPS)
        for fault, count in steps:
            await run.step(fault, count)
        run.pending_faults.clear()
        run.rig.log.down = False
        run.rig.source.silent = False
        rig.network.heal()
        for member_id in _SLOTS:
            run.resume(member_id)
        await run.step(('heal', None), 1)
        spent_ms = await rig.wait_until(lambda: _all_owned(rig), 600_000)
        return run, spent_ms


def _all_owned(rig):
    return all(
        sum(daemon.may_start(partition) for daemon in rig.daemons.values())
        == 1
        for partition in range(_PARTITIONS)
    )


class InterleavingTest(unittest.TestCase):
    """Guard against two daemons that start tasks of one partition."""

    @soak.settings(60)
    @hypothesis.given(_STEPS, strategies.booleans())
    @hypothesis.example(_RELEASED_UNFENCED, True)
    def test_at_most_one_daemon_starts_tasks(self, steps, economical):
        run, _ = asyncio.run(_interleave(steps, economical))
        self.assertEqual([], run.violations)
        self.assertGreater(run.starts, 0)
