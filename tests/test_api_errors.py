"""Test the documented errors of the HTTP interface."""

import json

import loguru

from basilspindle import errors
from basilspindle.peer import messages
from basilspindle import settings
from tests import api_case

_LIMITS = settings.RequestLimits(
    max_body_bytes=4_000,
    max_configuration_bytes=8_000,
    max_input_bytes=1_000,
    max_tasks=20,
    max_page_results=5,
)
_JOB = {'kind': 'query'}


def _job_with(**fields):
    return {**_JOB, **fields}


def _with_raw_input(value):
    return b'{"kind": "query", "input": ' + value + b'}'


_UNAUTHORIZED = (401, 'key_invalid', 'no')
_FORBIDDEN = (403, 'forbidden', 'no')
_NOT_FOUND = (404, 'not_found', 'no')
_BAD_REQUEST = (400, 'bad_request', 'no')
_TOO_LARGE = (413, 'too_large', 'no')

# Name, key id, body, and the expected status, error kind and ``ran``.
_SUBMISSIONS = (
    ('no key', '', _JOB, _UNAUTHORIZED),
    ('key not in the configuration', 'old-1', _JOB, _UNAUTHORIZED),
    ('operator key', 'ops-1', _JOB, _FORBIDDEN),
    (
        "another workspace's queue",
        'blue-1',
        _job_with(queue='reds'),
        _FORBIDDEN,
    ),
    (
        'kind not for an open queue',
        '',
        {'kind': 'pay', 'queue': 'public'},
        _FORBIDDEN,
    ),
    ("not the workspace's kind", 'blue-1', {'kind': 'pay'}, _FORBIDDEN),
    ("nobody's kind", 'red-1', {'kind': 'other'}, _FORBIDDEN),
    ('unknown kind', 'red-1', {'kind': 'none'}, _NOT_FOUND),
    ('unknown queue', 'red-1', _job_with(queue='none'), _NOT_FOUND),
    ('unknown queue without key', '', _job_with(queue='none'), _UNAUTHORIZED),
    ('unknown field', 'red-1', _job_with(colour='red'), _BAD_REQUEST),
    (
        'unknown resource',
        'red-1',
        _job_with(resources={'disk': 1}),
        _BAD_REQUEST,
    ),
    ('no kind', 'red-1', {}, _BAD_REQUEST),
    ('kind of a wrong type', 'red-1', {'kind': 1}, _BAD_REQUEST),
    ('tasks of a wrong type', 'red-1', _job_with(tasks='1'), _BAD_REQUEST),
    ('fraction of a task', 'red-1', _job_with(tasks=1.5), _BAD_REQUEST),
    ('null tasks', 'red-1', _job_with(tasks=None), _BAD_REQUEST),
    ('no tasks', 'red-1', _job_with(tasks=0), _BAD_REQUEST),
    ('too many tasks', 'red-1', _job_with(tasks=21), _BAD_REQUEST),
    (
        'negative resources',
        'red-1',
        _job_with(resources={'memory_mb': -1}),
        _BAD_REQUEST,
    ),
    (
        'resources beyond 64 bits',
        'red-1',
        _job_with(resources={'cpu_millicores': 10**30}),
        _BAD_REQUEST,
    ),
    ('negative run time', 'red-1', _job_with(run_time_ms=-1), _BAD_REQUEST),
    (
        'deadline beyond 64 bits',
        'red-1',
        _job_with(deadline_ms=10**30),
        _BAD_REQUEST,
    ),
    (
        'idempotent on a kind that is not',
        'red-1',
        {'kind': 'pay', 'idempotent': True},
        _BAD_REQUEST,
    ),
    ('input too large', 'red-1', _job_with(input='x' * 1_000), _TOO_LARGE),
    ('body too large', 'red-1', _job_with(input='x' * 4_000), _TOO_LARGE),
    ('empty body', 'red-1', b'', _BAD_REQUEST),
    ('no JSON', 'red-1', b'{"kind": ', _BAD_REQUEST),
    ('no object', 'red-1', [], _BAD_REQUEST),
    ('no UTF-8', 'red-1', b'{"kind": "\xff"}', _BAD_REQUEST),
    (
        'no UTF-8 in the input',
        'red-1',
        _with_raw_input(b'"\xff"'),
        _BAD_REQUEST,
    ),
    (
        'half a surrogate pair',
        'red-1',
        _with_raw_input(b'"\\ud800"'),
        _BAD_REQUEST,
    ),
    ('number out of range', 'red-1', _with_raw_input(b'1e999'), _BAD_REQUEST),
)

