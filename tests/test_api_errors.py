"""Guard the documented errors of the HTTP interface."""

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


def _body(**fields):
    return {**_JOB, **fields}


def _raw(value):
    return b'{"kind": "query", "input": ' + value + b'}'


_UNAUTHORISED = (401, 'key_invalid', 'no')
_FORBIDDEN = (403, 'forbidden', 'no')
_MISSING = (404, 'not_found', 'no')
_BAD = (400, 'bad_request', 'no')
_LARGE = (413, 'too_large', 'no')

# Name, key, body, and what the answer says.
_SUBMISSIONS = (
    ('no key', '', _JOB, _UNAUTHORISED),
    ('key not in the configuration', 'old-1', _JOB, _UNAUTHORISED),
    ('operator key', 'ops-1', _JOB, _FORBIDDEN),
    ("another workspace's queue", 'blue-1', _body(queue='reds'), _FORBIDDEN),
    (
        'kind not for an open queue',
        '',
        {'kind': 'pay', 'queue': 'public'},
        _FORBIDDEN,
    ),
    ("not the workspace's kind", 'blue-1', {'kind': 'pay'}, _FORBIDDEN),
    ("nobody's kind", 'red-1', {'kind': 'other'}, _FORBIDDEN),
    ('unknown kind', 'red-1', {'kind': 'none'}, _MISSING),
    ('unknown queue', 'red-1', _body(queue='none'), _MISSING),
    ('unknown queue without key', '', _body(queue='none'), _UNAUTHORISED),
    ('unknown field', 'red-1', _body(colour='red'), _BAD),
    ('unknown resource', 'red-1', _body(resources={'disk': 1}), _BAD),
    ('no kind', 'red-1', {}, _BAD),
    ('kind of a wrong type', 'red-1', {'kind': 1}, _BAD),
    ('tasks of a wrong type', 'red-1', _body(tasks='1'), _BAD),
    ('fraction of a task', 'red-1', _body(tasks=1.5), _BAD),
    ('null tasks', 'red-1', _body(tasks=None), _BAD),
    ('no tasks', 'red-1', _body(tasks=0), _BAD),
    ('too many tasks', 'red-1', _body(tasks=21), _BAD),
    (
        'negative resources',
        'red-1',
        _body(resources={'memory_mb': -1}),
        _BAD,
    ),
    (
        'resources beyond 64 bits',
        'red-1',
        _body(resources={'cpu_millicores': 10**30}),
        _BAD,
    ),
    ('negative run time', 'red-1', _body(run_time_ms=-1), _BAD),
    ('deadline beyond 64 bits', 'red-1', _body(deadline_ms=10**30), _BAD),
    (
        'idempotent on a kind that is not',
        'red-1',
        {'kind': 'pay', 'idempotent': True},
        _BAD,
    ),
    ('input too large', 'red-1', _body(input='x' * 1_000), _LARGE),
    ('body too large', 'red-1', _body(input='x' * 4_000), _LARGE),
    ('empty body', 'red-1', b'', _BAD),
    ('no JSON', 'red-1', b'{"kind": ', _BAD),
    ('no object', 'red-1', [], _BAD),
    ('no UTF-8', 'red-1', b'{"kind": "\xff"}', _BAD),
    ('no UTF-8 in the input', 'red-1', _raw(b'"\xff"'), _BAD),
    ('half a surrogate pair', 'red-1', _raw(b'"\\ud800"'), _BAD),
    ('number out of range', 'red-1', _raw(b'1e999'), _BAD),
)

# Method, path, key, body, and what the answer says.
_OTHERS = (
    ('GET', '/v1/jobs?limit=0', 'red-1', None, _BAD),
    ('GET', '/v1/jobs?limit=6', 'red-1', None, _BAD),
    ('GET', '/v1/jobs?limit=x', 'red-1', None, _BAD),
    ('GET', '/v1/jobs', 'ops-1', None, _FORBIDDEN),
    ('GET', '/v1/jobs', '', None, _UNAUTHORISED),
    ('GET', '/v1/jobs/r1?wait_ms=-1', 'red-1', None, _BAD),
    ('GET', '/v1/jobs/r1?wait_ms=15001', 'red-1', None, _BAD),
    ('GET', '/v1/jobs/r1?wait_ms=x', 'red-1', None, _BAD),
    ('GET', '/v1/jobs/r1', 'red-1', None, (404, 'not_found', 'unknown')),
    ('GET', '/v1/jobs/r1', '', None, _UNAUTHORISED),
    ('DELETE', '/v1/jobs/r1', '', None, _UNAUTHORISED),
    ('DELETE', '/v1/jobs/r1', 'ops-1', None, _FORBIDDEN),
    ('GET', '/v1/none', 'red-1', None, _MISSING),
    ('GET', '/', '', None, _MISSING),
    ('PUT', '/v1/jobs', 'red-1', _JOB, (405, 'bad_request', 'no')),
    ('GET', '/v1/requests', 'red-1', None, (405, 'bad_request', 'no')),
    ('GET', '/v1/configuration', 'red-1', None, _FORBIDDEN),
    ('GET', '/v1/configuration', '', None, _UNAUTHORISED),
    ('POST', '/v1/configuration', 'red-1', {'base': {}}, _FORBIDDEN),
    ('POST', '/v1/configuration', 'ops-1', {}, _BAD),
    ('POST', '/v1/configuration', 'ops-1', b'{', _BAD),
    (
        'POST',
        '/v1/configuration',
        'ops-1',
        {'base': {}, 'from_version': -1},
        _BAD,
    ),
    (
        'POST',
        '/v1/configuration',
        'ops-1',
        {'base': {}, 'from_version': 10**30},
        _BAD,
    ),
    ('POST', '/v1/configuration', 'ops-1', {'base': 'x' * 8_000}, _LARGE),
    ('GET', '/v1/configuration/in-force', 'red-1', None, _FORBIDDEN),
    ('GET', '/v1/workers', 'red-1', None, _FORBIDDEN),
    ('GET', '/v1/state', 'red-1', None, _FORBIDDEN),
)


