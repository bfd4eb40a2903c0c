"""Test the evacuation of a failure domain with daemon processes."""

import asyncio
import time

from tests import platform_case

_EVACUATE_MS = 5_000
# A leader that the store answers knows of the record within about a second.
_KNOWN_S = 1.0
_KEY = 'evacuate/b'
# Jobs, duration in ms and tasks of each that need all cores of both domains.
_FULL = (8, 600, 4)
_JOB_ID_FORMAT = '00000000000000{:02x}'


class EvacuationCase(platform_case.PlatformCase):
    """Cell with two workers in each of two failure domains."""

    worker_count = 4

    def choose_builds(self):
        for worker in self.workers[2:]:
            worker.zone = 'b'
        for daemon in self.daemons:
            daemon.set_evacuate_ms(_EVACUATE_MS)

    async def submit(self, first, count, duration_ms, tasks=2):
        """Submit jobs and return their ids."""
        job_ids = [_JOB_ID_FORMAT.format(first + n) for n in range(count)]
        body = platform_case.make_job(duration_ms, tasks)
        for job_id in job_ids:
            # Short jobs are refused as long as they would be late behind the
            # long tasks of wait_in_use, which the open domain has to run.
            async with asyncio.timeout(30):
                while await self.call_any('POST', job_id, body) == 429:
                    await asyncio.sleep(0.1)
        return job_ids

    def starts(self, since_s=0.0):
        """Return the times of the starts in the domain that is closed."""
        return [
            row[0]
            for worker in self.workers[2:]
            for row in worker.history
            if row[1] == 'start' and row[0] > since_s
        ]

    async def wait_in_use(self):
        """Keep the cell busy until tasks run in the domain."""
        job_ids = await self.submit(1, 6, 4_000, tasks=4)
        async with asyncio.timeout(10):
            while not self.starts():
                await asyncio.sleep(0.05)
        return job_ids

    async def check_ends(self, job_ids):
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        self.check_runs()


class ClosedDomainTest(EvacuationCase):
    """Test where tasks start while a domain is evacuated."""

    async def test_a_closed_domain_gets_no_task_until_it_reopens(self):
        """Guard against starts in a domain that is being evacuated.

        In one run 2,012 tasks were started there.
        """
        job_ids = await self.wait_in_use()
        self.store.put('keyed.op', _KEY, b'{}')
        closed_s = time.monotonic()
        await self.check_ends(job_ids)
        await self.check_ends(await self.submit(32, *_FULL))
        self.assertEqual([], self.starts(closed_s + _KNOWN_S))
        stops = [
            row
            for worker in self.workers[2:]
            for row in worker.history
            if row[1] == 'stopped'
        ]
        self.assertEqual([], stops)
        self.store.put('keyed.op', _KEY, b'')
        opened_s = time.monotonic()
        job_ids = await self.submit(64, 6, 1_000, tasks=4)
        await self.check_ends(job_ids)
        self.assertTrue(self.starts(opened_s))

    async def test_a_record_that_is_removed_and_written_again(self):
        """Guard against a leader that applies only the first of them."""
        for value in (b'{}', b'', b'{}', b'', b'{}'):
            self.store.put('keyed.op', _KEY, value)
        closed_s = time.monotonic()
        await asyncio.sleep(_KNOWN_S)
        await self.check_ends(await self.submit(1, *_FULL))
        self.assertEqual([], self.starts(closed_s + _KNOWN_S))

    async def test_a_stream_that_is_trimmed(self):
        """Guard against a domain that opens as its record is dropped."""
        self.store.put('keyed.op', _KEY, b'{}')
        self.store.put('keyed.op', 'wave/1', b'{}')
        self.store.drop_history()
        closed_s = time.monotonic()
        await asyncio.sleep(_KNOWN_S)
        self.store.put('keyed.op', 'wave/2', b'{}')
        self.store.drop_history()
        await self.check_ends(await self.submit(1, *_FULL))
        self.assertEqual([], self.starts(closed_s + _KNOWN_S))


class FailureTest(EvacuationCase):
    """Test evacuations while daemons or the store fail."""

    async def test_the_leader_changes_right_after_the_record(self):
        """Guard against a new leader that starts tasks without the record."""
        job_ids = await self.wait_in_use()
        leader = self.leader()
        self.store.put('keyed.op', _KEY, b'{}')
        closed_s = time.monotonic()
        await leader.kill()
        job_ids += await self.submit(32, *_FULL)
        await self.check_ends(job_ids)
        self.assertEqual([], self.starts(closed_s + _KNOWN_S))

    async def test_the_store_does_not_answer_as_the_record_is_written(self):
        """Guard against a leader that misses what an outage hid.

        The record is there as the store answers again, and from then on
        counts for the daemons, too.
        """
        job_ids = await self.wait_in_use()
        self.store.server.fault = lambda request: '503'
        await asyncio.sleep(0.5)
        self.store.put('keyed.op', _KEY, b'{}')
        await asyncio.sleep(0.5)
        self.store.server.fault = lambda request: ''
        closed_s = time.monotonic()
        job_ids += await self.submit(32, *_FULL)
        await self.check_ends(job_ids)
        self.assertEqual([], self.starts(closed_s + _KNOWN_S))

    async def test_reads_of_the_records_go_silent(self):
        """Guard against starts by a daemon whose appends are confirmed.

        It may start nothing that the operator has forbidden, and does not
        know. Work goes on as the reads are answered again.
        """
        await self.wait_in_use()
        self.store.server.fault = self.silence_op
        self.store.put('keyed.op', _KEY, b'{}')
        closed_s = time.monotonic()
        await asyncio.sleep(_EVACUATE_MS / 1000)
        job_ids = await self.submit(32, *_FULL)
        await asyncio.sleep(1)
        self.assertEqual([], self.starts(closed_s + _EVACUATE_MS / 1000))
        self.store.server.fault = lambda request: ''
        await self.check_ends(job_ids)
        self.assertEqual([], self.starts(closed_s + _EVACUATE_MS / 1000))

    def silence_op(self, request):
        is_op = request.query.get('topic') == 'keyed.op'
        return 'silent' if is_op else ''