# Method, path, key id, body, and the expected status, error kind and ``ran``.
_OTHERS = (
    ('GET', '/v1/jobs?limit=0', 'red-1', None, _BAD_REQUEST),
    ('GET', '/v1/jobs?limit=6', 'red-1', None, _BAD_REQUEST),
    ('GET', '/v1/jobs?limit=x', 'red-1', None, _BAD_REQUEST),
    ('GET', '/v1/jobs', 'ops-1', None, _FORBIDDEN),
    ('GET', '/v1/jobs', '', None, _UNAUTHORIZED),
    ('GET', '/v1/jobs/r1?wait_ms=-1', 'red-1', None, _BAD_REQUEST),
    ('GET', '/v1/jobs/r1?wait_ms=15001', 'red-1', None, _BAD_REQUEST),
    ('GET', '/v1/jobs/r1?wait_ms=x', 'red-1', None, _BAD_REQUEST),
    ('GET', '/v1/jobs/r1', 'red-1', None, (404, 'not_found', 'unknown')),
    ('GET', '/v1/jobs/r1', '', None, _UNAUTHORIZED),
    ('DELETE', '/v1/jobs/r1', '', None, _UNAUTHORIZED),
    ('DELETE', '/v1/jobs/r1', 'ops-1', None, _FORBIDDEN),
    ('GET', '/v1/none', 'red-1', None, _NOT_FOUND),
    ('GET', '/', '', None, _NOT_FOUND),
    ('PUT', '/v1/jobs', 'red-1', _JOB, (405, 'bad_request', 'no')),
    ('GET', '/v1/requests', 'red-1', None, (405, 'bad_request', 'no')),
    ('GET', '/v1/configuration', 'red-1', None, _FORBIDDEN),
    ('GET', '/v1/configuration', '', None, _UNAUTHORIZED),
    ('POST', '/v1/configuration', 'red-1', {'base': {}}, _FORBIDDEN),
    ('POST', '/v1/configuration', 'ops-1', {}, _BAD_REQUEST),
    ('POST', '/v1/configuration', 'ops-1', b'{', _BAD_REQUEST),
    (
        'POST',
        '/v1/configuration',
        'ops-1',
        {'base': {}, 'from_version': -1},
        _BAD_REQUEST,
    ),
    (
        'POST',
        '/v1/configuration',
        'ops-1',
        {'base': {}, 'from_version': 10**30},
        _BAD_REQUEST,
    ),
    ('POST', '/v1/configuration', 'ops-1', {'base': 'x' * 8_000}, _TOO_LARGE),
    ('GET', '/v1/configuration/in-force', 'red-1', None, _FORBIDDEN),
    ('GET', '/v1/workers', 'red-1', None, _FORBIDDEN),
    ('GET', '/v1/state', 'red-1', None, _FORBIDDEN),
)


