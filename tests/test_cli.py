"""Guard against commands that misreport what happened to the work."""

import hashlib
import json
import pathlib
import unittest

from click import testing
import httpx


from basilspindle.cli import main
from basilspindle import errors

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
_URLS = ('http://127.0.0.1:1', 'http://127.0.0.1:2')
_VIEW = {'job_id': 'j1', 'state': 'succeeded', 'tasks': 1, 'results': []}


def error_response(error):
    """Return the response of a daemon that reports an error."""
    fault = {
        'kind': error.kind,
        'message': str(error),
        'remedy': 'do otherwise',
        'ran': error.ran,
        'retry_after_ms': 0,
        'job_id': '',
    }
    return httpx.Response(error.status, json={'error': fault})


class FakeDaemons:
    """Mock two daemons that share one configuration.

    ``answers`` maps a port to its response or exception, or to a list of
    them. The next ``conflicts`` publishes lose to another operator.
    """

    def __init__(self):
        self.requests = []
        self.version = 1
        self.base = json.loads((_EXAMPLES / 'base.json').read_text())
        self.overlay = {}
        self.answers = {}
        self.conflicts = 0

    def __call__(self, request):
        port = request.url.port
        body = json.loads(request.content) if request.content else None
        self.requests.append((port, request.method, request.url.path, body))
        self.headers = request.headers
        answer = self.answers.get(port)
        if isinstance(answer, list):
            answer = answer.pop(0)
        if isinstance(answer, Exception):
            raise answer
        if answer is not None:
            return answer
        if request.url.path == '/v1/configuration':
            return self.configure(request.method, body)
        return httpx.Response(200, json=_VIEW)

    def configure(self, method, body):
        """Answer a read or a publish of the configuration."""
        if method == 'POST':
            if self.conflicts:
                self.conflicts -= 1
                self.version += 1
                self.base['workers']['drained'].append(f'w{self.version}')
            if body['from_version'] != self.version:
                return error_response(
                    errors.VersionConflict(
                        'lost', version=self.version, author='ann', wall_ms=1
                    )
                )
            self.base, self.overlay = body['base'], body['overlay']
            self.version += 1
        return httpx.Response(
            200,
            json={
                'version': self.version,
                'base': self.base,
                'overlay': self.overlay,
            },
        )


