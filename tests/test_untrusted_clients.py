"""Test daemon processes with clients that respect no limit.

Each test checks that the process lives, that its memory and its descriptors
stay below a bound, and that an ordinary request gets a response meanwhile.
"""

import asyncio
import json
import pathlib
import resource
import sys
import time

import httpx

from tests import platform_case
from tests.standins import platform
from tests.standins import untrusted_clients

# The smallest VM has this much memory, and the limit in its settings says so.
_VM_MEMORY_MB = 160
_MAX_MEMORY_BYTES = _VM_MEMORY_MB * 1_000_000
# A descriptor limit that a crowd of this test reaches, and how many of them
# have to stay free for the store, the workers and the other daemons.
_MAX_DESCRIPTORS = 400
_FREE_DESCRIPTORS = 100
# Enough descriptors for the bodies of all clients at once.
_BODY_MAX_DESCRIPTORS = 2_000
_HEAD_TIMEOUT_MS = 1_000
# How long a crowd has before the ordinary request is sent. Its clients stay.
_CROWD_S = 4.0
_ANSWER_TIMEOUT_S = 20.0
_SAMPLE_S = 0.05
_JOB_ID = '00000000000000{:02x}'
_ALL = (
    'heads_over_limit',
    'heads_without_end',
    'lines_without_end',
    'targets_without_end',
    'empty_lines',
    'trailers_without_end',
    'extensions_without_end',
    'pipelined',
    'unread',
    'byte_by_byte',
    'never_sending',
    'connections',
    'bodies',
)


def _descriptors(pid):
    return len(list(pathlib.Path(f'/proc/{pid}/fd').iterdir()))


