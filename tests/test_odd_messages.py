"""Test each message that a daemon reads with odd values in each field.

Only errors of the project may come out of a decoder, and what it lets pass
must not fail later: in a decision, in a call or in the log.
"""

import asyncio
import collections.abc
import json
import typing
import unittest

import msgspec

from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import election
from basilspindle.cell import journal as journal_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle.cell import reconcile
from basilspindle import clock as clock_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle.platform import advice as advice_module
from basilspindle.platform import boot_settings
from basilspindle.platform import client as client_module
from basilspindle.platform import configuration as configuration_module
from basilspindle.platform import job_body
from basilspindle.platform import registry as registry_module
from basilspindle.platform import store as store_module
from basilspindle.platform import workers as workers_module
from tests import cell_case
from tests import odd_values

_JOB = '00000000000000aa'
_TASK = f'{_JOB}.0.0.0'
_ENTRY = {
    'service': cell_case.POOL,
    'address': '127.0.0.1:1',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'capacity': {'cpu': 4_000, 'mem_mb': 100, 'gpus': 0},
    'labels': ['k', 'r1'],
    'remaining_ms': 0,
    'clock_ms': 5,
    'born': 1_000,
    'seq': 4,
}
_REPORT = {
    'clock_ms': 100,
    'born': cell_case.BORN_MS,
    'running': [[_TASK, 1, 'saved', 50, 7]],
    'finished': [[1, f'{_JOB}.0.0.1', 1, 'done', 'saved']],
}
_BODY = {
    'spec': 's',
    'steps': [
        {
            'count': 2,
            'cpu': 500,
            'mem_mb': 10,
            'gpus': 0,
            'estimate_ms': 100,
            'checkpointing': True,
            'affinity': 'r1',
            'anti_affinity': 0,
            'target_ms': 0,
            'may_miss': 0,
            'requires': 'k',
            'image': 'i',
        },
        {'count': 1, 'cpu': 500, 'estimate_ms': 100, 'after': [0]},
    ],
    'max_runs': 0,
    'first_run_ms': 0,
    'interval_ms': 0,
}
_CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': cell_case.QUEUE,
            'host': 'h.example',
            'path_prefix': '/queue/',
            'service': cell_case.POOL,
            'priority': 0,
            'max_attempts': 3,
            'stretch': 2.0,
            'target_latency_ms': 1_000,
            'timeout_ms': 3_000,
            'public': False,
            'advice': {'decide_ms': 1.0, 'each_ms': 1.0, 'valid_ms': 1.0},
        }
    ],
    'services': [{'name': cell_case.POOL, 'health_path': '/', 'max_conns': 1}],
    'tenants': [
        {
            'name': cell_case.WORKSPACE,
            'api_keys': ['key'],
            'weight': 1.0,
            'cap': {'cpu': 9_000, 'mem_mb': 0, 'gpus': 0},
        }
    ],
    'limits': {'max_body_bytes': 1_000},
}
_KEYS = (
    'w1',
    '',
    'w\ufffd',
    'w\u20ac',
    'w\x00',
    'w 1',
    'w\r\nX-Other: 1',
    'w' * 300,
)


class _FixedStore:
    """Holds one registry entry."""

    def __init__(self, key: str, raw: bytes) -> None:
        self.records = {key: (raw, 0)}

    async def read_latest_records(
        self, stream: str
    ) -> tuple[dict[str, tuple[bytes, int]], int]:
        return self.records, 1


