"""Test where the answer to one call may be taken for that of another one.

Written in the review of issue 38 (docs/decisions/refusals.md).
"""

import asyncio
import collections
import contextlib
import random
import socket
import unittest
from unittest import mock

import msgspec

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import copies as copies_module
from basilspindle.cell.decisions import pacing
from basilspindle.cell import election as election_module
from basilspindle.cell import first_calls
from basilspindle.cell import identity as identity_module
from basilspindle.cell import intake as intake_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import node as node_module
from basilspindle.cell import orders as orders_module
from basilspindle.cell import session as session_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.platform import client as client_module
from basilspindle.workflow import job as job_module
from tests import cell_case
from tests import test_refusal_promises

_SERVICE = '00000000000000aa'
_BACKFILL = '00000000000000bb'
_TARGET_MS = 200
_PLAYS = 400
_STEPS = 400
_LONG_MS = 60_000
# The system of a sender takes the one at once, that of a receiver the other.
_SENT_BYTES = 500_000
_RECEIVE_BYTES = 8_192
_REPORTS = 10
_FULL_CPU = 2


class UnstatedEpochTest(unittest.TestCase):
    """Guard refusals of builds that state no epoch."""

    def test_a_refusal_without_an_epoch_covers_no_other_copy(self):
        """Guard against a promise for a copy to a claim without an epoch."""
        copies = copies_module.Copies(clock_module.Clock())
        copies.note('leader', 0, 0, copies_module.NO_REPLY)
        copies.note_refusal('leader', 0, 0, 'overloaded', covered_epoch=0)
        self.assertTrue(copies.may_have_effect)


class AnnouncementTest(unittest.IsolatedAsyncioTestCase):
    """Guard the wait for workers of a leader that has been replaced."""

    async def test_only_an_acceptance_shows_that_a_claim_is_known(self):
        """Guard against a predecessor that is taken for gone and leads.

        A daemon in which an announcement fails answers that it does not lead.
        """
        link = mock.Mock()
        link.call = mock.AsyncMock(return_value=messages.NotLeading())
        election = election_module.Election(
            identity_module.Identity('a', 'a:1', 'z'),
            mock.Mock(),
            clock_module.Clock(),
            *[mock.Mock()] * 3,
        )
        with mock.patch.object(
            link_module, 'connect', mock.AsyncMock(return_value=link)
        ):
            is_known = await election.announce_to(
                'b:1', claim_module.Claim('a', 'a:1', 'i', 1, epoch=2)
            )
        self.assertFalse(is_known)


class _PacedWorker:
    """Carries out the first pace order after the second one."""

    def __init__(self):
        self.percents = []
        self._late = None

    async def pace(self, address, worker_id, token, name, run, percent, ms):
        if self._late is None:
            self._late = percent
            raise errors.WorkerOutcomeUnknown('no answer; ask again')
        self.percents += [percent, self._late]


class LatePaceTest(cell_case.CellCase):
    """Guard services against a pace that a worker takes up late."""

    def setUp(self):
        super().setUp()
        self.add_worker('w1', cpu=4_000)
        service = cell_case.make_step(
            cpu=3_000, service=True, target_ms=_TARGET_MS
        )
        backfill = cell_case.make_step(cpu=2_000, fills=True)
        self.submit(cell_case.make_definition(_SERVICE, service))
        self.submit(cell_case.make_definition(_BACKFILL, backfill))
        starts = self.start_all(self.plan())
        self.running = [(start.task.name, start.run) for start in starts]
        self.backfill = self.state.table.tasks[f'{_BACKFILL}.0.0.0']

    def test_a_pace_that_arrives_late_is_corrected(self):
        """Guard against a service that stays over its target (HARM).

        A worker may carry out a call without an answer after newer calls.
        """
        worker = self.state.workers['w1']
        orders = _PacedWorker()
        session = session_module.Session(
            worker,
            orders,
            cell_case.ConfirmedOwner(),
            clock_module.Clock(),
            1,
            10_000,
            first_calls.FirstCalls(clock_module.Clock()),
        )

        def report(response_time_ms):
            self.now_ms += 1_000
            self.report(
                'w1',
                self.running,
                loads={
                    f'{_SERVICE}.0.0.0': response_time_ms,
                    self.backfill.name: _FULL_CPU,
                },
            )
            pacing.pace(self.state, worker, self.now_ms)
            paces = self.state.take_orders().paces
            for order in paces:
                asyncio.run(session._pace(order))
            return paces

        report(170)
        over_ms = 2 * _TARGET_MS
        [order] = report(over_ms)
        self.assertIsInstance(order, orders_module.PaceOrder)
        self.assertEqual([0, 50], orders.percents)
        # The task works on at 50%, and its CPU usage is reported.
        later = [report(over_ms) for _ in range(_REPORTS)]
        self.assertTrue(any(later))


