"""Test which leader a daemon follows, and when it replaces a leader."""

import asyncio
import unittest
from unittest import mock

from basilspindle.cell import claim as claim_module
from basilspindle.cell import election as election_module
from basilspindle.cell import identity as identity_module
from basilspindle.cell import ports
from basilspindle import clock as clock_module


class _Clock(clock_module.Clock):
    async def sleep_ms(self, duration_ms):
        return


class _Election(election_module.Election):
    """Records the epochs of the leaders instead of connecting to them."""

    answer = None

    def __init__(self):
        identity = identity_module.Identity('me', '1:1', 'a')
        super().__init__(
            identity,
            None,
            _Clock(),
            None,
            None,
            lambda link, pong, sent_ms: None,
        )
        self.followed = []

    async def _ask_members(self):
        return self.answer

    async def _follow(self, claim):
        self.followed.append(claim.epoch)


def _claim(epoch):
    return claim_module.Claim('n', '9:9', 'i', 0, epoch=epoch)


class StoreOutageTest(unittest.IsolatedAsyncioTestCase):
    """Guard against following a replaced leader while the store is down.

    A leader that does not know of its successor may refuse a job that the
    successor has accepted.
    """

    async def run_round(self, known, answer):
        election = _Election()
        election.claim = _claim(known)
        election.answer = _claim(answer) if answer else None
        await election._run_round_without_store()
        return election.followed

    async def test_the_newest_claim_is_followed(self):
        """Guard against following an older claim that a member knows."""
        self.assertEqual([7], await self.run_round(5, 7))
        self.assertEqual([5], await self.run_round(5, 3))
        self.assertEqual([5], await self.run_round(5, None))

    async def test_newest_announced_claim_is_followed(self):
        """Guard against ignoring the newest announced claim."""
        election = _Election()
        election.claim = _claim(5)
        election.observe_claim(_claim(8))
        election.observe_claim(_claim(6))
        election.answer = _claim(7)
        await election._run_round_without_store()
        self.assertEqual([8], election.followed)


class AnnounceTest(unittest.IsolatedAsyncioTestCase):
    """Guard what shows that a predecessor no longer leads."""

    async def test_a_refused_announcement_proves_nothing(self):
        """Guard against a leader that is cut off with resets.

        It renews the leases of the workers on its side; its successor took
        the refused connection for its end (class of review/4).
        """
        server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        self.assertFalse(
            await _Election().announce_to(f'{host}:{port}', _claim(5))
        )


class _Register:
    """Counts reads and records the offsets at which claims were made."""

    def __init__(self, claim):
        self.claim = claim
        self.end = 7
        self.members = {}
        self.reads = 0
        self.claimed_at = []
        self.terms = []

    async def add_member(self, node, address):
        return

    async def read(self):
        self.reads += 1
        return self.claim, self.end

    async def read_members(self):
        return

    async def try_claim(self, claim, at):
        self.claimed_at.append(at)
        self.terms.append(claim.term)


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    """Guard when a lost leader is replaced, and how fast."""

    def election(self, result, exited):
        election = _Election()
        election._register = _Register(_claim(5))

        async def follow(claim):
            return result

        async def has_exited(claim):
            return exited

        election._follow = follow
        election._has_exited = has_exited
        return election

    async def test_a_killed_leader_is_replaced_without_another_read(self):
        """Guard against a second read of a slow store before the claim."""
        results = election_module._FollowResult
        for result in (results.GONE, results.CLOSED):
            election = self.election(result, exited=True)
            await election._run_round()
            self.assertEqual(1, election._register.reads)
            self.assertEqual([7], election._register.claimed_at)

    async def test_an_announced_claim_that_was_never_made_is_dropped(self):
        """Guard against one odd announcement that hides all later ones."""
        election = self.election(
            election_module._FollowResult.SILENT, exited=False
        )
        election._store = None
        election.observe_claim(_claim(2**53 - 1))
        election._check_silent_leader = election._follow
        await election._run_round()
        election.observe_claim(_claim(6))
        self.assertEqual(6, election.newest_claim().epoch)

    async def test_a_leader_that_only_closed_a_connection_stays(self):
        """Guard against replacing a leader whose process still runs."""
        closed = election_module._FollowResult.CLOSED
        election = self.election(closed, exited=False)
        await election._run_round()
        self.assertEqual([], election._register.claimed_at)

    async def test_terms_rise_after_a_claim_that_cannot_be_read(self):
        """Guard against run numbers that an earlier leader has used."""
        election = self.election(None, exited=False)
        election._register.claim = None
        await election._run_round()
        # The stream holds nothing but claims, so none has a higher term.
        self.assertEqual([7], election._register.terms)


