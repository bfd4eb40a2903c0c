"""Test the promises to callers while leaders change many times a second."""

import asyncio
import collections
import contextlib
import os
import random
import time
import unittest
from unittest import mock

import msgspec

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import claim as claim_module
from basilspindle.cell import configuration_index
from basilspindle.cell import confirmation
from basilspindle.cell import leader as leader_module
from basilspindle.cell import messages
from basilspindle.cell import session as session_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle.platform import advice as advice_module
from basilspindle.platform import client as client_module
from basilspindle.platform import registry as registry_module
from basilspindle.platform import store as store_module
from basilspindle.platform import workers as workers_module
from basilspindle.workflow import job_state
from tests import cell_case
from tests.standins import platform
from tests.standins.platform import worker as standin_worker

# Both are set for longer hunts.
_SEEDS = tuple(
    int(seed) for seed in os.environ.get('CHURN_SEEDS', '1 2').split()
)
_CHURN_S = float(os.environ.get('CHURN_S', '4'))
# Shorter than in use, so that a lease runs out during a test.
_LEASE_MS = 1_000
_STORE_TIMEOUT_MS = 2_000
# Fewer than in use, so that workers often list their ends in parts.
_ENDS_PER_REPORT = 5
_WORKER_CPU = 4_000
_WORKER_COUNT = 4
_MAX_WORKER_COUNT = 6
_DISRUPTION_COUNT = 3
# Too old to have taken an order for an earlier life.
_WORKER_AGE_S = 60.0
_END_TIMEOUT_S = 30.0
_FINAL = frozenset(
    {
        job_state.JobState.COMPLETED,
        job_state.JobState.FAILED,
        job_state.JobState.CANCELLED,
    }
)