class ErrorTest(api_case.ApiCase):
    """Guard against errors of another form than the documented one."""

    limits = _LIMITS

    async def test_bad_submissions_are_refused_unsent(self):
        """Guard against work that is accepted, or a fault, for bad input."""
        for path in ('/v1/requests', '/v1/jobs'):
            for name, key, body, expected in _SUBMISSIONS:
                with self.subTest(name, path=path):
                    answer = await self.send('POST', path, body, key)
                    self.check(answer, *expected)
        self.assertEqual([], self.router.requests)

    async def test_other_bad_requests(self):
        """Guard against routes that check less than they should."""
        for method, path, key, body, expected in _OTHERS:
            with self.subTest(path, method=method, key=key):
                answer = await self.send(method, path, body, key)
                self.check(answer, *expected)
        self.assertEqual([], self.store.published)

    async def test_idempotency_key_has_a_bound(self):
        """Guard against keys that are kept at any length."""
        for length, status in ((200, 201), (201, 400)):
            answer = await self.send(
                'POST', '/v1/jobs', _JOB, idempotency_key='k' * length
            )
            self.assertEqual(status, answer.status_code)

    async def test_withdrawn_key_and_stale_configuration(self):
        """Guard against a key that is honoured after its withdrawal."""
        self.store.stale = True
        answer = await self.send('POST', '/v1/jobs', _JOB)
        self.check(answer, 503, 'configuration_stale', 'no')
        self.assertEqual('1', answer.headers['Retry-After'])
        self.store.stale = False
        document = api_case.make_document()
        del document['keys']['red-1']
        self.store.put(document)
        for method, path in (('POST', '/v1/jobs'), ('GET', '/v1/jobs')):
            body = _JOB if method == 'POST' else None
            answer = await self.send(method, path, body)
            self.check(answer, *_UNAUTHORISED)
        self.assertEqual([], self.router.requests)

    async def test_errors_of_owners_pass_with_their_advice(self):
        """Guard against a lost ``ran``, job id or time to wait."""
        errors_ = (
            (errors.QueueFull('full', retry_after_ms=1_500), 429, '2'),
            (errors.LogUnavailable('down', retry_after_ms=1), 503, '1'),
            (errors.KeyReused('other body'), 409, None),
            (errors.OutcomeUnknown('lost', job_id='r7'), 504, None),
        )
        for error, status, wait in errors_:
            for path in ('/v1/requests', '/v1/jobs'):

                async def fail(_, error=error):
                    raise error

                self.router.answers[messages.Submit] = fail
                answer = await self.send(
                    'POST', path, _JOB, idempotency_key='k'
                )
                body = self.check(answer, status, error.kind, error.ran.value)
                self.assertEqual(error.job_id, body['job_id'])
                self.assertEqual(wait, answer.headers.get('Retry-After'))

    async def test_fault_says_that_the_outcome_is_unknown(self):
        """Guard against a fault that promises too much or logs its text."""

        async def fail(_):
            raise ValueError('secret')

        lines = []
        sink = loguru.logger.add(lines.append, format='{extra}')
        self.addCleanup(loguru.logger.remove, sink)
        self.router.answers[messages.Submit] = fail
        answer = await self.send('POST', '/v1/requests', _JOB)
        self.check(answer, 500, 'internal', 'unknown')
        self.assertEqual(1, len(lines))
        self.assertIn('ValueError at', lines[0])
        self.assertNotIn('secret', lines[0])

    async def test_limits_of_a_publish_are_its_own(self):
        """Guard against a configuration bound by the limit of work."""
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
        self.check(answer, 409, 'version_conflict', 'no')

    async def test_no_key_is_logged_or_dumped(self):
        """Guard against keys in log lines, errors, metrics and dumps."""
        lines = []
        sink = loguru.logger.add(lines.append, format='{message} {extra}')
        self.addCleanup(loguru.logger.remove, sink)

        async def fail(request):
            raise ValueError(request)

        self.router.answers[messages.Submit] = fail
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


class DepthTest(api_case.ApiCase):
    """Guard against a fault by JSON that is nested too deeply."""

    async def test_deep_json_is_refused(self):
        """Guard against an exception that no handler expects."""
        deep = b'[' * 50_000 + b']' * 50_000
        for body in (deep, _raw(deep), b'{"kind": ' + deep + b'}'):
            answer = await self.send('POST', '/v1/jobs', body)
            self.check(answer, *_BAD)
        for body in (deep, b'{"base": ' + deep + b'}'):
            answer = await self.send(
                'POST', '/v1/configuration', body, 'ops-1'
            )
            self.check(answer, *_BAD)
        self.assertEqual([], self.router.requests)
        self.assertEqual([], self.store.published)
