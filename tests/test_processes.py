"""Run whole cells as processes while daemons, workers and the log fail."""

import concurrent.futures
import signal
import typing
import unittest

import httpx

from tests.standins import local_cluster

_KEY = local_cluster.CALLER_KEYS['red']
_FINAL_STATES = frozenset({'succeeded', 'failed', 'unknown', 'cancelled'})


class ProcessCase(unittest.TestCase):
    """Run each test on a cell of three daemons and four workers."""

    def setUp(self):
        self.cluster = self.enterContext(
            local_cluster.LocalCluster(daemons=3, workers=4)
        )
        for daemon_id in self.cluster.daemon_ids:
            self.cluster.wait_listening(daemon_id)
        self.base = local_cluster.base_document()
        self.version = self.cluster.publish(self.base, 0)
        self.cluster.wait_ready()

    def tearDown(self):
        self.assertEqual([], self.cluster.breaches())
        self.assertEqual([], self.cluster.duplicate_runs())

    def call(
        self,
        daemon_id: str,
        method: str,
        path: str,
        body: typing.Any = None,
        key: str = _KEY,
        **headers: str,
    ) -> httpx.Response:
        return httpx.request(
            method,
            self.cluster.url(daemon_id) + path,
            json=body,
            headers={'Authorization': f'Bearer {key}', **headers},
            timeout=25,
        )

    def submit(self, daemon_id: str, kind: str, **body: typing.Any) -> str:
        answer = self.call(
            daemon_id, 'POST', '/v1/jobs', {'kind': kind, **body}
        )
        self.assertEqual(201, answer.status_code, answer.text)
        return answer.json()['job_id']

    def get_job(self, daemon_id: str, job_id: str) -> dict[str, typing.Any]:
        answer = self.call(daemon_id, 'GET', f'/v1/jobs/{job_id}')
        return answer.json() if answer.status_code == 200 else {'state': ''}

    def wait_state(
        self,
        daemon_id: str,
        job_id: str,
        states: frozenset[str] = _FINAL_STATES,
    ) -> dict[str, typing.Any]:
        self.cluster.wait_for(
            f'{job_id} is in {sorted(states)}',
            lambda: self.get_job(daemon_id, job_id)['state'] in states,
            60,
        )
        return self.get_job(daemon_id, job_id)

    def wait_running(self, daemon_id: str, job_id: str) -> str:
        """Wait until tasks of a job run; return the id of its owner."""
        self.cluster.wait_for(
            f'{job_id} runs',
            lambda: (
                self.get_job(daemon_id, job_id)
                .get('counts', {})
                .get('running', 0)
            ),
        )
        return self.cluster.owner_of(job_id)

    def other_daemon(self, daemon_id: str) -> str:
        return next(d for d in self.cluster.daemon_ids if d != daemon_id)