class _Cell:
    """Successive leaders in this process, and the calls of their callers."""

    def __init__(self, chance, store, advice_address):
        self.chance = chance
        self.store = store
        self.advice_address = advice_address
        self.clock = clock_module.Clock()
        self.leader = None
        self.leader_count = 0
        self.losses = []
        self.tasks = set()
        # All are ids of jobs.
        self.accepted = set()
        self.refused = set()
        self.cancelled = set()
        self.faults = []

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def churn(self, until_s):
        """Let leaders follow each other until a time."""
        while time.monotonic() < until_s:
            life_s = self.chance.uniform(0.005, 0.4)
            life = self.spawn(self.lead(life_s, self.chance.random()))
            # Now and then the next one claims while this one still leads.
            is_overlapped = self.chance.random() < 0.25
            gap_s = self.chance.uniform(0.002, life_s)
            if is_overlapped:
                await asyncio.sleep(gap_s)
            else:
                await asyncio.wait({life})

    async def lead_on(self):
        """Lead until cancelled, as another leader once one is lost."""
        while True:
            try:
                await self.lead(4 * _END_TIMEOUT_S)
            except Exception as error:
                self.faults.append(f'a leader failed: {error!r}')
            await asyncio.sleep(0.05)

    async def lead(self, life_s, ending=0.0):
        """Lead for a time, which ends in one of two ways."""
        async with client_module.Client() as client:
            store = store_module.LogStore(client, self.store.server.address)
            register = claim_module.ClaimRegister(store)
            try:
                previous, end = await register.read()
                claim = await register.try_claim(
                    claim_module.Claim(
                        'n', 'n:1', 'i', previous.term + 1 if previous else 0
                    ),
                    end,
                )
            except errors.LogError:
                return
            if claim is None:
                return
            await self._lead(client, store, claim, previous, life_s, ending)

    async def _lead(self, client, store, claim, previous, life_s, ending):
        leader = leader_module.Leader(
            claim,
            store,
            registry_module.StoreRegistry(store),
            workers_module.HttpWorkers(client),
            advice_module.HttpAdvice(client, self.advice_address),
            self.clock,
            bounds_module.Bounds(max_lease_ms=_LEASE_MS, gang_ms=2_500),
            configuration_index.ConfigurationIndex(
                cell_case.make_configuration()
            ),
            previous,
        )
        self.leader_count += 1
        lose_leadership = leader.lose_leadership

        def note_loss(reason):
            self.losses.append(reason)
            lose_leadership(reason)

        leader.lose_leadership = note_loss

        async def live():
            try:
                async with leader:
                    self.leader = leader
                    await leader.lost.wait()
            except errors.Deposed:
                pass

        life = asyncio.ensure_future(live())
        try:
            await asyncio.wait({life}, timeout=life_s)
        finally:
            if ending < 0.5:
                leader.lose_leadership('the test ends it')
                await asyncio.wait({life}, timeout=1)
            life.cancel()
            await asyncio.wait({life})
            if not life.cancelled() and life.exception() is not None:
                self.faults.append(f'a leader failed: {life.exception()!r}')

    def describe(self):
        """Return what live tasks wait for, for the message of a failure."""
        state = self.leader.state
        now_ms = self.clock.now_ms()
        lines = [
            f'{run.key}: {run.done} done, {len(run.waiting)} waiting, '
            f'{run.wait_reason}, recovered {job.recovered}, '
            f'{job.state}, {job.durable_state}, '
            f'ready {run.key in state.table.ready_steps}, '
            f'occurrences {job.next_occurrence}/{job.durable_occurrences} '
            f'{collections.Counter(str(task.state) for task in run.tasks)} '
            f'{[t.name for t in run.tasks if t.worker_id][:4]}'
            for job in state.table.jobs.values()
            for run in job.runs.values()
            if not run.is_done
        ]
        lines += [
            f'{worker.worker_id}: reported {worker.reported}, recorded '
            f'{worker.is_recorded}, ready {worker.ready}, '
            f'listed {worker.listed}, unexpected {worker.unexpected_runs}, '
            f'ends {worker.applied_end_number}/{worker.recorded_end_number}, '
            f'silent {now_ms - worker.last_contact_ms} ms, '
            f'used {worker.used.cpu_millicores}'
            f'+{worker.reserved.cpu_millicores}, tasks {len(worker.tasks)}'
            for worker in state.workers.values()
        ]
        lines.append(f'awaited {state.awaited_workers.remaining_ms(now_ms)}')
        lines.append(f'{self.leader_count} leaders, lost {self.losses[-6:]}')
        return '\n'.join(lines)

    async def ask(self, request):
        """Return the reply of the newest leader, None if none came."""
        leader = self.leader
        if leader is None or leader.lost.is_set():
            return None
        reply = await leader.handle(request)
        return None if isinstance(reply, messages.NotLeading) else reply

    async def ask_until_answered(self, request):
        while True:
            reply = await self.ask(request)
            if reply is not None:
                return reply
            await asyncio.sleep(0.02)

    async def submit(self, definition):
        """Submit a job as callers do; repeat it sometimes."""
        request = messages.Submit(definition, 1_000)
        reply = await self.ask_until_answered(request)
        if isinstance(reply, messages.Refused):
            self.refused.add(definition.job_id)
            return
        self.accepted.add(definition.job_id)
        if self.chance.random() < 0.2:
            await asyncio.sleep(self.chance.uniform(0, 1))
            reply = await self.ask_until_answered(request)
            if not isinstance(reply, messages.Accepted):
                self.faults.append(f'{definition.job_id}: repeat: {reply!r}')
        if self.chance.random() < 0.1:
            await asyncio.sleep(self.chance.uniform(0, 1))
            await self.cancel(definition.job_id)

    async def cancel(self, job_id):
        self.cancelled.add(job_id)
        request = messages.Cancel(job_id, cell_case.WORKSPACE)
        reply = await self.ask_until_answered(request)
        if not isinstance(reply, messages.Accepted):
            self.faults.append(f'{job_id}: cancel: {reply!r}')

    async def watch(self):
        """Ask for the states of jobs, none of which may be unknown."""
        while True:
            await asyncio.sleep(0.02)
            if not self.accepted:
                continue
            job_id = self.chance.choice(sorted(self.accepted))
            reply = await self.ask(messages.Find(job_id, cell_case.WORKSPACE))
            if isinstance(reply, messages.Gone):
                self.faults.append(f'{job_id}: unknown')


