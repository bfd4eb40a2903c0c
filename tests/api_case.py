"""Run the HTTP application with a fake configuration store and router."""

import asyncio
import json
import types
import unittest

import httpx

from basilspindle import api
from basilspindle import config
from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import settings
from tests.standins import manual_clock

KEYS = {
    name: config.Keyring.generate(name)
    for name in ('red-1', 'blue-1', 'ops-1', 'old-1')
}


def make_document():
    """Return a configuration with two workspaces and an open queue."""
    kind = {
        'priority': 'urgent',
        'resources': {'cpu_millicores': 100, 'memory_mb': 64},
        'run_time_ms': 50,
    }
    limit = {'tasks': 10}
    kinds = ['query', 'pay']
    document = {
        'cell': 'cell-1',
        'regions': ['r1'],
        'workspaces': {
            'red': {'share': 1, 'limit': limit, 'kinds': kinds},
            'blue': {'share': 1, 'limit': limit, 'kinds': ['query']},
        },
        'kinds': {
            'query': {**kind, 'idempotent': True},
            'pay': kind,
            'other': kind,
        },
        'queues': {
            'public': {'open': True, 'workspace': 'red', 'kinds': ['query']},
            'reds': {'workspace': 'red'},
        },
        'keys': {},
    }
    for workspace in ('red', 'blue'):
        key_id = f'{workspace}-1'
        document['keys'][key_id] = {
            'role': 'caller',
            'workspace': workspace,
            'sha256': KEYS[key_id][1],
        }
    document['keys']['ops-1'] = {
        'role': 'operator',
        'sha256': KEYS['ops-1'][1],
    }
    return document


class FakeConfigStore:
    """Hold one configuration, which is fresh unless a test sets ``stale``."""

    def __init__(self):
        self.version = 1
        self.stale = False
        self.published = []
        self.error = None
        self.set_document(make_document())

    def set_document(self, document):
        base = json.dumps(document).encode()
        parsed = config.read_accepted(base, b'{}')
        self.current = types.SimpleNamespace(
            version=self.version,
            document=parsed,
            publication=types.SimpleNamespace(base=base, overlay=b'{}'),
        )
        self._keys = config.Keyring(parsed.keys)

    def check_fresh(self):
        if self.stale:
            raise errors.ConfigurationStale('stale', retry_after_ms=250)

    def authenticate(self, key):
        self.check_fresh()
        return self._keys.check(key)

    async def publish(self, base, overlay, from_version, author):
        if self.error is not None:
            raise self.error
        self.published.append((base, overlay, from_version, author))
        return from_version + 1


class FakeRouter:
    """Record every request and answer it with a handler.

    Tests replace handlers to control the answers. With ``repeats``, each
    call looks as if an earlier owner may have received it.
    """

    def __init__(self, now_ms):
        self.now_ms = now_ms
        self.requests = []
        self.repeats = False
        self.handlers = {
            messages.Submit: self.submit,
            messages.View: self.view,
            messages.ListJobs: self.list,
            messages.Cancel: self.cancel,
        }
        self.jobs = {}

    def partition_of(self, workspace):
        return len(workspace)

    async def call(self, request, timeout_ms, on_retry=None, calls=None):
        self.requests.append(request)
        if self.repeats and on_retry is not None:
            on_retry()
        if calls is None:
            return await self.handlers[type(request)](request)
        try:
            return await self.handlers[type(request)](request)
        except errors.BasilspindleError as error:
            calls.note_refusal('o:1', self.now_ms(), error)
            raise

    def requests_of(self, request_type):
        return [r for r in self.requests if isinstance(r, request_type)]

    async def submit(self, request):
        job = request.job
        repeated = job.job_id in self.jobs
        self.jobs[job.job_id] = job
        view = self.make_view(job, model.State.SUCCEEDED)
        return messages.Submitted(
            job_id=job.job_id, repeated=repeated, view=view
        )

    async def view(self, request):
        job = self.find_job(request)
        return messages.Viewed(view=self.make_view(job, model.State.SUCCEEDED))

    def find_job(self, request):
        job = self.jobs.get(request.job_id)
        if job is None or job.workspace != request.workspace:
            raise errors.NotFound('no such job; check the id')
        return job

    async def list(self, request):
        return messages.JobList(views=[], more=False)

    async def cancel(self, request):
        job = self.find_job(request)
        return messages.Cancelled(
            view=self.make_view(job, model.State.CANCELLED)
        )

    def make_view(self, job, state, attempts=1):
        """Return a view with all tasks in a state and the input as result."""
        results = [
            model.TaskResult(
                index=index, state=state, attempts=attempts, result=job.input
            )
            for index in range(job.tasks)
            if state.final
        ]
        return model.JobView(
            job_id=job.job_id,
            workspace=job.workspace,
            queue=job.queue,
            kind=job.kind,
            state=state,
            tasks=job.tasks,
            counts={state.value: job.tasks},
            submitted_wall_ms=job.submitted_wall_ms,
            results=results,
        )


