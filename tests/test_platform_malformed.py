"""Test that a malformed message costs that message only."""

import asyncio
import struct
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

from basilspindle.cell import journal as journal_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.platform import advice as advice_module
from basilspindle.platform import client as client_module
from basilspindle.platform import configuration as configuration_module
from basilspindle.platform import job_body
from basilspindle.platform import registry as registry_module
from basilspindle.platform import store as store_module
from basilspindle.platform import workers as workers_module
from tests import cell_case

# Bodies that a decoder has to survive: other types, missing parts, rows that
# are too short, and bytes that are no text.
_BODIES = (
    b'',
    b'null',
    b'[]',
    b'7',
    b'"text"',
    b'{',
    b'{}',
    b'\xff\xfe\x00',
    b'{"clock_ms":"1"}',
    b'{"clock_ms":1,"running":[[]]}',
    b'{"clock_ms":1,"running":[["t"]]}',
    b'{"clock_ms":1,"running":[["t","1","",5]]}',
    b'{"clock_ms":1,"running":[[1,2,3,4,5]]}',
    b'{"clock_ms":1,"running":[null]}',
    b'{"clock_ms":1,"finished":[[]]}',
    b'{"clock_ms":1,"finished":[["1","t",1,"done",""]]}',
    b'{"clock_ms":1,"finished":[[1,"t",1,"vanished",""]]}',
    b'{"clock_ms":1,"finished":[[1,"t",1,[],""]]}',
    b'{"clock_ms":1,"running":[["\\ud800",1,"",5]]}',
    b'{"reason":7}',
    b'{"good":[["w"]]}',
    b'{"good":{"w":"t"}}',
    b'{"good":[],"valid_ms":1e999}',
    b'{"good":[],"valid_ms":"long"}',
    b'{"items":[{"key":"k","value":"?"}],"end":1}',
    b'{"items":[{"key":"k","value":"AAA"}],"end":1}',
    b'{"items":[{"key":"k"}],"end":1}',
    b'{"first":"x"}',
    b'{"first":-1}',
    b'{"offset":"x"}',
    struct.pack('>QQ', 3, 0) + struct.pack('>I', 90) + b'\x05short',
    struct.pack('>QQ', 3, 0) + struct.pack('>I', 2) + b'\xf0k',
    struct.pack('>Q', 3),
)
_STATUSES = (200, 400, 404, 409, 410, 412, 421, 429, 500, 503, 507)
_SETTINGS = hypothesis.settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)


class _ScriptedClient:
    """Returns the same response to each call, at most a few times."""

    def __init__(self, status, body):
        self.response = client_module.Response(status, body)
        self.calls = 0

    async def call(self, *values, **options):
        self.calls += 1
        if self.calls > 5:
            raise client_module.CallFailed('no more', sent=False)
        return self.response


def _workers_calls(client):
    workers = workers_module.HttpWorkers(client)
    yield workers.renew('a:1', 'w', 1, 5, 0, 0, 100)
    yield workers.start('a:1', 'w', 1, 5, 't', 1, 'p', '', '', 100)
    yield workers.stop('a:1', 'w', 1, 't', 1, 100)
    yield workers.pace('a:1', 'w', 1, 't', 1, 50, 100)


def _advice_calls(client):
    yield advice_module.HttpAdvice(client, 'a:1').ask('s', ['w'], 100)


def _store_calls(client):
    store = store_module.LogStore(client, 'a:1')
    yield store.read_latest('jobs')
    yield store.read('jobs', 0, 0)
    yield store.probe_end('jobs')
    yield store.put('jobs', [('k', b'v')])
    yield store.append_at('jobs', [('k', b'v')], 0)
    yield store.fence('jobs', 1)
    yield store.append('jobs', [('k', b'v')], 1, 1, 100)
    yield registry_module.StoreRegistry(store).refresh()


class ResponseTest(unittest.TestCase):
    """Guard against a response that ends more than its own call.

    An error outside of the project's classes ends the task that made the
    call: a start that stays open for ever, or a leader that steps down.
    """

    def check(self, make_calls, status, body):
        async def play():
            for call in make_calls(_ScriptedClient(status, body)):
                try:
                    await call
                except errors.BasilspindleError:
                    continue

        asyncio.run(play())

    def check_all(self, make_calls):
        for status in _STATUSES:
            for body in _BODIES:
                with self.subTest(status=status, body=body):
                    self.check(make_calls, status, body)

    def test_workers(self):
        """Guard against a worker that ends a leadership."""
        self.check_all(_workers_calls)

    def test_advice(self):
        """Guard against advice that leaves its step waiting."""
        self.check_all(_advice_calls)

    def test_store(self):
        """Guard against a response of the store that ends a daemon."""
        self.check_all(_store_calls)

    @_SETTINGS
    @hypothesis.given(
        strategies.sampled_from(_STATUSES), strategies.binary(max_size=80)
    )
    def test_random_bytes(self, status, body):
        """Guard against bytes that no list of cases names."""
        for make_calls in (_workers_calls, _advice_calls, _store_calls):
            self.check(make_calls, status, body)