def _peak_memory_bytes(pid):
    """Return the largest resident size that the process has had."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in text.splitlines():
        name, _, value = line.partition(':')
        if name == 'VmHWM':
            return int(value.split()[0]) * 1024
    raise AssertionError(f'no VmHWM of process {pid}')


class _UntrustedCase(platform_case.PlatformCase):
    """Two daemons, the leader and a follower, with lowered limits."""

    daemon_count = 2
    worker_count = 1
    max_descriptors = _MAX_DESCRIPTORS

    def choose_builds(self):
        for daemon in self.daemons:
            daemon.add_settings(
                'limits',
                f'memory_mb = {_VM_MEMORY_MB}\n'
                f'max_fds = {self.max_descriptors}',
            )
            daemon.add_settings(
                'clients', f'head_timeout_ms = {_HEAD_TIMEOUT_MS}'
            )
        document = json.loads(platform.make_configuration(2))
        document['limits']['max_body_bytes'] = untrusted_clients.MAX_BODY_BYTES
        self.store.put('keyed.op', 'config', json.dumps(document).encode())

    async def asyncSetUp(self):
        await super().asyncSetUp()
        limits = (self.max_descriptors, self.max_descriptors)
        for daemon in self.daemons:
            resource.prlimit(
                daemon.process.pid, resource.RLIMIT_NOFILE, limits
            )

    def follower(self):
        """Return a daemon that does not lead."""
        leader = self.leader()
        return next(each for each in self.daemons if each is not leader)

    async def attack(self, daemons, kinds, port='frontend_port'):
        """Send crowds to daemons and check these daemons."""
        most = {daemon: 0 for daemon in daemons}
        crowds = [
            await self.start_crowd(getattr(daemon, port), kinds)
            for daemon in daemons
        ]
        sampler = asyncio.ensure_future(self.sample(most))
        try:
            await asyncio.wait(
                [
                    asyncio.ensure_future(crowd.stdout.readline())
                    for crowd in crowds
                ],
                timeout=_CROWD_S,
            )
            for number, daemon in enumerate(daemons):
                await self.check_answer(daemon, _JOB_ID.format(16 + number))
        finally:
            sampler.cancel()
        for daemon in daemons:
            self.check(daemon, most[daemon])

    async def start_crowd(self, port, kinds):
        """Start the clients of one daemon; they end with the test."""
        crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'tests.standins.untrusted_clients',
            str(port),
            *kinds,
            stdout=asyncio.subprocess.PIPE,
        )

        async def end():
            if crowd.returncode is None:
                crowd.kill()
            await crowd.wait()

        self.addAsyncCleanup(end)
        return crowd

    async def sample(self, most):
        """Record the largest number of open descriptors of each daemon."""
        while True:
            for daemon in most:
                if daemon.process.returncode is None:
                    count = _descriptors(daemon.process.pid)
                    most[daemon] = max(most[daemon], count)
            await asyncio.sleep(_SAMPLE_S)

    async def check_answer(self, daemon, job_id):
        """Check that a daemon takes an ordinary job, as callers send it."""
        body = platform_case.make_job(50, 1)
        deadline_s = time.monotonic() + _ANSWER_TIMEOUT_S
        seen = ''
        while time.monotonic() < deadline_s:
            self.assertIsNone(
                daemon.process.returncode, f'{daemon.node} has exited'
            )
            async with httpx.AsyncClient(timeout=5.0) as self.client:
                try:
                    answer = await self.call('POST', daemon, job_id, body)
                except httpx.TransportError as error:
                    seen = repr(error)
                else:
                    if answer.status_code == 200:
                        return
                    seen = f'{answer.status_code} {answer.text}'
            await asyncio.sleep(_SAMPLE_S)
        self.check(daemon, 0)
        self.fail(f'{daemon.node} did not take a job: {seen}')

    def check(self, daemon, descriptors):
        """Check that a daemon lives within its memory and descriptors."""
        self.assertIsNone(
            daemon.process.returncode, f'{daemon.node} has exited'
        )
        memory_bytes = _peak_memory_bytes(daemon.process.pid)
        self.assertLess(memory_bytes, _MAX_MEMORY_BYTES, 'bytes of memory')
        self.assertLess(
            descriptors,
            self.max_descriptors - _FREE_DESCRIPTORS,
            'open descriptors',
        )


class ClientTest(_UntrustedCase):
    """Test one kind of client at a time, at the leader and a follower."""

    async def test_heads_over_the_limit(self):
        """Guard against a large head that is kept as many objects."""
        await self.attack(self.daemons, ['heads_over_limit'])

    async def test_heads_without_end(self):
        """Guard against header fields that are kept without a bound."""
        await self.attack(self.daemons, ['heads_without_end'])

    async def test_header_lines_without_end(self):
        """Guard against a header line that is kept without a bound."""
        await self.attack(self.daemons, ['lines_without_end'])

    async def test_request_targets_without_end(self):
        """Guard against a request target that is kept without a bound."""
        await self.attack(self.daemons, ['targets_without_end'])

    async def test_empty_lines_without_end(self):
        """Guard against a daemon that is busy with empty lines."""
        await self.attack(self.daemons, ['empty_lines'])

    async def test_trailers_without_end(self):
        """Guard against trailers that are kept without a bound."""
        await self.attack(self.daemons, ['trailers_without_end'])

    async def test_chunk_extensions_without_end(self):
        """Guard against a daemon that is busy with a chunk extension."""
        await self.attack(self.daemons, ['extensions_without_end'])

    async def test_pipelined_requests(self):
        """Guard against a task and objects for each pipelined request."""
        await self.attack(self.daemons, ['pipelined'])

    async def test_pipelined_requests_for_metrics(self):
        """Guard against the same at the listener for metrics."""
        await self.attack(self.daemons, ['pipelined'], 'metrics_port')

    async def test_pipelined_readiness_checks(self):
        """Guard against the same at the listener for readiness."""
        await self.attack(self.daemons, ['pipelined'], 'readiness_port')

    async def test_responses_that_are_never_read(self):
        """Guard against responses that are kept without a bound."""
        await self.attack(self.daemons, ['unread'])

    async def test_a_byte_now_and_then(self):
        """Guard against heads that hold their connections for good."""
        await self.attack(self.daemons, ['byte_by_byte'])

    async def test_connections_that_never_send(self):
        """Guard against silent connections that take all descriptors."""
        await self.attack(self.daemons, ['never_sending'])

    async def test_more_connections_than_descriptors(self):
        """Guard against idle connections that take all descriptors."""
        await self.attack(self.daemons, ['connections'])


class BodyTest(_UntrustedCase):
    """Test bodies with enough descriptors for all of them."""

    max_descriptors = _BODY_MAX_DESCRIPTORS

    async def test_many_bodies_at_the_limit(self):
        """Guard against bodies that need more memory than there is."""
        await self.attack(self.daemons, ['bodies'])


class AllTest(_UntrustedCase):
    """Test all kinds of clients together."""

    async def test_all_at_the_follower(self):
        """Guard against faults that show only under several of these."""
        await self.attack([self.follower()], _ALL)

    async def test_all_at_the_leader(self):
        """Guard against a leader that loses its parts to such clients."""
        await self.attack([self.leader()], _ALL)
