"""Test what a dry run tells of a job, and that it changes nothing."""

import asyncio
import json
import os
import pathlib
import random
import subprocess
import sys
import unittest

from click import testing
import httpx
import msgspec

from basilspindle.cell import configuration_index
from basilspindle.cell.decisions import dry_run
from basilspindle.cell.decisions import retry_promises
from basilspindle.cell import messages
from basilspindle.cell import node as node_module
from basilspindle.cli import main as main_module
from basilspindle import errors
from basilspindle import workflow
from tests import cell_case
from tests import platform_case

_JOB = '00000000000000d1'


def freeze(value, seen=None):
    """Return all that is reachable from a value, comparable with another.

    Objects become their class and fields, in the order in which they are
    found; one that was seen before becomes its number.
    """
    seen = {} if seen is None else seen
    if isinstance(value, (str, int, float, bytes, type(None))):
        return value
    if callable(value):
        return 'callable'
    if id(value) in seen:
        return seen[id(value)][0]
    # Keeps the object, so that its id is not used again.
    seen[id(value)] = (f'#{len(seen)}', value)
    fields = {}
    if isinstance(value, dict):
        fields['items'] = [
            (freeze(key, seen), freeze(each, seen))
            for key, each in value.items()
        ]
    elif isinstance(value, (set, frozenset)):
        return sorted(map(repr, value))
    elif isinstance(value, (list, tuple)):
        return [freeze(each, seen) for each in value]
    for name in sorted(
        {
            name
            for part in type(value).__mro__
            for name in getattr(part, '__slots__', ())
        }
        | set(getattr(value, '__dict__', ()))
    ):
        # Derived from other fields when it is first asked for.
        if name != '_available' and hasattr(value, name):
            fields[name] = freeze(getattr(value, name), seen)
    return type(value).__name__, fields


class DryRunCase(cell_case.CellCase):
    """Cell with two workspaces, one of them with a share and a limit."""

    def setUp(self):
        super().setUp()
        self.configure()

    def configure(self, limit=workflow.Need(), queues=None):
        """Apply a configuration with a limit of each workspace."""
        self.state.configuration_index = (
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration(
                    queues=queues,
                    limit=limit,
                    shares={'alpha': 2.0, 'beta': 0.0},
                )
            )
        )

    def describe(self, definition, is_store_silent=False):
        return dry_run.describe(
            self.state,
            definition,
            self.planner.headroom,
            is_store_silent,
            self.now_ms,
        )

    def decide(self, definition):
        """Submit a job; return what a dry run is to foretell of it."""
        try:
            self.submit(definition)
        except errors.CapacityShort as error:
            reason = str(error.details['reason'])
            return False, reason, error.retry_after_ms // 1000
        return True, '', 0