def bearer(key_id):
    """Return the header with the API key of a key id; none for ''."""
    return {'Authorization': f'Bearer {KEYS[key_id][0]}'} if key_id else {}


class ApiCase(unittest.IsolatedAsyncioTestCase):
    """Serve the application to a client in the same process."""

    limits = settings.RequestLimits()

    async def asyncSetUp(self):
        self.clock = manual_clock.ManualClock()
        self.store = FakeConfigStore()
        self.router = FakeRouter(self.clock.now_ms)
        self.metrics = api.Metrics()
        self.app = api.create_app(
            api.Services(
                clock=self.clock,
                store=self.store,
                router=self.router,
                metrics=self.metrics,
                not_ready_reason=lambda: '',
                list_members=list,
                list_workers=list,
                dump_state=self.dump,
                limits=self.limits,
            )
        )
        transport = httpx.ASGITransport(self.app, raise_app_exceptions=False)
        self.http = await self.enterAsyncContext(
            httpx.AsyncClient(transport=transport, base_url='http://api')
        )

    def dump(self):
        return {'member_id': 'entry-1'}

    async def send(self, method, path, body=None, key='red-1', **headers):
        """Send a request; a body of bytes is sent as is, others as JSON."""
        content = body if isinstance(body, bytes) else json.dumps(body)
        sent = {name.replace('_', '-'): v for name, v in headers.items()}
        return await self.http.request(
            method,
            path,
            content=content if body is not None else None,
            headers={**bearer(key), **sent},
        )

    def assert_error(self, answer, status, kind, ran):
        """Assert the documented form of an error and return the error."""
        self.assertEqual(status, answer.status_code, answer.text)
        self.assertEqual(['error'], list(answer.json()))
        error = answer.json()['error']
        self.assertEqual(
            {'kind', 'message', 'ran', 'retry_after_ms', 'job_id'},
            set(error),
        )
        self.assertEqual((kind, ran), (error['kind'], error['ran']))
        self.assertTrue(error['message'])
        return error

    async def start(self, path, body, key='red-1'):
        """Start a request.

        Returns its task, an event that disconnects the caller when it is
        set, and the list of the messages that the application sent.
        """
        content = json.dumps(body).encode()
        disconnect = asyncio.Event()
        parts = [{'type': 'http.request', 'body': content}]
        sent = []

        async def receive():
            if parts:
                return parts.pop()
            await disconnect.wait()
            return {'type': 'http.disconnect'}

        async def send(message):
            sent.append(message)

        headers = [
            (name.lower().encode(), value.encode())
            for name, value in bearer(key).items()
        ]
        scope = {
            'type': 'http',
            'asgi': {'version': '3.0'},
            'http_version': '1.1',
            'method': 'POST',
            'scheme': 'http',
            'path': path,
            'raw_path': path.encode(),
            'query_string': b'',
            'root_path': '',
            'headers': headers,
            'client': ('127.0.0.1', 1),
            'server': ('127.0.0.1', 2),
        }
        task = asyncio.ensure_future(self.app(scope, receive, send))
        await self.clock.settle()
        return task, disconnect, sent