class RejectionTest(unittest.TestCase):
    """Guard what a rejection by a worker means to its leader."""

    def rejects(self, body):
        client = _ScriptedClient(409, body)
        workers = workers_module.HttpWorkers(client)
        return workers.renew('a:1', 'w', 1, 5, 0, 0, 100)

    def test_only_a_higher_token_ends_a_leadership(self):
        """Guard against a leader that steps down for another rejection."""
        with self.assertRaises(errors.StaleEpoch):
            asyncio.run(self.rejects(b'{"reason":"fence"}'))
        for body in (b'{"reason":"late"}', b'{', b'\xff'):
            with self.subTest(body=body):
                with self.assertRaises(errors.WorkerUnavailable):
                    asyncio.run(self.rejects(body))


class JobRecordTest(unittest.TestCase):
    """Guard against a record that ends each new leader."""

    def test_other_records_are_kept(self):
        """Guard against one record that costs all others."""
        for raw in (*_BODIES, b'\xc1', b'\x93\x01\x02\x03', b'\x90'):
            for key in ('dxx', 'fxx', 'cxx', 'roster', 'waits', 'beat', ''):
                with self.subTest(key=key, raw=raw):
                    values = {
                        key: raw,
                        'f' + '0' * 16: msgspec.msgpack.encode(
                            ('alpha', 'queue', 'completed', 5)
                        ),
                    }
                    found = journal_module._decode(values)
                    self.assertIn('0' * 16, found.ended_jobs)


class _Sink(asyncio.Transport):
    def __init__(self):
        super().__init__()
        self.aborted = False
        self.sent = b''

    def get_extra_info(self, name, default=None):
        return None

    def write(self, data):
        self.sent += data

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True


class FrameTest(unittest.IsolatedAsyncioTestCase):
    """Guard the links between daemons against other senders."""

    def open(self, handler):
        link = link_module.Link(handler)
        sink = _Sink()
        link.connection_made(sink)
        return link, sink

    async def test_a_bad_frame_closes_its_link_only(self):
        """Guard against an exception in the event loop."""

        async def handler(request):
            return messages.Accepted()

        for payload in (
            b'',
            b'\xc1',
            b'\x93\x01\x02\x03',
            b'\x92\x01\xa4\xff\xfe\xff\xff',
            msgspec.msgpack.encode([1, ['Submit', None]]),
            msgspec.msgpack.encode([1, ['\u20ac']]),
        ):
            with self.subTest(payload=payload):
                link, sink = self.open(handler)
                link.data_received(len(payload).to_bytes(4, 'big') + payload)
                self.assertTrue(sink.aborted)

    async def test_a_failed_handler_is_answered(self):
        """Guard against a request that waits for its whole timeout."""

        async def handler(request):
            raise ValueError('fault of the handler')

        link, sink = self.open(handler)
        payload = msgspec.msgpack.encode(
            messages.Frame(1, messages.CountWaiting('queue'))
        )
        link.data_received(len(payload).to_bytes(4, 'big') + payload)
        await asyncio.sleep(0.01)
        self.assertTrue(sink.sent or sink.aborted)


class OperatorRecordTest(unittest.TestCase):
    """Guard against a published record that ends every daemon."""

    def test_bad_records_raise_known_errors(self):
        """Guard against an error outside of the project's classes."""
        source = configuration_module.StoreConfigurationSource(
            None, clock_module.Clock()
        )
        for body in _BODIES:
            with self.subTest(body=body):
                self.assertIsNone(source._decode(body, 0))


class JobBodyTest(unittest.TestCase):
    """Guard against a caller whose job ends a request in another way."""

    def decode(self, body):
        try:
            job_body.decode(
                body, '0' * 16, 'alpha', cell_case.make_queue(), 1_000
            )
        except errors.BasilspindleError as error:
            self.assertLess(error.status, 500)

    def test_bad_bodies_are_rejected(self):
        """Guard against an error outside of the project's classes."""
        for body in (
            *_BODIES,
            b'{"spec":"s","steps":[]}',
            b'{"spec":"s","steps":[{"count":-1}]}',
            b'{"spec":"s","steps":[{"count":1,"after":[0]}]}',
            b'{"spec":"s","steps":[{"count":1,"cpu":1e300}]}',
            b'{"spec":"s","steps":[{"count":999999999999}]}',
        ):
            with self.subTest(body=body):
                self.decode(body)

    @_SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_random_bytes(self, body):
        """Guard against bytes that no list of cases names."""
        self.decode(body)