class ReadOnlyTest(DryRunCase):
    """Guard decisions against dry runs."""

    def make_job(self, chance, number):
        return cell_case.make_definition(
            f'{number:016x}',
            cell_case.make_step(
                chance.randint(1, 6),
                cpu=chance.choice((500, 1_000, 3_000, 9_000)),
                estimate_ms=chance.randint(100, 3_000),
                gang=chance.random() < 0.2,
            ),
            workspace=chance.choice(('alpha', 'beta')),
            priority=chance.randint(0, 2),
        )

    def play(self, seed, is_asked):
        """Return the decisions of a play, with dry runs beside it or not."""
        chance = random.Random(seed)
        self.make_state()
        self.configure(workflow.Need(9_000))
        self.end_numbers = {}
        for number in range(4):
            self.add_worker(f'w{number}')
        decisions = []
        running = []
        for number in range(100):
            self.now_ms += chance.choice((0, 10, 40, 300))
            definition = self.make_job(chance, number % 70)
            asked = self.make_job(random.Random(number), 1_000 + number)
            if is_asked:
                parts = (self.state, self.planner, self.intake)
                before = freeze(parts) if number % 4 == 0 else None
                answer = self.describe(definition)
                self.describe(asked)
                if before is not None:
                    self.assertEqual(before, freeze(parts))
            if self.state.table.knows(definition.job_id):
                continue
            decided = self.decide(definition)
            decisions.append(decided)
            if is_asked:
                told = (
                    answer['accepted'],
                    str(answer['reason']),
                    answer['retry_after_s'],
                )
                self.assertEqual(decided, told, definition.job_id)
            if chance.random() < 0.6:
                starts = self.start_all(self.plan())
                decisions.append(
                    [(each.task.name, each.worker_id) for each in starts]
                )
                running += starts
            chance.shuffle(running)
            for start in running[4:]:
                self.report_end(start.worker_id, start.task.name, start.run)
            del running[4:]
            self.record()
            for name in self.state.workers:
                self.state.workers[name].last_contact_ms = self.now_ms
        return decisions

    def test_dry_runs_change_no_decision_and_foretell_it(self):
        """Guard against dry runs that are counted, cached or promised."""
        refused = 0
        for seed in range(4):
            with self.subTest(seed=seed):
                begun_ms = self.now_ms
                asked = self.play(seed, True)
                self.now_ms = begun_ms
                self.assertEqual(self.play(seed, False), asked)
                refused += sum(1 for each in asked if each[:1] == (False,))
        self.assertGreater(refused, 20)

    def test_a_promise_that_has_expired_stays(self):
        """Guard against dry runs that drop what callers were told."""
        self.add_worker('w1')
        self.state.retry_promises.note(
            'e' * 16,
            retry_promises.RetryPromise(
                'beta', cell_case.POOL, (False, 0), 1_000, 0, self.now_ms
            ),
        )
        self.now_ms += 60_000
        before = freeze(self.state)
        self.describe(cell_case.make_definition(_JOB, cell_case.make_step()))
        self.assertEqual(before, freeze(self.state))

    def test_a_share_is_not_used_up(self):
        """Guard against share tokens that dry runs take."""
        self.add_worker('w1')
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        for _ in range(20):
            answer = self.describe(definition)
            self.assertFalse(answer['order']['beyond_share'])


