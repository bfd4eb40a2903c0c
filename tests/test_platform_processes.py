"""Test jobs from submission to completion with daemon processes."""

import asyncio
import collections
import itertools
import signal
import time

import httpx

from tests import platform_case
from tests.standins import platform

# Duration of an append while the store takes 60 times its usual 4 ms.
_SLOW_STORE_DELAY_S = 0.5
# Deadline of the callers at both sites.
_DEADLINE_S = 3.0
_JOB_ID_FORMAT = '00000000000000{:02x}'


class HealthyCellTest(platform_case.PlatformCase):
    """Test what callers see of a cell without faults."""

    async def test_a_job_runs_and_is_shown_by_every_daemon(self):
        """Guard against a daemon that knows only the jobs sent to it."""
        job_id = _JOB_ID_FORMAT.format(1)
        body = platform_case.make_job(100, 3, 1)
        answer = await self.call('POST', self.daemons[0], job_id, body)
        self.assertEqual(200, answer.status_code)
        # Submitting the same job to another daemon must not run it twice.
        answer = await self.call('POST', self.daemons[1], job_id, body)
        self.assertEqual(200, answer.status_code)
        await self.wait_state(job_id, 'completed')
        for daemon in self.daemons:
            answer = await self.call('GET', daemon, job_id)
            self.assertEqual('completed', answer.json()['state'])
        self.check_runs()
        starts = [
            row
            for worker in self.workers
            for row in worker.history
            if row[1] == 'start'
        ]
        self.assertEqual(4, len(starts))

    async def test_bad_input_gets_a_clear_error(self):
        """Guard against accepting invalid jobs."""
        daemon = self.daemons[0]
        cases = [
            ('POST', 'xyz', {}, 'key-a', 404),
            ('POST', _JOB_ID_FORMAT.format(2), {'steps': []}, 'key-a', 400),
            (
                'POST',
                _JOB_ID_FORMAT.format(2),
                {'steps': [{'count': 0}]},
                'key-a',
                400,
            ),
            (
                'POST',
                _JOB_ID_FORMAT.format(2),
                platform_case.make_job(9, 1),
                'x',
                401,
            ),
            ('GET', _JOB_ID_FORMAT.format(2), None, 'key-a', 410),
            ('DELETE', _JOB_ID_FORMAT.format(2), None, 'key-a', 410),
            ('GET', '', None, 'key-a', 200),
        ]
        for method, job_id, body, key, status in cases:
            with self.subTest(method=method, job=job_id, key=key):
                answer = await self.call(method, daemon, job_id, body, key)
                self.assertEqual(status, answer.status_code, answer.text)
        answer = await self.call('GET', daemon, queue='other')
        self.assertEqual(404, answer.status_code)

    async def test_a_withdrawn_key_stops_working(self):
        """Guard against a withdrawn key that is still accepted."""
        config = platform.make_configuration(2, keys=('key-b',))
        self.store.put('keyed.op', 'config', config)
        await asyncio.sleep(1.5)
        for daemon in self.daemons:
            answer = await self.call('GET', daemon, _JOB_ID_FORMAT.format(3))
            self.assertEqual(401, answer.status_code)

    async def test_cancelling_stops_the_tasks(self):
        """Guard against tasks that keep running after a cancellation."""
        job_id = _JOB_ID_FORMAT.format(4)
        body = platform_case.make_job(20_000, 2)
        await self.call_any('POST', job_id, body)
        await self.wait_state(job_id, 'running')
        answer = await self.call('DELETE', self.daemons[2], job_id)
        self.assertEqual(200, answer.status_code)
        await self.wait_state(job_id, 'cancelled')
        deadline_s = time.monotonic() + 3
        while time.monotonic() < deadline_s:
            ends = [
                row[1]
                for worker in self.workers
                for row in worker.history
                if row[1] != 'start'
            ]
            if ends == ['stopped', 'stopped']:
                return
            await asyncio.sleep(0.05)
        self.fail(f'expected two stopped tasks, not {ends}')

    async def test_a_cancellation_that_comes_first_stops_its_job(self):
        """Guard against a job that runs although it was cancelled."""
        job_id = _JOB_ID_FORMAT.format(5)
        answer = await self.call('DELETE', self.daemons[0], job_id)
        self.assertEqual(410, answer.status_code)
        body = platform_case.make_job(100, 1)
        answer = await self.call('POST', self.daemons[1], job_id, body)
        self.assertEqual(429, answer.status_code)
        self.assertIn('Retry-After', answer.headers)
        answer = await self.call('GET', self.daemons[2], job_id)
        self.assertEqual(410, answer.status_code)

    async def test_metrics_and_state_are_served(self):
        """Guard against a daemon without metrics or a state dump."""
        daemon = self.leader()
        base = f'http://127.0.0.1:{daemon.metrics_port}'
        metrics = (await self.client.get(f'{base}/metrics')).text
        self.assertIn('basilspindle_live_jobs', metrics)
        state = (await self.client.get(f'{base}/state')).json()
        self.assertTrue(state['leads'])
        self.assertEqual(3, len(state['workers']))


