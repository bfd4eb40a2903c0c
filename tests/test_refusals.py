"""Test which submissions a daemon answers that they never run."""

import asyncio
import json
import logging
import types
import unittest

import httpx
import loguru

from basilspindle.daemon import api_server
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import routing
from basilspindle import settings
from tests import api_case
from tests.standins import local_cluster
from tests.standins import manual_clock
from tests.standins import peer_network

_BODY = {'kind': 'query'}
_AFTER_TIMEOUT_MS = 70_000


class RefusalCase(api_case.ApiCase):
    """Serve the application with a router; the owner's answers are scripted.

    Each call to the owner takes the next of ``outcomes``: an error, or a
    delay in ms after which its reply is lost. Without one, it is answered.
    """

    limits = settings.RequestLimits(max_waiting_requests=1)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.owner = 'a:1'
        self.outcomes = []
        self.fake = self.router
        self.use_router(routing.Router(self.clock, self, self, {}))
        self.lines = []
        sink = loguru.logger.add(
            lambda line: self.lines.append(line.record), format='{message}'
        )
        self.addCleanup(loguru.logger.remove, sink)

    def use_router(self, router):
        """Put a router in the place of the fake one."""
        self.fake.partition_of = router.partition_of
        self.fake.call = router.call

    def partition_of(self, workspace):
        return 0

    def owner_address(self, partition):
        return self.owner

    async def call(self, address, request, timeout_ms):
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if isinstance(outcome, Exception):
            raise outcome
        if outcome is not None:
            await self.clock.sleep_ms(min(outcome, timeout_ms))
            raise errors.PeerOutcomeUnknown('the reply was lost')
        return await self.fake.handlers[type(request)](request)

    async def post(self, *outcomes, path='/v1/requests'):
        """Post a job; return the status, the error and its log lines."""
        self.outcomes = list(outcomes)
        self.lines.clear()
        task, _, sent = await self.start(path, _BODY)
        for _ in range(_AFTER_TIMEOUT_MS // 100):
            if task.done():
                break
            await self.clock.advance_ms(100)
        await task
        body = json.loads(sent[1]['body'])
        return (
            sent[0]['status'],
            types.SimpleNamespace(**body.get('error', {})),
            self.submission_lines(),
        )

    def submission_lines(self):
        """Return the fields of the lines on submissions that failed."""
        return [
            line['extra']['fields']
            for line in self.lines
            if line['extra'].get('name') == 'submit_failed'
        ]


class SubmissionLineTest(RefusalCase):
    """Guard the line that tells who refused a submission, after which calls.

    Without it no line of a daemon names a job that was refused.
    """

    async def test_refusal_after_a_lost_reply(self):
        for path in ('/v1/requests', '/v1/jobs'):
            status, _, (line,) = await self.post(
                300, errors.QueueFull('full'), path=path
            )
            self.assertEqual(504, status)
            self.assertEqual(
                (504, 'queue_full', 'unknown', 'a:1', 2),
                (
                    line['status'],
                    line['kind'],
                    line['ran'],
                    line['refused_by'],
                    line['calls'],
                ),
            )
            self.assertEqual(
                [
                    'a:1 after 0 ms: peer_outcome_unknown, ran unknown',
                    'a:1 after 400 ms: queue_full, ran no',
                ],
                line['outcomes'],
            )
            self.assertGreaterEqual(line['spent_ms'], 400)
            self.assertTrue(line['job'])

    async def test_refusal_at_once(self):
        status, _, (line,) = await self.post(errors.QueueFull('full'))
        self.assertEqual((429, 429), (status, line['status']))
        self.assertEqual(('a:1', 'no'), (line['refused_by'], line['ran']))
        self.assertEqual(1, line['calls'])

    async def test_daemon_without_an_owner_names_itself(self):
        self.owner = None
        status, _, (line,) = await self.post(path='/v1/jobs')
        self.assertEqual((503, 'not_ready'), (status, line['kind']))
        self.assertEqual(('local', 0), (line['refused_by'], line['calls']))

    async def test_limit_of_the_daemon_names_it(self):
        self.outcomes = [60_000]
        task, disconnect, _ = await self.start('/v1/requests', _BODY)
        answer = await self.send('POST', '/v1/requests', _BODY)
        self.assert_error(answer, 503, 'overloaded', 'no')
        (line,) = self.submission_lines()
        self.assertEqual(('local', 0), (line['refused_by'], line['calls']))
        disconnect.set()
        await self.clock.advance_ms(2_000)
        await task

    async def test_accepted_job_has_no_line(self):
        """Guard against a line for each request of a busy daemon."""
        status, _, lines = await self.post(300)
        self.assertEqual((200, []), (status, lines))

    async def test_job_that_did_not_end_shows_its_acceptance(self):
        async def queued(request):
            view = self.fake.make_view(request.job, model.State.QUEUED)
            return messages.Submitted(
                job_id=request.job.job_id, repeated=False, view=view
            )

        async def forget(request):
            await self.clock.sleep_ms(request.wait_ms)
            raise errors.OutcomeUnknown('lost')

        self.fake.handlers[messages.Submit] = queued
        self.fake.handlers[messages.View] = forget
        status, _, (line,) = await self.post()
        self.assertEqual(504, status)
        self.assertEqual(['a:1 after 0 ms: accepted'], line['outcomes'])


class LateNetworkTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a stand-in network that delivers nothing late."""

    async def asyncSetUp(self):
        self.clock = manual_clock.ManualClock()
        self.network = peer_network.PeerNetwork(self.clock)
        self.addAsyncCleanup(self.network.close)
        self.callee = self.network.add('b:1')
        self.requests = []
        self.callee.handlers = {messages.Fence: self.handle}
        self.client = peer_network.NetworkClient(
            self.network, self.network.add('a:1'), self.clock
        )
        self.network.draw_late = lambda *_: peer_network.Late(50, 1_000)

    async def handle(self, request):
        self.requests.append(request)
        return messages.Fenced(epoch=request.epoch)

    async def call(self):
        """Call the callee; return how the call ended after 50 ms."""
        request = messages.Fence(partition=1, epoch=7, member_id='a')
        call = asyncio.ensure_future(self.client.call('b:1', request, 5_000))
        await self.clock.advance_ms(50)
        return type(call.exception())

    async def test_request_arrives_after_its_caller_gave_up(self):
        self.assertIs(errors.PeerOutcomeUnknown, await self.call())
        self.network.isolate('b:1')
        await self.clock.advance_ms(900)
        self.assertEqual([], self.requests)
        await self.clock.advance_ms(100)
        self.assertEqual(1, len(self.requests))
        self.assertEqual(1, self.network.late_count)

    async def test_paused_node_handles_it_when_it_resumes(self):
        await self.call()
        self.callee.resumed.clear()
        await self.clock.advance_ms(5_000)
        self.assertEqual([], self.requests)
        self.callee.resumed.set()
        await self.clock.settle()
        self.assertEqual(1, len(self.requests))

    async def test_ended_node_handles_nothing(self):
        await self.call()
        self.callee.listening = False
        await self.clock.advance_ms(5_000)
        self.assertEqual([], self.requests)


class StopTest(api_case.ApiCase):
    """Guard what a daemon answers to requests that its stop ends."""

    async def test_request_that_a_stop_ends_is_not_refused(self):
        """Guard against 503 for a submission that an owner may have."""
        begun = asyncio.Event()

        async def hang(_):
            begun.set()
            await asyncio.Event().wait()

        self.router.handlers[messages.Submit] = hang
        self.router.handlers[messages.Cancel] = hang
        logging.disable()
        self.addCleanup(logging.disable, logging.NOTSET)
        for path in ('/v1/jobs', '/v1/requests'):
            with self.subTest(path=path):
                begun.clear()
                address = f'127.0.0.1:{local_cluster.free_port()}'
                server = api_server.ApiServer(self.app, address, 0)
                await server.__aenter__()
                async with httpx.AsyncClient() as client:
                    post = asyncio.ensure_future(
                        client.post(
                            f'http://{address}{path}',
                            json=_BODY,
                            headers=api_case.bearer('red-1'),
                        )
                    )
                    await begun.wait()
                    await server.__aexit__(None, None, None)
                    self.assertNotIn(await _status(post), (429, 503))


async def _status(post):
    """Return the status of a request, 0 if its connection was closed."""
    try:
        return (await post).status_code
    except httpx.TransportError:
        return 0