class _FixedClient:
    """Answers each call with the same body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = client_module.Response(status, body)

    async def call(self, *_: object, **__: object) -> client_module.Response:
        return self._response


async def _known_errors_only(
    call: collections.abc.Awaitable[typing.Any],
) -> typing.Any:
    try:
        return await call
    except errors.BasilspindleError:
        return None


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    """Guard the leader against what another writer leaves among workers.

    The next leader reads the same entry (review/1, and reports of operators:
    deep nesting, numbers too large, ports out of range).
    """

    async def check(
        self, key: str, raw: bytes, client: client_module.Client
    ) -> None:
        registry = registry_module.StoreRegistry(_FixedStore(key, raw))
        workers = workers_module.HttpWorkers(client)
        for entry in (await registry.refresh()).values():
            with self.subTest(key=key, address=entry.address[:40]):
                msgspec.msgpack.encode({entry.worker_id: entry.address})
                await _known_errors_only(
                    workers.renew(
                        entry.address, entry.worker_id, 1, 5, 0, 0, 50
                    )
                )

    async def test_entries(self) -> None:
        """Guard against an entry that ends each leadership."""
        async with client_module.Client() as client:
            for raw in odd_values.messages(_ENTRY):
                await self.check('w1', raw, client)
            for key in _KEYS:
                await self.check(key, json.dumps(_ENTRY).encode(), client)

    async def test_addresses_that_the_log_names(self) -> None:
        """Guard against an address that an earlier build has recorded."""
        async with client_module.Client() as client:
            workers = workers_module.HttpWorkers(client)
            for value in odd_values.VALUES:
                for address, worker_id in (
                    (value[:500], 'w1'),
                    ('127.0.0.1:1', value[:500] + '\u20ac\r\n'),
                    ('127.0.0.1:99999', 'w1'),
                ):
                    await _known_errors_only(
                        workers.renew(address, worker_id, 1, 5, 0, 0, 50)
                    )


class WorkerReportTest(unittest.TestCase):
    """Guard the leader against a report that its worker repeats."""

    def check(self, raw: bytes) -> None:
        workers = workers_module.HttpWorkers(_FixedClient(200, raw))
        report = asyncio.run(
            _known_errors_only(
                workers.renew('127.0.0.1:1', 'w1', 1, 5, 0, 0, 50)
            )
        )
        if report is None:
            return
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        job = case.submit(
            cell_case.make_definition(
                _JOB, cell_case.make_step(2, checkpoints=True)
            )
        )
        case.start_all(case.plan())
        case.now_ms += 10
        reconcile.apply_report(
            case.state, worker, report, case.now_ms, case.now_ms
        )
        case.plan()
        batch = journal_module.Batch()
        journal_module.put_job(batch, job, case.now_ms)
        # The store refuses a record that is larger.
        self.assertLess(batch.size_bytes, 262_144)

    def test_reports(self) -> None:
        """Guard against a report that ends each leadership."""
        for raw in odd_values.messages(_REPORT):
            with self.subTest(raw=raw[:200]):
                self.check(raw)

    def test_a_report_without_a_list_ends_no_run(self) -> None:
        """Guard against runs that count as gone as their list is missing."""
        for name in ('running', 'finished'):
            sample = {**_REPORT}
            del sample[name]
            workers = workers_module.HttpWorkers(
                _FixedClient(200, json.dumps(sample).encode())
            )
            with self.assertRaises(errors.WorkerOutcomeUnknown):
                asyncio.run(workers.renew('a:1', 'w1', 1, 5, 0, 0, 50))

    def test_answers_to_starts(self) -> None:
        """Guard against a start whose outcome is never told."""
        for status in (200, 409):
            sample = {'clock_ms': 100, 'reason': 'old'}
            for raw in odd_values.messages(sample):
                workers = workers_module.HttpWorkers(_FixedClient(status, raw))
                asyncio.run(
                    _known_errors_only(
                        workers.start(
                            'a:1', 'w1', 1, 5, _TASK, 1, 's', '', '', 50
                        )
                    )
                )


class JobBodyTest(unittest.TestCase):
    """Guard the leader against a job that cannot be planned or stored."""

    def test_bodies(self) -> None:
        """Guard against a job that ends each leadership.

        An estimate of 1e30 became a number that the log cannot hold.
        """
        for raw in odd_values.messages(_BODY):
            with self.subTest(raw=raw[:300]):
                self.check(raw)

    def check(self, raw: bytes) -> None:
        try:
            definition = job_body.decode(
                raw, _JOB, cell_case.WORKSPACE, cell_case.make_queue(), 1_000
            )
        except errors.BasilspindleError as error:
            self.assertLess(error.status, 500)
            return
        msgspec.msgpack.encode(
            messages.Frame(1, messages.Submit(definition, 1_000))
        )
        case = cell_case.CellCase()
        case.setUp()
        case.add_worker('w1')
        try:
            job = case.intake.submit(definition, case.now_ms)
        except errors.CapacityShort as error:
            # No worker can hold it. An earlier leader may have accepted it.
            self.assertIs(errors.Ran.NO, error.ran)
            job = case.adopt(definition)
        except errors.BasilspindleError as error:
            self.assertLess(error.status, 500)
            return
        for _ in range(2):
            batch = journal_module.Batch()
            journal_module.put_job(batch, job, case.now_ms)
            case.record()
        case.plan()


class OperatorTest(unittest.TestCase):
    """Guard daemons against a record of the operators' stream."""

    def test_configurations(self) -> None:
        """Guard against a version that ends each daemon."""
        source = configuration_module.StoreConfigurationSource(
            None, clock_module.Clock()
        )
        for raw in odd_values.messages(_CONFIGURATION):
            with self.subTest(raw=raw[:300]):
                update = source._decode(raw, 0)
                if update is None:
                    continue
                msgspec.msgpack.encode(update.configuration)
                case = cell_case.CellCase()
                case.setUp()
                case.state.configuration_index = (
                    configuration_index.ConfigurationIndex(
                        update.configuration
                    )
                )
                case.add_worker('w1')
                case.submit(
                    cell_case.make_definition(_JOB, cell_case.make_step())
                )
                case.plan()

    def test_advice(self) -> None:
        """Guard against advice that leaves its step waiting."""
        sample = {'good': [['w1', 'ticket']], 'valid_ms': 1_000}
        for raw in odd_values.messages(sample):
            advice = advice_module.HttpAdvice(_FixedClient(200, raw), 'a:1')
            result = asyncio.run(
                _known_errors_only(advice.ask('s', ['w1'], 50))
            )
            if result is not None:
                msgspec.msgpack.encode(messages.Advised(*result))

    def test_answers_of_the_store(self) -> None:
        """Guard against an answer that ends a daemon."""
        sample = {
            'items': [{'key': 'k', 'value': 'AAAA', 'offset': 1}],
            'more': False,
            'end': 2,
            'offset': 1,
            'first': 0,
            'reason': 'seq',
            'expected': 3,
            'seq': 3,
        }
        for raw in odd_values.messages(sample):
            for status in (200, 409, 410):
                store = store_module.LogStore(_FixedClient(status, raw), 'a:1')
                for call in (
                    store.read_latest('s'),
                    store.read('s', 0, 0),
                    store.append_at('s', [('k', b'v')], 0),
                    store.append('s', [('k', b'v')], 1, 1, 50),
                ):
                    asyncio.run(_known_errors_only(call))

    def test_settings(self) -> None:
        """Guard against a settings file without a clear error."""
        for value in ('[' * 5_000, 'node = ' + '[' * 5_000, 'node = 1e999'):
            with self.assertRaises(errors.SettingsInvalid):
                boot_settings.parse(value)