class OwnerLostTest(ProcessCase):
    """Guard against lost, repeated or stuck work when an owner fails."""

    def test_killed_owner_loses_and_doubles_nothing(self):
        batch = self.submit(
            'entry-1', 'report', tasks=40, input={'run_ms': 700}
        )
        payment = self.submit(
            'entry-2', 'payment', tasks=20, input={'run_ms': 700}
        )
        owner = self.wait_running('entry-1', payment)
        self.cluster.processes[owner].kill()
        other_daemon = self.other_daemon(owner)
        view = self.wait_state(other_daemon, batch)
        self.assertEqual({'succeeded': 40}, view['counts'])
        view = self.wait_state(other_daemon, payment)
        self.assertLessEqual(set(view['counts']), {'succeeded', 'unknown'})
        self.assertEqual(20, sum(view['counts'].values()))
        started = {run['task']['task_id'] for run in self.cluster.runs()}
        succeeded = {
            f'{payment}/{result["index"]}'
            for result in view['results']
            if result['state'] == 'succeeded'
        }
        self.assertLessEqual(succeeded, started)

    def test_paused_owner_starts_nothing_after_it_resumes(self):
        batch = self.submit(
            'entry-1', 'report', tasks=60, input={'run_ms': 500}
        )
        owner = self.wait_running('entry-1', batch)
        paused = self.cluster.processes[owner]
        paused.send_signal(signal.SIGSTOP)
        other_daemon = self.other_daemon(owner)
        self.cluster.wait_for(
            'another daemon owns the job',
            lambda: self.get_job(other_daemon, batch)['state'] != '',
            30,
        )
        paused.send_signal(signal.SIGCONT)
        view = self.wait_state(other_daemon, batch)
        self.assertEqual({'succeeded': 60}, view['counts'])

    def test_request_survives_the_death_of_its_owner(self):
        owner = self.find_workspace_owner()
        entry = self.other_daemon(owner)
        with concurrent.futures.ThreadPoolExecutor() as pool:
            pending = pool.submit(
                self.call,
                entry,
                'POST',
                '/v1/requests',
                {'kind': 'query', 'input': {'run_ms': 3_000, 'echo': 'x'}},
            )
            self.cluster.wait_for('the task runs', self.cluster.runs)
            self.cluster.processes[owner].kill()
            answer = pending.result()
        self.assertEqual(200, answer.status_code, answer.text)
        self.assertEqual('x', answer.json()['results'][0]['result']['echo'])

    def find_workspace_owner(self) -> str:
        job_id = self.submit('entry-1', 'report')
        self.wait_state('entry-1', job_id)
        return self.cluster.owner_of(job_id)


class PlatformTest(ProcessCase):
    """Guard against wrong answers and stopped work during a log outage."""

    def test_log_outage_refuses_truthfully_and_goes_on_with_the_rest(self):
        batch = self.submit(
            'entry-1', 'report', tasks=240, input={'run_ms': 800}
        )
        self.wait_running('entry-1', batch)
        self.cluster.set_faults('log', down=True)
        self.cluster.wait_for(
            'a submission is refused', self.is_payment_refused
        )
        answer = self.call(
            'entry-1', 'POST', '/v1/requests', {'kind': 'query'}
        )
        self.assertEqual(200, answer.status_code, answer.text)
        succeeded = self.get_job('entry-1', batch)['counts'].get(
            'succeeded', 0
        )
        self.cluster.wait_for(
            'accepted tasks still succeed',
            lambda: (
                self.get_job('entry-1', batch)['counts'].get('succeeded', 0)
                > succeeded
            ),
        )
        refusal_count = len(self.refused)
        self.cluster.set_faults('log', down=False)
        self.wait_state('entry-1', batch)
        jobs = self.call('entry-1', 'GET', '/v1/jobs').json()['jobs']
        self.assertGreater(refusal_count, 0)
        payments = [job for job in jobs if job['kind'] == 'payment']
        self.assertEqual([], payments)

    def is_payment_refused(self) -> bool:
        answer = self.call('entry-1', 'POST', '/v1/jobs', {'kind': 'payment'})
        if answer.status_code != 503:
            return False
        error = answer.json()['error']
        self.assertEqual('log_unavailable', error['kind'])
        self.assertEqual('no', error['ran'])
        self.assertGreater(error['retry_after_ms'], 0)
        self.refused = [*getattr(self, 'refused', []), error]
        return True


class KeyTest(ProcessCase):
    """Guard against a withdrawn key that a daemon still accepts."""

    def test_withdrawn_key_stops_at_every_daemon(self):
        del self.base['keys']['blue']
        blue = local_cluster.CALLER_KEYS['blue']
        answer = self.call('entry-3', 'GET', '/v1/jobs', key=blue)
        self.assertEqual(200, answer.status_code)
        self.cluster.publish(self.base, self.version)
        for daemon_id in self.cluster.daemon_ids:
            self.cluster.wait_for(
                f'{daemon_id} refuses the key',
                lambda d=daemon_id: (
                    self.call(d, 'GET', '/v1/jobs', key=blue).status_code
                    == 401
                ),
            )

    def test_racing_operators_get_one_winner(self):
        with concurrent.futures.ThreadPoolExecutor() as pool:
            answers = list(pool.map(self.publish, range(3)))
        codes = sorted(answer.status_code for answer in answers)
        self.assertEqual([200, 409, 409], codes)
        winner = next(a for a in answers if a.status_code == 200).json()
        self.assertEqual(self.version + 1, winner['version'])

    def publish(self, number: int) -> httpx.Response:
        base = local_cluster.base_document()
        base['workspaces']['red']['share'] = number + 2
        return self.call(
            self.cluster.daemon_ids[number],
            'POST',
            '/v1/configuration',
            {'base': base, 'overlay': {}, 'from_version': self.version},
            key=local_cluster.OPERATOR_KEY,
        )