class AnswerTest(DryRunCase):
    """Test the answer."""

    def test_workers_are_counted_by_reason(self):
        """Guard against counts that don't add up to the pool."""
        for name in ('takes', 'full', 'closed', 'draining', 'suspect'):
            self.add_worker(name)
        self.add_worker('small', cpu=500)
        self.add_worker('silent', reported=False)
        self.add_worker('other').labels = frozenset()
        workers = self.state.workers
        workers['full'].used = workflow.Need(3_500)
        workers['closed'].failure_domain = 'z'
        self.state.set_closed_domains(frozenset('z'))
        workers['draining'].ready = False
        workers['suspect'].suspect_until_ms = self.now_ms + 1
        workers['takes'].speed_class = 1
        workers['takes'].class_slowness = 1.5
        step = cell_case.make_step(9, required_label='k')
        answer = self.describe(cell_case.make_definition(_JOB, step))
        row = answer['steps'][0]
        self.assertEqual(
            {
                'label': 1,
                'capacity_too_small': 1,
                'closed_failure_domain': 1,
                'draining': 1,
                'suspect': 1,
                'not_reporting': 1,
                'room': 1,
            },
            row['not_taken'],
        )
        self.assertEqual((1, ['takes']), (row['workers'], row['worker_ids']))
        self.assertEqual((4, 4), (row['task_slots'], row['start_now']))
        self.assertEqual({'class': 1, 'slowness': 1.5}, row['fastest_class'])

    def test_the_limit_of_the_workspace_is_a_reason(self):
        """Guard against workers that are said to take held tasks."""
        self.configure(workflow.Need(1_000))
        self.add_worker('w1')
        self.submit(cell_case.make_definition('a' * 16, cell_case.make_step()))
        self.start_all(self.plan())
        answer = self.describe(
            cell_case.make_definition(_JOB, cell_case.make_step())
        )
        self.assertEqual(
            {'workspace_limit': 1}, answer['steps'][0]['not_taken']
        )
        self.assertEqual(1_000, answer['workspace']['used_millicores'])

    def test_a_gang_starts_as_a_whole(self):
        """Guard against a part of a gang that is said to start."""
        for number in range(2):
            self.add_worker(f'w{number}', rack=f'r{number}')
        rows = ((8, False, 8), (9, False, 0), (4, True, 4), (5, True, 0))
        for count, same_rack, expected in rows:
            with self.subTest(count=count, same_rack=same_rack):
                step = cell_case.make_step(
                    count, gang=True, same_rack=same_rack
                )
                answer = self.describe(cell_case.make_definition(_JOB, step))
                self.assertEqual(expected, answer['steps'][0]['start_now'])

    def test_no_other_workspace_is_named(self):
        """Guard against a key that learns of the work of others."""
        self.add_worker('w1')
        for number in range(9):
            self.adopt(
                cell_case.make_definition(
                    f'be{number:014x}',
                    cell_case.make_step(2, estimate_ms=60_000),
                    workspace='beta',
                )
            )
        self.start_all(self.plan())
        answer = self.describe(
            cell_case.make_definition(_JOB, cell_case.make_step())
        )
        text = json.dumps(msgspec.to_builtins(answer))
        self.assertEqual('capacity', answer['reason'])
        self.assertNotIn('beta', text)
        self.assertNotIn('be0000', text)
        self.assertGreater(answer['order']['waiting_tasks'], 0)
        self.assertEqual(0, answer['workspace']['waiting_tasks'])

    def test_a_silent_store_refuses(self):
        """Guard against a job that is said to be accepted in an outage."""
        self.add_worker('w1')
        answer = self.describe(
            cell_case.make_definition(_JOB, cell_case.make_step()), True
        )
        self.assertEqual(
            (False, 503, 'store_silent', 1),
            (
                answer['accepted'],
                answer['status'],
                answer['reason'],
                answer['retry_after_s'],
            ),
        )

    def test_steps_beyond_the_first_ones_are_counted(self):
        """Guard against a job with many steps that stops the leader."""
        self.add_worker('w1')
        steps = [cell_case.make_step()] * (dry_run.MAX_STEPS + 3)
        answer = self.describe(cell_case.make_definition(_JOB, *steps))
        self.assertEqual(dry_run.MAX_STEPS, len(answer['steps']))
        self.assertEqual(3, answer['steps_omitted'])

    def test_a_recurring_job_has_no_expectation(self):
        """Guard against a failure on jobs that are always accepted."""
        definition = cell_case.make_definition(
            _JOB, cell_case.make_step(), max_runs=3, interval_ms=1_000
        )
        answer = self.describe(definition)
        self.assertTrue(answer['accepted'])
        self.assertIsNone(answer['expected'])