class PaceTest(platform_case.PlatformCase):
    """Test the throttling of backfill tasks beside a service."""

    daemon_count = 1
    worker_count = 1

    async def test_a_service_over_its_target_pauses_backfill(self):
        """Guard against a pace request that the worker rejects."""
        service = platform_case.make_job(60_000, 1)
        service['steps'][0].update(long_running=True, target_ms=50)
        filler = platform_case.make_job(60_000, 1)
        filler['steps'][0].update(fills=True)
        service_id, filler_id = (
            _JOB_ID_FORMAT.format(16),
            _JOB_ID_FORMAT.format(17),
        )
        for job_id, body in ((service_id, service), (filler_id, filler)):
            self.assertEqual(200, await self.call_any('POST', job_id, body))
            await self.wait_state(job_id, 'running')
        worker = self.workers[0]
        worker.loads[f'{service_id}.0.0.0'] = 80
        await self.wait_pace(f'{filler_id}.0.0.0', 0)
        worker.loads[f'{service_id}.0.0.0'] = 10
        await self.wait_pace(f'{filler_id}.0.0.0', 20)

    async def wait_pace(self, name, percent):
        # The shortest time that a service may exceed its target is 4 s.
        async with asyncio.timeout(4):
            while (name, percent) not in self.workers[0].paces:
                await asyncio.sleep(0.05)