class StopTest(ProcessCase):
    """Guard against requests that a planned stop interrupts."""

    def test_rolling_replacement_cuts_off_no_request(self):
        service = self.submit('entry-1', 'site', tasks=2)
        self.wait_running('entry-1', service)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for daemon_id in self.cluster.daemon_ids:
                pending = [
                    pool.submit(self.send_query, daemon_id, number)
                    for number in range(6)
                ]
                self.cluster.wait_for(
                    'the tasks of all requests run',
                    self.are_all_queries_running,
                )
                status = self.cluster.processes[daemon_id].stop()
                self.assertEqual(0, status)
                for number, future in enumerate(pending):
                    result = future.result().json()['results'][0]['result']
                    self.assertEqual(number, result['echo'])
                self.cluster.start_daemon(daemon_id)
                self.cluster.wait_listening(daemon_id)
                self.cluster.wait_ready()
        view = self.get_job('entry-1', service)
        self.assertEqual({'running': 2}, view['counts'])
        runs = [
            run
            for run in self.cluster.runs()
            if run['task']['task_id'].startswith(service)
        ]
        self.assertEqual(2, len(runs))

    def send_query(self, daemon_id: str, echo: int) -> httpx.Response:
        return self.call(
            daemon_id,
            'POST',
            '/v1/requests',
            {'kind': 'query', 'input': {'run_ms': 2_500, 'echo': echo}},
        )

    def are_all_queries_running(self) -> bool:
        open_runs = [
            run
            for run in self.cluster.runs()
            if run['end_ms'] < 0 and run['task']['kind'] == 'query'
        ]
        return len(open_runs) >= 6


class WorkerTest(ProcessCase):
    """Guard against work lost to workers that restart, leave or only fail."""

    def test_leaving_worker_gets_no_new_work(self):
        vms = self.cluster.vm_entries()
        for vm in vms:
            if vm['id'] == 'worker-1':
                vm['state'] = 'leaving'
        self.cluster.set_vms(vms)
        self.cluster.wait_for(
            'a daemon reads the new VM list', self.is_worker_leaving
        )
        starts_before = self.count_starts('worker-1')
        job_id = self.submit('entry-1', 'report', tasks=15)
        self.wait_state('entry-1', job_id)
        self.assertEqual(starts_before, self.count_starts('worker-1'))

    def is_worker_leaving(self) -> bool:
        workers = [
            worker
            for daemon_id in self.cluster.daemon_ids
            for worker in self.cluster.state(daemon_id)['fleet']['workers']
        ]
        return any(
            worker['info']['worker_id'] == 'worker-1'
            and worker['info']['leaving']
            for worker in workers
        )

    def count_starts(self, worker_id: str) -> int:
        return sum(
            run['worker_id'] == worker_id for run in self.cluster.runs()
        )

    def test_restarted_worker_loses_no_task(self):
        job_id = self.submit(
            'entry-1', 'report', tasks=20, input={'run_ms': 1_500}
        )
        self.wait_running('entry-1', job_id)
        self.cluster.processes['worker-2'].kill()
        self.cluster.start_worker('worker-2')
        view = self.wait_state('entry-1', job_id)
        self.assertEqual({'succeeded': 20}, view['counts'])

    def test_worker_that_fails_everything_fails_no_job(self):
        self.cluster.set_faults('worker-3', fail_all=True)
        for _ in range(4):
            job_id = self.submit('entry-1', 'report', tasks=12)
            view = self.wait_state('entry-1', job_id)
            self.assertEqual({'succeeded': 12}, view['counts'])