class AbandonedCallTest(unittest.IsolatedAsyncioTestCase):
    """Guard workers and the store against calls that nobody waits for."""

    async def test_what_a_silent_server_has_not_received_is_dropped(self):
        """Guard against orders and claims that the system delivers late.

        It sends again what it holds of a connection that the process has
        closed, as for links between daemons (issue 38).
        """
        with socket.socket() as listener:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES
            )
            listener.bind(('127.0.0.1', 0))
            listener.listen()
            host, port = listener.getsockname()
            async with client_module.Client() as client:
                with self.assertRaises(client_module.CallFailed):
                    await client.call(
                        f'{host}:{port}',
                        'POST',
                        '/',
                        b'x' * _SENT_BYTES,
                        timeout_ms=200,
                    )
            await asyncio.sleep(0.1)
            far, _ = listener.accept()
            with far:
                received = await asyncio.to_thread(_read_all, far)
        self.assertLess(received, _SENT_BYTES)


def _read_all(sock):
    """Return how many bytes arrive until the connection ends."""
    sock.settimeout(5)
    count = 0
    with contextlib.suppress(ConnectionResetError):
        while data := sock.recv(65_536):
            count += len(data)
    return count


class _Transport:
    """Transport of a leader's link that the play delivers by hand."""

    def __init__(self, link):
        self.link = link
        self.replies = []
        self.is_aborted = False

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return self.is_aborted

    def write(self, data):
        frame = msgspec.msgpack.decode(data[4:], type=messages.Frame)
        self.replies.append(frame)

    def abort(self):
        if not self.is_aborted:
            self.is_aborted = True
            asyncio.get_running_loop().call_soon(
                self.link.connection_lost, None
            )


class _LeaderLink:
    """One connection: frames under way to the leader, and its replies."""

    def __init__(self, node, number, epoch):
        self.epoch = epoch
        self.number = number
        self.frames = []
        self.is_answered = False
        self.link = link_module.Link(
            node.handle,
            node._on_link_open,
            node._on_link_close,
            node._close_replaced_links,
        )
        self.transport = _Transport(self.link)
        self.link._transport = self.transport
        node._on_link_open(self.link)

    def send(self, number, message):
        payload = msgspec.msgpack.encode(messages.Frame(number, message))
        self.frames.append(len(payload).to_bytes(4, 'big') + payload)

    def deliver(self, count):
        if self.transport.is_aborted or not self.frames:
            return
        data = b''.join(self.frames[:count])
        del self.frames[:count]
        self.link.data_received(data)