class FailureTest(platform_case.PlatformCase):
    """Test that faults of daemons and the store lose no accepted job."""

    async def submit(self, first: int, count: int, duration_ms: int):
        """Submit jobs and return their ids."""
        job_ids = [_JOB_ID_FORMAT.format(first + n) for n in range(count)]
        body = platform_case.make_job(duration_ms, 2)
        for job_id in job_ids:
            status = await self.call_any('POST', job_id, body)
            self.assertEqual(200, status)
        return job_ids

    async def test_a_killed_leader_loses_and_doubles_nothing(self):
        """Guard against jobs lost or run twice after a kill."""
        job_ids = await self.submit(16, 6, 1_500)
        leader = self.leader()
        await leader.kill()
        job_ids += await self.submit(32, 2, 200)
        await leader.start()
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        self.check_runs()

    async def test_a_leader_killed_while_the_store_is_slow(self):
        """Guard against requests that wait for a leader to their deadline.

        When the leader is killed while the store takes 60 times as long,
        another one has to take over in time; otherwise requests end in 504
        (day trouble-2 of berceuse-partage: 100 requests).
        """
        job_ids = await self.submit(16, 2, 300)
        self.store.server.delay_s = _SLOW_STORE_DELAY_S
        leader = self.leader()
        await leader.kill()
        started_s = time.monotonic()
        late_ids = await self.submit(32, 1, 100)
        self.assertLess(time.monotonic() - started_s, _DEADLINE_S)
        self.store.server.delay_s = 0.0
        for job_id in job_ids + late_ids:
            await self.wait_state(job_id, 'completed')
        self.check_runs()

    async def test_a_cancellation_that_comes_first_outlasts_its_leader(self):
        """Guard against a cancelled job that runs after a change of leader.

        Its submission lay at a frozen daemon; the leader that had answered
        the cancellation was killed (shown by the review: UNASKED).
        """
        job_id = _JOB_ID_FORMAT.format(5)
        leader = self.leader()
        others = [each for each in self.daemons if each is not leader]
        answer = await self.call('DELETE', others[0], job_id)
        self.assertEqual(410, answer.status_code)
        await leader.kill()
        await self.submit(16, 1, 100)
        body = platform_case.make_job(100, 1)
        answer = await self.call('POST', others[1], job_id, body)
        self.assertEqual(429, answer.status_code)
        await leader.start()
        await self.wait_ready(leader)

    async def test_a_paused_leader_is_replaced_and_stays_out(self):
        """Guard against two leaders that both start tasks."""
        job_ids = await self.submit(16, 4, 1_000)
        leader = self.leader()
        leader.send(signal.SIGSTOP)
        job_ids += await self.submit(32, 2, 200)
        leader.send(signal.SIGCONT)
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        self.check_runs()

    async def test_a_silent_leader_and_a_failing_store(self):
        """Guard against daemons that exit when the leader cannot be checked.

        The store refuses the read that shows whether the silent leader still
        appends (soak seeds 106 and 204).
        """
        job_ids = await self.submit(16, 2, 300)
        leader = self.leader()
        self.store.server.fault = lambda request: '429'
        leader.send(signal.SIGSTOP)
        await asyncio.sleep(2.5)
        leader.send(signal.SIGCONT)
        await asyncio.sleep(0.5)
        self.store.server.fault = lambda request: ''
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        for daemon in self.daemons:
            self.assertIsNone(daemon.process.returncode, daemon.node)
        self.check_runs()

    async def test_all_daemons_killed_at_once(self):
        """Guard against accepted jobs that were kept in memory only."""
        job_ids = await self.submit(16, 4, 1_000)
        for daemon in self.daemons:
            await daemon.kill()
        for daemon in self.daemons:
            await daemon.start()
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        self.check_runs()

    async def test_a_planned_stop_aborts_no_request(self):
        """Guard against requests aborted by a planned stop."""
        leader = self.leader()
        leader.send(signal.SIGTERM)
        job_ids = await self.submit(16, 4, 200)
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        code = await asyncio.wait_for(leader.process.wait(), 6)
        self.assertEqual(0, code)
        self.check_runs()

    async def test_a_silent_store_rejects_submissions_at_once(self):
        """Guard against requests that wait until their deadline."""
        job_ids = await self.submit(16, 2, 300)
        self.store.server.fault = lambda request: 'silent'
        await asyncio.sleep(1.5)
        job_id = _JOB_ID_FORMAT.format(48)
        body = platform_case.make_job(100, 1)
        started_s = time.monotonic()
        answer = await self.call('POST', self.daemons[0], job_id, body)
        self.assertEqual(503, answer.status_code)
        self.assertLess(time.monotonic() - started_s, 2.0)
        self.assertIn('retry-after', answer.headers)
        self.store.server.fault = lambda request: ''
        for each in job_ids:
            await self.wait_state(each, 'completed')
        await asyncio.sleep(1.0)
        names = {
            row[2].partition('.')[0]
            for worker in self.workers
            for row in worker.history
        }
        self.assertNotIn(job_id, names)
        self.check_runs()

    async def test_appends_whose_answers_are_lost_count_once(self):
        """Guard against jobs run twice or lost when a response is lost."""
        lost = iter(range(1_000_000))

        def fault(request):
            append = request.path.endswith('log-append')
            return 'lost' if append and next(lost) % 3 == 0 else ''

        self.store.server.fault = fault
        job_ids = await self.submit(16, 4, 200)
        self.store.server.fault = lambda request: ''
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        self.check_runs()

    async def test_starts_without_an_answer_run_once(self):
        """Guard against starts that workers execute late."""
        seen = set()

        def fault(request):
            if not request.path.endswith('run-start'):
                return ''
            name = request.json()['task']
            if name in seen:
                return ''
            seen.add(name)
            return 'late'

        for worker in self.workers:
            worker.server.fault = fault
        job_ids = await self.submit(16, 3, 300)
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        await asyncio.sleep(1.2)
        self.check_runs()

    async def test_garbled_responses_end_no_process(self):
        """Guard against a process that a malformed response takes down.

        Every second response of the store and of the workers is cut short
        for a while.
        """
        numbers = itertools.count()

        def fault(request):
            return 'garbled' if next(numbers) % 2 else ''

        servers = [self.store.server, *(w.server for w in self.workers)]
        for server in servers:
            server.fault = fault
        job_ids = await self.submit(16, 4, 200)
        await asyncio.sleep(2.0)
        for server in servers:
            server.fault = lambda request: ''
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        for daemon in self.daemons:
            self.assertIsNone(daemon.process.returncode, daemon.node)
        self.check_runs()

    async def restart_all(self):
        """Kill all daemons and start them again."""
        for daemon in self.daemons:
            await daemon.kill()
        for daemon in self.daemons:
            await daemon.start()

    async def test_a_restart_brings_back_no_withdrawn_key(self):
        """Guard against a key that works again after a restart.

        The history is gone, and the store does not answer at first.
        """
        config = platform.make_configuration(2, keys=('key-b',))
        self.store.put('keyed.op', 'config', config)
        await asyncio.sleep(1.0)
        self.store.drop_history()
        self.store.server.fault = lambda request: 'silent'
        await self.restart_all()
        statuses = collections.Counter()
        for number in range(40):
            if number == 20:
                self.store.server.fault = lambda request: ''
            for daemon in self.daemons:
                try:
                    answer = await self.call('GET', daemon, '0' * 16)
                except httpx.TransportError:
                    continue
                statuses[answer.status_code] += 1
            await asyncio.sleep(0.1)
        self.assertLessEqual(set(statuses), {401, 503})
        self.assertTrue(statuses[401])

    async def test_a_restart_brings_back_no_worker_that_left(self):
        """Guard against starts on a worker that has left meanwhile.

        It still answers at its address, and the leader before has recorded
        it as one that may run tasks.
        """
        job_ids = await self.submit(16, 3, 200)
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        gone = self.workers[0]
        for daemon in self.daemons:
            await daemon.kill()
        gone.stop_publishing()
        self.store.put('keyed.servers', gone.worker_id, b'')
        before = len(gone.history)
        for daemon in self.daemons:
            await daemon.start()
        job_ids = await self.submit(32, 6, 100)
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        self.assertEqual(before, len(gone.history))
        self.check_runs()

    async def test_a_dropped_history_changes_nothing(self):
        """Guard against a reader that stops when its offset was dropped."""
        self.store.drop_history()
        config = platform.make_configuration(5, keys=('key-a', 'key-b'))
        self.store.put('keyed.op', 'config', config)
        self.store.drop_history()
        job_ids = await self.submit(16, 2, 200)
        for job_id in job_ids:
            await self.wait_state(job_id, 'completed')
        await asyncio.sleep(1.5)
        answer = await self.call(
            'GET', self.daemons[0], job_ids[0], key='key-b'
        )
        self.assertEqual(200, answer.status_code)