class _ClaimStore:
    """Holds the newest records of a stream."""

    def __init__(self, raw_claim: bytes) -> None:
        self.latest = {'leader': raw_claim}
        self.end = 8

    async def read_latest(self, stream: str) -> tuple[dict[str, bytes], int]:
        return self.latest, self.end

    async def append_at(
        self, stream: str, records: list[tuple[str, bytes]], at: int
    ) -> int | None:
        if at != self.end:
            return None
        self.latest.update(records)
        self.end += len(records)
        return at


class _Sink(asyncio.Transport):
    def get_extra_info(
        self, name: str, default: typing.Any = None
    ) -> typing.Any:
        return default

    def write(self, data: typing.Any) -> None:
        return

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        return


class DaemonMessageTest(unittest.IsolatedAsyncioTestCase):
    """Guard links and the log against values of another build."""

    def _values(self) -> collections.abc.Iterator[typing.Any]:
        for value in (None, True, -1, 2**63 - 1, 0.5, 1e308, '', 'x', b'x'):
            yield value
        for value in ([], {}, [None], [[1]], ['Submit', None, 1]):
            yield value

    async def test_frames(self) -> None:
        """Guard against a frame that raises in the event loop."""

        async def handler(request: messages.Request) -> messages.Reply:
            return messages.Accepted()

        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        frame = msgspec.msgpack.decode(
            msgspec.msgpack.encode(
                messages.Frame(1, messages.Submit(definition, 1_000))
            )
        )
        payloads = [b'\x91' * 100_000, b'\x92\x01' + b'\x91' * 100_000]
        for path in odd_values._paths(frame):
            for value in self._values():
                changed = json.loads(json.dumps(frame))
                odd_values._set(changed, path, value)
                payloads.append(msgspec.msgpack.encode(changed))
        for payload in payloads:
            link = link_module.Link(handler)
            link.connection_made(_Sink())
            link.data_received(len(payload).to_bytes(4, 'big') + payload)
            link.connection_lost(None)

    async def test_claims(self) -> None:
        """Guard against a claim after which no claim can be read."""
        claim = claim_module.Claim('n', 'a:1', 'i', 5, epoch=8)
        sample = msgspec.msgpack.decode(msgspec.msgpack.encode(claim))
        raw_claims = [b'\x91' * 100_000, b'', b'\xc1']
        for path in odd_values._paths(sample):
            for value in (*self._values(), decoding.MAX_INTEGER):
                changed = [*sample]
                odd_values._set(changed, path, value)
                raw_claims.append(msgspec.msgpack.encode(changed))
        for raw in raw_claims:
            with self.subTest(raw=raw[:100]):
                store = _ClaimStore(raw)
                register = claim_module.ClaimRegister(store)
                for _ in range(2):
                    _, end = await register.read()
                    made = await register.try_claim(
                        claim_module.Claim(
                            'd1', 'a:2', 'i', election.next_term(end)
                        ),
                        end,
                    )
                    self.assertEqual((made, end + 1), await register.read())

    async def test_members(self) -> None:
        """Guard against one member's record that hides the others."""
        for value in (*self._values(), ['a:1'], 2**64 - 1):
            for raw in (msgspec.msgpack.encode(value), b'', b'\xc1'):
                store = _ClaimStore(b'')
                store.latest['d1'] = raw
                store.latest['d2'] = msgspec.msgpack.encode('a:2')
                register = claim_module.ClaimRegister(store)
                await register.read_members()
                self.assertEqual('a:2', register.members['d2'])

    def test_records(self) -> None:
        """Guard against a record that ends each new leader."""
        case = cell_case.CellCase()
        case.setUp()
        case.add_worker('w1')
        job = case.submit(
            cell_case.make_definition(_JOB, cell_case.make_step(2))
        )
        case.start_all(case.plan())
        first, second = journal_module.Batch(), journal_module.Batch()
        journal_module.put_job(second, job, 1)
        job.durable_state = None
        journal_module.put_job(first, job, 1)
        records = dict((*first.records, *second.records))
        for key, raw in records.items():
            sample = msgspec.msgpack.decode(raw)
            for odd in (b'\x91' * 100_000, b'', b'\xc1'):
                journal_module._decode({**records, key: odd})
            for path in odd_values._paths(sample):
                for value in self._values():
                    changed = msgspec.msgpack.decode(raw)
                    odd_values._set(changed, path, value)
                    recovered = journal_module._decode(
                        {**records, key: msgspec.msgpack.encode(changed)}
                    )
                    self.assertLessEqual(len(recovered.jobs), 1)