class SuccessionTest(unittest.IsolatedAsyncioTestCase):
    """Guard jobs against a fast change of leaders (issue 32)."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        for target, name, value in (
            (session_module, 'LEASE_MS', _LEASE_MS),
            (confirmation, 'TIMEOUT_MS', _STORE_TIMEOUT_MS),
            (standin_worker, '_MAX_LEASE_MS', _LEASE_MS),
            (standin_worker, '_MAX_LISTED_ENDS', _ENDS_PER_REPORT),
            (workers_module, '_MAX_ENDS_PER_REPORT', _ENDS_PER_REPORT),
        ):
            patch = mock.patch.object(target, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    async def test_no_task_is_lost_or_doubled(self):
        """Guard against a task that is lost or runs twice."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                await self.run_seed(seed)

    async def run_seed(self, seed):
        chance = random.Random(seed)
        async with contextlib.AsyncExitStack() as stack:
            store = await stack.enter_async_context(platform.StandinStore())
            advice = await stack.enter_async_context(platform.StandinAdvice())
            workers = []
            for number in range(_WORKER_COUNT):
                worker = platform.StandinWorker(
                    f'w{number}', store, cell_case.POOL, _WORKER_CPU
                )
                worker.age(_WORKER_AGE_S)
                workers.append(await stack.enter_async_context(worker))
            cell = _Cell(chance, store, advice.server.address)
            until_s = time.monotonic() + _CHURN_S
            watch = cell.spawn(cell.watch())
            disruptions = [
                cell.spawn(self.disrupt(chance, store, workers))
                for _ in range(_DISRUPTION_COUNT)
            ]
            load = cell.spawn(self.load(chance, cell, until_s))
            self.steps = {}
            self.stack = stack
            await cell.churn(until_s)
            await asyncio.gather(*disruptions)
            final = cell.spawn(cell.lead_on())
            try:
                await asyncio.wait_for(load, _END_TIMEOUT_S)
                await self.wait_for_ends(cell)
            finally:
                for task in (watch, final):
                    task.cancel()
                await asyncio.wait({watch, final})
            # For runs on their way to an end.
            await asyncio.sleep(0.3)
            self.assertEqual([], cell.faults)
            self.check_runs(cell, workers)

    async def load(self, chance, cell, until_s):
        submissions = []
        number = 0
        while time.monotonic() < until_s:
            await asyncio.sleep(chance.uniform(0.01, 0.08))
            number += 1
            job_id = f'{number:016x}'
            definition = self.make_definition(chance, job_id)
            self.steps[job_id] = definition.steps
            submissions.append(cell.spawn(cell.submit(definition)))
        await asyncio.gather(*submissions)

    def make_definition(self, chance, job_id):
        wall_ms = clock_module.Clock().wall_ms()
        changes = {
            'max_attempts': 100,
            'target_latency_ms': 60_000,
            'accepted_wall_ms': wall_ms,
        }
        kind = chance.random()
        duration_ms = chance.choice((1, 20, 100, 400))
        steps = [cell_case.make_step(chance.randint(1, 4), 500)]
        if kind < 0.15:
            changes |= {
                'max_runs': 4,
                'first_run_ms': wall_ms + 300,
                'interval_ms': 300,
            }
        elif kind < 0.3:
            steps = [cell_case.make_step(2, 500, gang=True)]
            duration_ms = 100
        elif kind < 0.5:
            steps.append(cell_case.make_step(2, 500, after=(0,)))
        elif kind < 0.55:
            steps = [cell_case.make_step(60, 200)]
            duration_ms = 1
        definition = cell_case.make_definition(job_id, *steps, **changes)
        return msgspec.structs.replace(definition, payload=str(duration_ms))

    async def disrupt(self, chance, store, workers):
        """Disturb the workers and the store until the churn ends."""
        until_s = time.monotonic() + _CHURN_S
        while time.monotonic() < until_s:
            await asyncio.sleep(chance.uniform(0.2, 0.8))
            worker = chance.choice(workers)
            kind = chance.random()
            if kind < 0.3 and worker.is_up:
                worker.lose_power()
                await asyncio.sleep(chance.uniform(0.01, 0.6))
                worker.start_again()
            elif kind < 0.45 and len(workers) < _MAX_WORKER_COUNT:
                new = platform.StandinWorker(
                    f'w{len(workers)}', store, cell_case.POOL, _WORKER_CPU
                )
                workers.append(new)
                await self.stack.enter_async_context(new)
            elif kind < 0.6:
                worker.state = 'draining'
                await asyncio.sleep(chance.uniform(0.1, 0.6))
                worker.state = 'ready'
            elif kind < 0.8:
                fault = chance.choice(
                    ('lost', 'late', 'silent', 'reset', '503')
                )
                share = chance.uniform(0.1, 0.9)
                worker.server.fault = lambda request, f=fault, s=share: (
                    f if chance.random() < s else ''
                )
                await asyncio.sleep(chance.uniform(0.1, 0.5))
                worker.server.fault = lambda request: ''
            elif kind < 0.9:
                # Widens the time between a change and its record.
                store.server.delay_s = chance.uniform(0.02, 0.2)
                await asyncio.sleep(chance.uniform(0.2, 0.8))
                store.server.delay_s = 0.0
            else:
                fault = chance.choice(('lost', '503', 'reset'))
                store.server.fault = lambda request, f=fault: (
                    f if chance.random() < 0.3 else ''
                )
                await asyncio.sleep(chance.uniform(0.1, 0.4))
                store.server.fault = lambda request: ''

    async def wait_for_ends(self, cell):
        """Wait until all accepted jobs have ended."""
        deadline_s = time.monotonic() + _END_TIMEOUT_S
        pending = {}
        while time.monotonic() < deadline_s:
            pending = {}
            for job_id in sorted(cell.accepted):
                reply = await cell.ask(
                    messages.Find(job_id, cell_case.WORKSPACE)
                )
                state = getattr(reply, 'state', None)
                if state not in _FINAL:
                    pending[job_id] = reply
                elif (
                    state is not job_state.JobState.COMPLETED
                    and job_id not in cell.cancelled
                ):
                    self.fail(f'{job_id} is {state}')
            if not pending:
                return
            await asyncio.sleep(0.1)
        self.fail(f'jobs have not ended: {pending}\n{cell.describe()}')

    def check_runs(self, cell, workers):
        """Check all starts and ends that the workers noted."""
        rows = sorted(
            (time_s, order, what, name, run, worker.worker_id)
            for worker in workers
            for order, (time_s, what, name, run) in enumerate(worker.history)
        )
        running = collections.Counter()
        used = collections.Counter()
        done = set()
        completed = collections.Counter()
        for row in rows:
            _, _, what, name, _, worker_id = row
            job_id, _, step, _ = name.split('.')
            trail = [each for each in rows if each[3] == name]
            if what == 'forgotten':
                # No leader can know of this end.
                done.discard(name)
                continue
            cpu = self.steps[job_id][int(step)].need.cpu_millicores
            if what != 'start':
                running[name] -= 1
                used[worker_id] -= cpu
                if what == 'done':
                    done.add(name)
                    completed[name] += 1
                continue
            self.assertIn(job_id, cell.accepted, f'{name} was refused')
            if name in done:
                self.fail(f'{name} ran again: {trail}')
            running[name] += 1
            self.assertEqual(1, running[name], f'{name} runs twice: {trail}')
            used[worker_id] += cpu
            self.assertLessEqual(
                used[worker_id], _WORKER_CPU, f'{worker_id} is too full'
            )
        for name, count in running.items():
            self.assertEqual(0, count, f'{name} still runs')