class CliTest(unittest.TestCase):
    """Run commands against two mocked daemons."""

    def setUp(self):
        self.daemons = FakeDaemons()

    def run_cli(self, *args, key='bsk_ops_x'):
        """Run a command and return its result."""
        options = [part for url in _URLS for part in ('--url', url)]
        return testing.CliRunner().invoke(
            main.main,
            [*options, *args],
            obj=httpx.MockTransport(self.daemons),
            env={'BASILSPINDLE_KEY': key},
        )

    def check_exit_code(self, code, *args, **options):
        """Run a command, check its exit code and return its result."""
        result = self.run_cli(*args, **options)
        self.assertEqual(code, result.exit_code, result.output)
        return result

    def test_exit_codes_of_states(self):
        """Guard against a failed job that looks successful to a script."""
        codes = {
            'succeeded': 0,
            'queued': 0,
            'failed': 1,
            'cancelled': 1,
            'expired': 1,
            'unschedulable': 1,
            'unknown': 4,
        }
        for state, code in codes.items():
            with self.subTest(state=state):
                view = httpx.Response(200, json={**_VIEW, 'state': state})
                self.daemons.answers[1] = view
                self.check_exit_code(code, 'run', '--kind', 'answer')
                if state != 'queued':
                    self.check_exit_code(code, 'job', 'wait', 'j1')

    def test_exit_codes_of_refusals(self):
        """Guard against an error that hides whether the work ran."""
        conflict = errors.VersionConflict(
            'x', version=2, author='a', wall_ms=0
        )
        cases = [
            (3, errors.QueueFull('full')),
            (3, errors.Forbidden('no')),
            (4, errors.OutcomeUnknown('lost')),
            (4, errors.DeadlineExceeded('late')),
            (4, errors.LogUnavailable('x', ran=errors.Ran.UNKNOWN)),
            (6, errors.KeyReused('other body')),
            (6, conflict),
            (1, errors.WorkerError('ran', ran=errors.Ran.YES)),
        ]
        for code, error in cases:
            with self.subTest(kind=error.kind):
                self.daemons.answers[1] = error_response(error)
                result = self.check_exit_code(code, 'run', '--kind', 'answer')
                self.assertIn(error.kind, result.output)
                self.assertIn('do otherwise', result.output)
                result = self.run_cli('--json', 'run', '--kind', 'answer')
                shown = json.loads(result.output)['error']
                self.assertEqual(error.ran, shown['ran'])
                self.assertEqual('do otherwise', shown['remedy'])

    def test_next_daemon_after_a_refused_connection(self):
        """Guard against one unavailable daemon that makes commands fail."""
        for failure in (
            httpx.ConnectError('refused'),
            error_response(errors.NotReady('stopping')),
            error_response(errors.ConfigurationStale('stale')),
        ):
            self.daemons.answers[1] = failure
            self.check_exit_code(0, 'run', '--kind', 'answer')
        self.daemons.answers[2] = httpx.ConnectError('refused')
        result = self.check_exit_code(3, 'run', '--kind', 'answer')
        self.assertIn('configuration_stale', result.output)
        self.daemons.answers[1] = httpx.ConnectError('refused')
        result = self.check_exit_code(5, 'run', '--kind', 'answer')
        self.assertIn('--url', result.output)

    def test_unknown_outcome_is_never_repeated(self):
        """Guard against work that runs twice after a lost response."""
        failures = (httpx.ReadTimeout('x'), httpx.ReadError('x'))
        failures += (httpx.RemoteProtocolError('x'), httpx.Response(502))
        for failure in failures:
            with self.subTest(failure=repr(failure)):
                self.daemons.requests.clear()
                self.daemons.answers[1] = failure
                self.check_exit_code(
                    4, 'run', '--kind', 'a', '--non-idempotent'
                )
                (sent,) = self.daemons.requests
                self.assertIs(False, sent[3]['idempotent'])

    def test_submit_with_idempotency_key_is_retried(self):
        """Guard against a retry with another key, which runs a second job."""
        self.daemons.answers[1] = httpx.ReadTimeout('x')
        result = self.check_exit_code(0, 'job', 'submit', '--kind', 'index')
        self.assertEqual('j1\n', result.output)
        self.assertEqual([1, 2], [sent[0] for sent in self.daemons.requests])
        self.assertEqual(32, len(self.daemons.headers['Idempotency-Key']))
        self.daemons.answers[2] = error_response(errors.QueueFull('full'))
        result = self.check_exit_code(4, 'job', 'submit', '--kind', 'index')
        self.assertIn('--idempotency-key', result.output)
        self.daemons.answers[2] = error_response(errors.KeyReused('other'))
        self.check_exit_code(6, 'job', 'submit', '--kind', 'index')

    def test_body_of_a_submission(self):
        """Guard against options that are not sent to the daemon."""
        self.check_exit_code(
            0,
            *('job', 'submit', '--kind', 'index', '--tasks', '3'),
            *('--input', '{"a": 1}', '--memory-mb', '64'),
            *('--run-time-ms', '5', '--deadline-ms', '0', '--queue', 'q'),
            '--no-key',
        )
        self.assertNotIn('Authorization', self.daemons.headers)
        self.check_exit_code(
            0, 'job', 'show', 'j1', '--open-queue', 'q', key=''
        )
        expected = {
            'kind': 'index',
            'queue': 'q',
            'tasks': 3,
            'input': {'a': 1},
            'resources': {'memory_mb': 64},
            'run_time_ms': 5,
            'deadline_ms': 0,
        }
        self.assertEqual(expected, self.daemons.requests[0][3])

    def test_wrong_usage(self):
        """Guard against sending a request after a usage error."""
        self.check_exit_code(2, 'run')
        self.check_exit_code(2, 'nothing')
        self.check_exit_code(2, 'run', '--kind', 'a', '--input', '{')
        self.check_exit_code(2, 'run', '--kind', 'a', key='')
        self.check_exit_code(2, 'key', 'add', '--id', 'k', '--role', 'caller')
        self.check_exit_code(2, 'workspace', 'set', 'web', '--tasks', 'many')
        self.assertEqual([], self.daemons.requests)

    def test_drain_is_retried_after_conflict(self):
        """Guard against a drain that undoes that of another operator."""
        self.daemons.conflicts = 2
        self.check_exit_code(0, 'worker', 'drain', 'b', 'a')
        self.assertEqual(
            ['a', 'b'], self.daemons.overlay['workers']['drained'][2:]
        )
        self.assertEqual(4, self.daemons.version)
        self.check_exit_code(0, 'worker', 'drain', 'a')
        self.assertEqual(4, self.daemons.version)
        self.check_exit_code(0, 'worker', 'undrain', 'a')
        self.assertNotIn('a', self.daemons.overlay['workers']['drained'])
        self.daemons.conflicts = 99
        self.check_exit_code(6, 'worker', 'drain', 'c')

    def test_keys_and_workspaces_are_published(self):
        """Guard against changes that are not published."""
        result = self.check_exit_code(
            0, 'key', 'add', '--id', 'web-1', '--workspace', 'web'
        )
        self.assertIn('bsk_web-1_', result.output)
        entry = self.daemons.base['keys']['web-1']
        self.assertEqual(
            ('caller', 'web'), (entry['role'], entry['workspace'])
        )
        self.check_exit_code(
            3, 'key', 'add', '--id', 'web-1', '--workspace', 'web'
        )
        self.check_exit_code(0, 'key', 'withdraw', '--id', 'web-1')
        self.assertNotIn('web-1', self.daemons.base['keys'])
        self.check_exit_code(
            0, 'workspace', 'set', 'web', '--share', '2', '--tasks', '9'
        )
        self.assertEqual(
            {'web': {'share': 2.0, 'limit': {'tasks': 9}}},
            self.daemons.overlay['workspaces'],
        )
        self.check_exit_code(0, 'workspace', 'set', 'web', '--tasks', 'none')
        self.assertEqual(
            {}, self.daemons.overlay['workspaces']['web']['limit']
        )
        self.check_exit_code(
            0, 'workspace', 'set', 'new', '--share', '1', '--kind', 'site'
        )
        self.assertEqual(
            {'share': 1.0, 'kinds': ['site']},
            self.daemons.base['workspaces']['new'],
        )
        result = self.check_exit_code(0, 'workspace', 'list')
        self.assertIn('web: share 2.0, limit none', result.output)

    def test_added_key_is_shown_after_lost_response(self):
        """Guard against a valid key whose text was never shown."""
        known = httpx.Response(
            200, json={'version': 1, 'base': self.daemons.base, 'overlay': {}}
        )
        self.daemons.answers[1] = [known, httpx.ReadTimeout('x')]
        self.daemons.answers[2] = httpx.ReadTimeout('x')
        result = self.check_exit_code(
            4, 'key', 'add', '--id', 'k', '--role', 'operator'
        )
        self.assertIn('if it was added, the key is bsk_k_', result.output)

    def test_publish(self):
        """Guard against a publish from a version other than the given one."""
        base = str(_EXAMPLES / 'base.json')
        overlay = str(_EXAMPLES / 'overlay.json')
        files = ('--base', base, '--overlay', overlay)
        self.check_exit_code(0, 'config', 'check', *files)
        self.check_exit_code(0, 'config', 'publish', *files)
        self.check_exit_code(
            6, 'config', 'publish', *files, '--from-version', '1'
        )
        self.assertEqual(2, self.daemons.version)
        result = self.check_exit_code(0, 'config', 'show', '--part', 'merged')
        self.assertEqual('south', json.loads(result.output)['cell'])
        self.daemons.answers[1] = httpx.ReadTimeout('x')
        self.check_exit_code(
            0, 'config', 'publish', *files, '--from-version', '2'
        )
        self.daemons.requests.clear()
        result = self.check_exit_code(
            3, 'config', 'publish', '--base', overlay, '--overlay', overlay
        )
        self.assertIn(f'{overlay} /workspaces/research/kinds', result.output)
        self.assertEqual([], self.daemons.requests)

    def test_in_force(self):
        """Guard against a missing daemon or a wrong confirmation time."""
        member = {
            'member_id': 'entry-2',
            'version': 7,
            'age_ms': 90,
            'state': 'live',
        }
        self.daemons.answers[1] = httpx.Response(
            200, json={'members': [member]}
        )
        result = self.check_exit_code(0, 'config', 'in-force')
        self.assertEqual(
            'entry-2: version 7, live, confirmed 90 ms ago\n', result.output
        )
        member['age_ms'] = -1
        self.daemons.answers[1] = httpx.Response(
            200, json={'members': [member]}
        )
        result = self.check_exit_code(0, 'config', 'in-force')
        self.assertIn('live, unconfirmed', result.output)

    def test_key_generate_matches_its_hash(self):
        """Guard against a printed hash that does not match the key."""
        result = self.check_exit_code(
            0, '--json', 'key', 'generate', '--id', 'ops'
        )
        shown = json.loads(result.output)
        self.assertEqual(
            hashlib.sha256(shown['key'].encode()).hexdigest(),
            shown['sha256'],
        )