class _Play:
    """A process that submits jobs to two daemons that lead in turn.

    Its links are late, and a leader that was replaced may not know of it.
    ``faults`` names each job that was refused and is known or recorded.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = test_refusal_promises._GateClock()
        self.nodes = [
            node_module.Node(
                identity_module.Identity(name, f'{name}:1', 'a'),
                node_module.Platform(*[mock.Mock()] * 5),
                bounds_module.Bounds(),
                self.clock,
            )
            for name in ('a', 'b')
        ]
        self.epoch = 0
        # Ids of the jobs that the log holds.
        self.recorded = set()
        self.links = []
        self.job_number = 0
        self.refused = set()
        self.faults = []
        self.counts = collections.Counter()
        self.change_leader()
        self.new_job()

    def lead(self, node):
        self.epoch += 1
        leader = test_refusal_promises.make_leader(self.clock)
        leader.claim = msgspec.structs.replace(leader.claim, epoch=self.epoch)
        for job_id in self.recorded:
            job = job_module.Job(make_definition(job_id), 0)
            leader._intake.adopt(job, 0)
            job.durable_state = job.state
            job.append_started = True
        node.leader = leader
        if self.random.random() < 0.5:
            leader._submit = self.suspend(leader._submit)

    def suspend(self, submit):
        async def submit_later(request):
            for _ in range(self.random.randrange(6)):
                await asyncio.sleep(0)
            return await submit(request)

        return submit_later

    def step_down(self, node):
        leader, node.leader = node.leader, None
        leader.ready = False
        leader.lost.set()
        leader._recorder.close()

    def check_backlog(self, *_):
        if self.random.random() < 0.5:
            raise errors.Overloaded('full', retry_after_ms=1)

    def new_job(self):
        self.job_number += 1
        self.job_id = f'{self.job_number:016x}'
        self.copies = copies_module.Copies(self.clock)
        self.open_number = None

    async def run(self):
        weights = {
            self.connect: 2,
            self.submit: 8,
            self.deliver: 10,
            self.deliver_newest: 6,
            self.read: 12,
            self.append: 2,
            self.withdraw: 1,
            self.time_out: 2,
            self.change_leader: 0.5,
        }
        steps = self.random.choices(
            list(weights), list(weights.values()), k=_STEPS
        )
        for step in steps:
            step()
            for _ in range(self.random.choice((0, 0, 1, 3))):
                await asyncio.sleep(0)
            self.check()
        for link in self.links:
            link.deliver(10_000)
        await self.settle_tasks()
        self.append()
        self.check()
        for node in self.nodes:
            if node.leader is not None:
                self.step_down(node)
        for link in self.links:
            link.transport.abort()
        await self.settle_tasks()

    async def settle_tasks(self):
        for _ in range(20):
            await asyncio.sleep(0)

    def check(self):
        known = set(self.recorded)
        for node in self.nodes:
            if node.leader and node.leader.claim.epoch == self.epoch:
                known |= set(node.leader.state.table.jobs)
        self.faults += self.refused & known

    def connect(self):
        """Replace the link by one to a daemon that may lead."""
        if self.open_number is not None:
            self.settle(copies_module.NO_REPLY)
        if self.links and self.random.random() < 0.2:
            # The leader learns at once that the connection has ended.
            self.links[-1].deliver(self.random.randint(1, 3))
            self.links[-1].transport.abort()
        leading = [node for node in self.nodes if node.leader]
        if not leading:
            return
        node = self.random.choice(leading)
        epoch = node.leader.claim.epoch
        link = _LeaderLink(node, len(self.links) + 1, epoch)
        self.links.append(link)
        link.send(1, messages.Ping('d', 'p', link.number))
        self.numbers = 1

    def settle(self, outcome):
        link = self.links[-1]
        self.copies.note('l', link.epoch, self.clock.now_ms(), outcome)
        self.open_number = None

    def submit(self):
        if not self.links or not self.links[-1].is_answered:
            return
        if self.open_number is not None:
            return
        link = self.links[-1]
        self.numbers += 1
        self.open_number = self.numbers
        link.send(
            self.numbers,
            messages.Submit(
                make_definition(self.job_id), _LONG_MS, link.epoch
            ),
        )

    def deliver(self):
        if self.links:
            link = self.random.choice(self.links[-4:])
            link.deliver(self.random.randint(1, 3))

    def deliver_newest(self):
        if self.links:
            self.links[-1].deliver(1)

    def read(self):
        """Read a reply of the newest link; the others are closed here."""
        if not self.links or not self.links[-1].transport.replies:
            return
        link = self.links[-1]
        frame = link.transport.replies.pop(0)
        reply = frame.message
        if isinstance(reply, messages.Pong):
            link.is_answered |= reply.leads and reply.epoch == link.epoch
            return
        if frame.number != self.open_number:
            return
        if isinstance(reply, messages.NotLeading):
            self.settle(copies_module.NOT_LEADING)
            self.counts['not_leading'] += 1
            if self.random.random() < 0.2:
                self.new_job()
            return
        self.open_number = None
        if isinstance(reply, messages.Accepted):
            self.counts['accepted'] += 1
            self.new_job()
            return
        was_open = self.copies.may_have_effect
        self.copies.note_refusal(
            'l', link.epoch, 0, reply.kind, covered_epoch=reply.epoch
        )
        if not self.copies.may_have_effect:
            self.counts['refused'] += 1
            self.counts['refused_after_open'] += was_open
            self.refused.add(self.job_id)
            self.new_job()
        else:
            self.counts['unknown'] += 1
            if self.random.random() < 0.5:
                self.new_job()

    def append(self):
        """Have each leader append; one that was replaced is fenced off."""
        for node in self.nodes:
            leader = node.leader
            if leader is None or self.random.random() < 0.5:
                continue
            batch = leader._recorder.collect()
            if leader.claim.epoch < self.epoch:
                self.step_down(node)
                continue
            self.recorded |= {job.job_id for job, _, _ in batch.jobs}
            if self.random.random() < 0.8:
                leader._recorder.apply(batch)
            # Else the answer is lost, and the leader never applies it.

    def withdraw(self):
        for node in self.nodes:
            if node.leader is not None:
                node.leader._recorder.withdraw_unsent()

    def time_out(self):
        if self.clock.gates:
            gate = self.random.choice(self.clock.gates)
            if not gate.done():
                gate.set_result(None)

    def change_leader(self):
        """Have a daemon lead with what the log holds."""
        node = self.random.choice(self.nodes)
        if node.leader is not None:
            self.step_down(node)
        self.lead(node)


def make_definition(job_id):
    """Return a definition of a job with one task."""
    return cell_case.make_definition(job_id, cell_case.make_step())


class LateLinkTest(unittest.IsolatedAsyncioTestCase):
    """Guard refusals against what earlier links of a process carry."""

    async def test_refusals_are_true_over_links_in_any_order(self):
        """Guard against a refused job that runs (issue 38, REFUSED).

        Pings and copies of closed links arrive late, handlers are suspended
        before they change anything, and the leader leads again.
        """
        counts = collections.Counter()
        for seed in range(_PLAYS):
            play = _Play(seed)
            with mock.patch.object(
                intake_module.Intake, '_check_backlog', play.check_backlog
            ):
                await play.run()
            self.assertEqual([], play.faults, f'seed {seed}')
            counts += play.counts
        for outcome in ('accepted', 'refused_after_open', 'unknown'):
            self.assertTrue(counts[outcome], outcome)