class ErrorTest(api_case.ApiCase):
    """Guard against errors that differ from the documented form."""

    limits = _LIMITS

    async def test_bad_submissions_are_refused_unsent(self):
        """Guard against accepting bad input or failing with a 500 error."""
        for path in ('/v1/requests', '/v1/jobs'):
            for name, key, body, expected in _SUBMISSIONS:
                with self.subTest(name, path=path):
                    answer = await self.send('POST', path, body, key)
                    self.assert_error(answer, *expected)
        self.assertEqual([], self.router.requests)

    async def test_other_bad_requests(self):
        """Guard against routes that skip validation or authorization."""
        for method, path, key, body, expected in _OTHERS:
            with self.subTest(path, method=method, key=key):
                answer = await self.send(method, path, body, key)
                self.assert_error(answer, *expected)
        self.assertEqual([], self.store.published)

    async def test_idempotency_key_has_a_bound(self):
        """Guard against idempotency keys of unlimited length."""
        for length, status in ((200, 201), (201, 400)):
            answer = await self.send(
                'POST', '/v1/jobs', _JOB, idempotency_key='k' * length
            )
            self.assertEqual(status, answer.status_code)

    async def test_revoked_key_and_stale_configuration(self):
        """Guard against accepting an API key after it was revoked.

        A stale configuration could still hold the key.
        """
        self.store.stale = True
        answer = await self.send('POST', '/v1/jobs', _JOB)
        self.assert_error(answer, 503, 'configuration_stale', 'no')
        self.assertEqual('1', answer.headers['Retry-After'])
        self.store.stale = False
        document = api_case.make_document()
        del document['keys']['red-1']
        self.store.set_document(document)
        for method, path in (('POST', '/v1/jobs'), ('GET', '/v1/jobs')):
            body = _JOB if method == 'POST' else None
            answer = await self.send(method, path, body)
            self.assert_error(answer, *_UNAUTHORIZED)
        self.assertEqual([], self.router.requests)

    async def test_owner_errors_keep_ran_job_id_and_retry_after(self):
        """Guard against losing ``ran``, the job id or ``Retry-After``."""
        cases = (
            (errors.QueueFull('full', retry_after_ms=1_500), 429, '2'),
            (errors.LogUnavailable('down', retry_after_ms=1), 503, '1'),
            (errors.KeyReused('other body'), 409, None),
            (errors.OutcomeUnknown('lost', job_id='r7'), 504, None),
        )
        for error, status, wait in cases:
            for path in ('/v1/requests', '/v1/jobs'):

                async def fail(_, error=error):
                    raise error

                self.router.handlers[messages.Submit] = fail
                answer = await self.send(
                    'POST', path, _JOB, idempotency_key='k'
                )
                body = self.assert_error(
                    answer, status, error.kind, error.ran.value
                )
                self.assertEqual(error.job_id, body['job_id'])
                self.assertEqual(wait, answer.headers.get('Retry-After'))

    async def test_status_of_a_refusal_is_a_promise(self):
        """Guard against 429 or 503 for work that may have been run.

        Callers and proxies repeat such a request by its status alone.
        """
        unknown = errors.Ran.UNKNOWN
        for error in (
            errors.QueueFull('full', ran=unknown, retry_after_ms=1_500),
            errors.LogUnavailable('down', ran=unknown, job_id='r7'),
            errors.LogOutcomeUnknown('not confirmed', job_id='r7'),
            errors.NotReady('not confirmed', ran=unknown),
        ):
            for method, path, request_type in (
                ('POST', '/v1/requests', messages.Submit),
                ('POST', '/v1/jobs', messages.Submit),
                ('DELETE', '/v1/jobs/r7', messages.Cancel),
            ):

                async def fail(_, error=error):
                    raise error

                self.router.handlers[request_type] = fail
                body = _JOB if method == 'POST' else None
                answer = await self.send(method, path, body)
                found = self.assert_error(
                    answer, 504, 'outcome_unknown', 'unknown'
                )
                self.assertIn(error.message, found['message'])
                self.assertEqual(error.retry_after_ms, found['retry_after_ms'])
                if error.job_id:
                    self.assertEqual(error.job_id, found['job_id'])

    async def test_unexpected_error_has_unknown_outcome(self):
        """Guard against ``ran: no`` after an unexpected error.

        Its message may quote the input and must not be logged.
        """

        async def fail(_):
            raise ValueError('secret')

        lines = []
        sink = loguru.logger.add(lines.append, format='{extra}')
        self.addCleanup(loguru.logger.remove, sink)
        self.router.handlers[messages.Submit] = fail
        answer = await self.send('POST', '/v1/requests', _JOB)
        self.assert_error(answer, 500, 'internal', 'unknown')
        self.assertEqual(1, len(lines))
        self.assertIn('ValueError at', lines[0])
        self.assertNotIn('secret', lines[0])

    async def test_limits_of_a_publish_are_its_own(self):
        """Guard against applying the size limit of jobs to configurations."""
        body = {'base': {'text': 'x' * 5_000}, 'from_version': 3}
        answer = await self.send('POST', '/v1/configuration', body, 'ops-1')
        self.assertEqual(4, answer.json()['version'])
        base, _, from_version, author = self.store.published[0]
        self.assertEqual(body['base'], json.loads(base))
        self.assertEqual((3, 'ops-1'), (from_version, author))
        self.store.error = errors.VersionConflict(
            'lost', version=5, author='ops-2', wall_ms=1
        )
        answer = await self.send('POST', '/v1/configuration', body, 'ops-1')
        self.assert_error(answer, 409, 'version_conflict', 'no')

    async def test_no_key_is_logged_or_dumped(self):
        """Guard against API keys in log lines, errors, metrics and dumps."""
        lines = []
        sink = loguru.logger.add(lines.append, format='{message} {extra}')
        self.addCleanup(loguru.logger.remove, sink)

        async def fail(request):
            raise ValueError(request)

        self.router.handlers[messages.Submit] = fail
        texts = []
        for key in api_case.KEYS:
            for path in ('/v1/requests', '/v1/jobs'):
                answer = await self.send('POST', path, _JOB, key)
                texts.append(answer.text)
        for path in ('/v1/state', '/v1/configuration', '/metrics'):
            texts.append((await self.send('GET', path, key='ops-1')).text)
        text = ''.join(map(str, lines + texts))
        self.assertIn('request_failed', text)
        for key, _ in api_case.KEYS.values():
            self.assertNotIn(key.rpartition('_')[2], text)


class NestedJsonTest(api_case.ApiCase):
    """Guard against a 500 error for JSON that is nested too deeply."""

    async def test_deep_json_is_refused(self):
        """Guard against an unhandled ``RecursionError`` of the decoder."""
        deep = b'[' * 50_000 + b']' * 50_000
        for body in (deep, _with_raw_input(deep), b'{"kind": ' + deep + b'}'):
            answer = await self.send('POST', '/v1/jobs', body)
            self.assert_error(answer, *_BAD_REQUEST)
        for body in (deep, b'{"base": ' + deep + b'}'):
            answer = await self.send(
                'POST', '/v1/configuration', body, 'ops-1'
            )
            self.assert_error(answer, *_BAD_REQUEST)
        self.assertEqual([], self.router.requests)
        self.assertEqual([], self.store.published)