async def _let_tasks_run():
    for _ in range(20):
        await asyncio.sleep(0)


class AnnouncedLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Guard callers of a daemon that is told of a new leader."""

    def election(self, *results):
        election = _Election()
        election._register = _Register(_claim(6))
        election.claim = _claim(5)
        election.observe_claim(_claim(6))
        waiting = list(results)

        async def follow(claim):
            election.followed.append(claim.epoch)
            return waiting.pop(0)

        async def has_exited(claim):
            return False

        election._follow = follow
        election._has_exited = has_exited
        return election

    async def test_it_is_followed_before_the_store_answers(self):
        """Guard against 504 at a daemon that waits for a slow store."""
        election = self.election(election_module._FollowResult.CLOSED)
        election._register.read = asyncio.Event().wait
        running = asyncio.ensure_future(election._run_round())
        await _let_tasks_run()
        self.assertEqual([6], election.followed)
        self.assertFalse(running.done())
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_it_is_replaced_without_another_read(self):
        """Guard against a slower change of a leader that was announced."""
        election = self.election(election_module._FollowResult.GONE)
        await election._run_round()
        self.assertEqual([6], election.followed)
        self.assertEqual(1, election._register.reads)
        self.assertEqual([7], election._register.claimed_at)

    async def test_a_claim_ends_once_another_one_is_announced(self):
        """Guard against 504 at a daemon whose claim is not answered."""
        results = election_module._FollowResult
        election = self.election(results.GONE, results.CLOSED)
        register = election._register
        register.try_claim = lambda claim, at: asyncio.sleep(60)
        running = asyncio.ensure_future(election._run_round())
        await _let_tasks_run()
        # It is no newer than the end at which the claim is made.
        election.observe_claim(_claim(7))
        await _let_tasks_run()
        self.assertFalse(running.done())
        election.observe_claim(_claim(8))
        async with asyncio.timeout(1):
            await running
            register.claim, register.end = _claim(8), 8
            await election._run_round()
        self.assertEqual([6, 8], election.followed)

    async def test_its_successor_is_followed_at_once(self):
        """Guard against a claim that replaces a leader announced since."""
        election = self.election(election_module._FollowResult.GONE)
        follow = election._follow

        async def follow_until_replaced(claim):
            election.observe_claim(_claim(7))
            return await follow(claim)

        election._follow = follow_until_replaced
        await election._run_round()
        self.assertEqual([6], election.followed)
        self.assertEqual([], election._register.claimed_at)
        self.assertEqual(7, election.newest_claim().epoch)


class _Store:
    """Store whose leader appends nothing, or soon."""

    def __init__(self, records):
        self.records = records

    async def probe_end(self, stream):
        return 3

    async def read(self, stream, start, wait_ms):
        return ports.StoreChunk(self.records, 0, start)


class RefusingLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Guard against two daemons that replace each other without an end.

    They refuse each other's connections, and both reach the store.
    """

    async def asyncSetUp(self):
        server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        host, port = server.sockets[0].getsockname()
        server.close()
        await server.wait_closed()
        self.address = f'{host}:{port}'
        self.election = election_module.Election(
            identity_module.Identity('me', '1:1', 'a'),
            _Store((('beat', b''),)),
            clock_module.Clock(),
            None,
            None,
            lambda link, pong, sent_ms: None,
        )
        self.election._register = _Register(None)

    async def count_claims(self, incarnation, epoch):
        """Return how many claims there are after a round."""
        self.election._register.claim = claim_module.Claim(
            'n', self.address, incarnation, 0, epoch=epoch
        )
        await self.election._run_round()
        return len(self.election._register.claimed_at)

    async def test_a_process_that_claims_again_has_not_ended(self):
        self.assertEqual(1, await self.count_claims('i', 5))
        # This daemon led, and that process claimed again.
        self.assertEqual(1, await self.count_claims('i', 7))
        self.assertEqual(1, await self.count_claims('i', 7))

    async def test_a_process_that_has_ended_is_replaced_at_once(self):
        self.assertEqual(1, await self.count_claims('i', 5))
        self.assertEqual(2, await self.count_claims('i', 5))
        self.assertEqual(3, await self.count_claims('later', 7))


class ExitingLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Guard the takeover from a leader that was killed."""

    async def test_its_connections_are_closed_before_its_port(self):
        """Guard against a takeover that is late by two reads of the store.

        The port accepted one more connection, which was taken for a sign of
        life; found in KNOWN-RED.txt as 3.3 s in place of 2.8 s with a store
        that takes 500 ms.
        """

        def close_connection(reader, writer):
            writer.transport.abort()
            asyncio.get_running_loop().call_later(0.002, server.close)

        server = await asyncio.start_server(close_connection, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        election = election_module.Election(
            identity_module.Identity('me', '1:1', 'a'),
            _Store((('beat', b''),)),
            clock_module.Clock(),
            None,
            None,
            lambda link, pong, sent_ms: None,
        )
        register = election._register = _Register(
            claim_module.Claim('n', f'{host}:{port}', 'i', 0, epoch=5)
        )
        await election._run_round()
        self.assertEqual([7], register.claimed_at)


class ClosedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a leader whose address closes connections at once.

    A proxy in front of a leader that has ended does so.
    """

    async def asyncSetUp(self):
        self.connections = 0
        self.server = await asyncio.start_server(
            self.close_connection, '127.0.0.1', 0
        )
        self.addAsyncCleanup(self.server.wait_closed)
        self.addCleanup(self.server.close)

    def close_connection(self, reader, writer):
        self.connections += 1
        writer.close()

    def election(self, records):
        host, port = self.server.sockets[0].getsockname()
        election = election_module.Election(
            identity_module.Identity('me', '1:1', 'a'),
            _Store(records),
            clock_module.Clock(),
            None,
            None,
            lambda link, pong, sent_ms: None,
        )
        election._register = _Register(
            claim_module.Claim('n', f'{host}:{port}', 'i', 0, epoch=5)
        )
        return election

    async def test_it_is_replaced_once_the_log_is_idle(self):
        """Guard against a cell without a leader."""
        election = self.election(records=())
        await election._run_round()
        self.assertEqual([7], election._register.claimed_at)

    async def test_each_end_of_a_connection_leaves_a_line(self):
        """Guard against a follower without a leader that no line tells of."""
        for close in (True, False):
            with self.subTest(close=close):
                election = self.election(records=(('beat', b''),))
                if not close:
                    self.server.close()
                    await self.server.wait_closed()
                with mock.patch.object(election_module.events, 'emit') as emit:
                    await election._follow(election._register.claim)
                names = [call.args[0].name for call in emit.call_args_list]
                self.assertEqual(['leader_silent'], names)

    async def test_it_is_not_tried_without_a_pause(self):
        """Guard against 70 connections and log lines a second."""
        election = self.election(records=(('beat', b''),))
        running = asyncio.ensure_future(election.run())
        await asyncio.sleep(1.0)
        running.cancel()
        self.assertEqual([], election._register.claimed_at)
        # Two connections a round, and five rounds a second.
        self.assertLessEqual(self.connections, 12)