class _Link:
    """Link to a leader that answers every call with a reply."""

    def __init__(self, answers_dry_runs, reply=None):
        self.answers_dry_runs = answers_dry_runs
        self.reply = reply
        self.sent = []

    async def call(self, request, timeout_ms):
        self.sent.append(request)
        if self.reply is None:
            raise errors.PeerOutcomeUnknown('lost')
        return self.reply


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Test what a follower sends to the leader."""

    async def ask(self, link):
        node = object.__new__(node_module.Node)
        node.leader = None
        node._election = type('Election', (), {'link': link})()
        definition = cell_case.make_definition(_JOB, cell_case.make_step())
        return await node.dry_run(definition, 100)

    async def test_a_leader_of_another_build_is_not_asked(self):
        """Guard against a message on which that leader closes the link."""
        link = _Link(False)
        with self.assertRaises(errors.NotReady):
            await self.ask(link)
        self.assertEqual([], link.sent)

    async def test_a_lost_reply_is_no_answer(self):
        """Guard against a question that is repeated or hangs."""
        for link in (None, _Link(True), _Link(True, messages.NotLeading())):
            with self.assertRaises(errors.NotReady):
                await self.ask(link)
        link = _Link(True, messages.DryRunAnswer(b'{}'))
        self.assertEqual(b'{}', await self.ask(link))

    def test_a_pong_of_an_earlier_build_can_be_read(self):
        """Guard against builds that don't know each other's answers."""
        fields = ['Pong', 'i', True, 1, 0, 2, 3, 4]
        for more, expected in (([], False), ([True], True)):
            raw = msgspec.msgpack.encode([1, fields + more])
            pong = msgspec.msgpack.decode(raw, type=messages.Frame).message
            self.assertIs(expected, pong.answers_dry_runs)
        # What an earlier build reads has a field that it does not know.
        raw = msgspec.msgpack.encode(['Pong', 'i', True, 1, 0, 2, 3, 4, True])
        known = msgspec.defstruct(
            'Pong',
            [
                (name, messages.Pong.__annotations__[name])
                for name in messages.Pong.__struct_fields__[:-1]
            ],
            array_like=True,
            tag=True,
        )
        self.assertEqual(
            4, msgspec.msgpack.decode(raw, type=known).configuration_format
        )


class CommandTest(unittest.TestCase):
    """Test the command without a daemon."""

    def run_command(self, response, *words, text='{"steps": [{}]}'):
        def handle(request):
            self.request = request
            if isinstance(response, Exception):
                raise response
            return response

        self.request = None
        return testing.CliRunner(env={'BASILSPINDLE_KEY': 'k'}).invoke(
            main_module.main,
            ['--url', 'http://127.0.0.1:1', 'explain', *words],
            input=text,
            obj=httpx.MockTransport(handle),
        )

    def test_wrong_usage_sends_nothing(self):
        """Guard against a question about another job or queue."""
        dry_run_words = ('--dry-run', '-')
        rows = (
            ((), '{}'),
            (('--queue', 'q'), '{}'),
            (dry_run_words, '{}'),
            ((*dry_run_words, '--host', 'h'), '{}'),
            ((*dry_run_words, '--host', 'h', '--queue', 'q'), '{}'),
            ((*dry_run_words, '--queue', 'q', 'job'), '{}'),
            ((*dry_run_words, '--queue', 'q'), '{'),
            ((*dry_run_words, '--queue', 'q'), '[' * 100_000),
        )
        for words, text in rows:
            with self.subTest(words=words, text=text[:5]):
                result = self.run_command(None, *words, text=text)
                self.assertEqual(2, result.exit_code, result.output)
                self.assertIsNone(self.request)

    def test_a_lost_answer_leaves_nothing_unknown(self):
        """Guard against an exit code that tells of work that may run."""
        for response in (
            httpx.ReadTimeout('lost'),
            httpx.Response(502, text='gateway'),
            httpx.Response(200, json={'waiting': 1}),
        ):
            result = self.run_command(
                response, '--dry-run', '-', '--queue', 'q'
            )
            self.assertEqual(5, result.exit_code, result.output)


class ProcessTest(platform_case.PlatformCase):
    """Test dry runs at daemon processes."""

    daemon_count = 2
    worker_count = 2

    async def ask(self, daemon, body, key='key-a', **params):
        return await self.client.post(
            f'http://127.0.0.1:{daemon.metrics_port}/dry-run',
            params=params or {'host': platform_case.HOST, 'path': '/jobs/'},
            content=body,
            headers={'Authorization': f'Bearer {key}'},
        )

    async def run_cli(self, daemon, body, *words):
        path = self.folder / 'job.json'
        path.write_bytes(body)
        return await asyncio.to_thread(
            subprocess.run,
            [
                sys.executable,
                '-c',
                'from basilspindle.cli.main import main; main()',
                '--url',
                f'http://127.0.0.1:{daemon.metrics_port}',
                *words,
                'explain',
                '--dry-run',
                str(path),
                '--queue',
                'r-jobs',
            ],
            cwd=pathlib.Path(__file__).resolve().parent.parent,
            env={**os.environ, 'BASILSPINDLE_KEY': 'key-a'},
            capture_output=True,
            text=True,
            timeout=30,
        )

    async def state(self, daemon):
        url = f'http://127.0.0.1:{daemon.metrics_port}/state'
        return (await self.client.get(url)).json()

    async def wait_workers(self):
        """Wait until the leader's answer counts all workers."""
        body = json.dumps(platform_case.make_job(100, 1)).encode()
        for _ in range(200):
            answer = await self.ask(self.leader(), body)
            if answer.status_code == 200:
                if answer.json()['steps'][0]['workers'] == 2:
                    return
            await asyncio.sleep(0.05)
        self.fail(answer.text)

    async def test_every_daemon_answers_and_nothing_runs(self):
        """Guard against dry runs that are submitted or reach no leader."""
        await self.wait_workers()
        body = json.dumps(platform_case.make_job(100, 2, 1)).encode()
        before = await self.state(self.leader())
        for daemon in self.daemons:
            answer = await self.ask(daemon, body)
            self.assertEqual(200, answer.status_code, answer.text)
            fields = answer.json()
            self.assertTrue(fields['accepted'])
            self.assertEqual('not_asked', fields['advice'])
            self.assertEqual([2, 2], [s['workers'] for s in fields['steps']])
            self.assertEqual(
                fields['steps'],
                (await self.ask(daemon, body, queue='r-jobs')).json()['steps'],
            )
        after = await self.state(self.leader())
        for fields in (before, after):
            fields.pop('store_age_ms')
        self.assertEqual(before, after)
        self.assertEqual([], after['jobs'])
        self.assertEqual([], [w.history for w in self.workers if w.history])
        self.assertEqual(0, self.advice.calls)
        logs = ''.join(each.log_path.read_text() for each in self.daemons)
        self.assertIn('dry_run_answered', logs)
        self.assertNotIn('job_accepted', logs)

    async def test_wrong_requests_get_a_clear_error(self):
        """Guard against answers without a key, and bodies without a bound."""
        daemon = self.daemons[0]
        good = json.dumps(platform_case.make_job(100, 1)).encode()
        rows = (
            (401, good, 'other', {}),
            (401, good, 'other', {'queue': 'r-jobs'}),
            (404, good, 'key-a', {'queue': 'unknown'}),
            (404, good, 'key-a', {'host': 'h.example', 'path': '/x/'}),
            (400, good, 'key-a', {'host': 'h.example'}),
            (400, good, 'key-a', {'queue': 'r-jobs', 'path': '/jobs/'}),
            (400, good, 'key-a', {'queue': 'r-jobs', 'job': 'x'}),
            (400, good, 'key-a', {'queue': ''}),
            (400, good, 'key-a', {'queue': ['r-jobs', 'r-jobs']}),
            (400, b'', 'key-a', {}),
            (400, b'[' * 60_000, 'key-a', {}),
            (400, b'{"steps": []}', 'key-a', {}),
            (400, b'{"steps": [{"count": -1}]}', 'key-a', {}),
            (413, b' ' * 70_000 + good, 'key-a', {}),
        )
        for status, body, key, params in rows:
            with self.subTest(status=status, params=params, body=body[:9]):
                answer = await self.ask(daemon, body, key, **params)
                self.assertEqual(status, answer.status_code, answer.text)
                self.assertTrue(answer.json()['error']['message'])
        url = f'http://127.0.0.1:{daemon.metrics_port}/dry-run'
        self.assertEqual(400, (await self.client.get(url)).status_code)
        # A caller that sends it to a queue submits nothing.
        url = f'http://127.0.0.1:{daemon.frontend_port}/dry-run'
        answer = await self.client.post(url, content=good)
        self.assertEqual(404, answer.status_code)

    async def test_the_command_prints_the_answer(self):
        """Guard against exit codes that hide a refusal."""
        await self.wait_workers()
        daemon = self.daemons[1]
        good = json.dumps(platform_case.make_job(100, 1)).encode()
        result = await self.run_cli(daemon, good)
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn('accepted: ', result.stdout)
        self.assertIn('advice: not asked', result.stdout)
        result = await self.run_cli(daemon, good, '--json')
        self.assertTrue(json.loads(result.stdout)['accepted'])
        wide = json.dumps(platform_case.make_job(100, 1, cpu=900_000)).encode()
        result = await self.run_cli(daemon, wide)
        self.assertEqual(3, result.returncode, result.stderr)
        self.assertIn('refused: no_worker_fits', result.stdout)
        self.assertIn('capacity_too_small 2', result.stdout)
        result = await self.run_cli(daemon, b'{"steps": []}', '--json')
        self.assertEqual(3, result.returncode, result.stderr)
        self.assertIn('bad_request', result.stdout)
