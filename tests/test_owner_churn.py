"""Test jobs while the owner of their partition changes all the time."""

import asyncio
import os
import random

from basilspindle import coordinator
from basilspindle import errors
from basilspindle import journal
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import policy
from tests import coordinator_case

_SEEDS = int(os.environ.get('BASILSPINDLE_CHURN_SEEDS', '4'))
_FIRST_SEED = int(os.environ.get('BASILSPINDLE_CHURN_FIRST_SEED', '0'))
_OWNERS = 25
_LIFE_MS = (5, 400)
_LAST = 'last'
# The last owner ends all jobs within this time.
_LAST_LIFE_MS = 60_000
_JOBS = 9


class _Log:
    """Hold the stream of a partition, which outlasts its owners."""

    def __init__(self, rng):
        self.rng = rng
        self.state = journal.PartitionState()
        self.offset = 0
        self.faulty = True

    def apply(self, writer, epoch, records):
        self.offset += 1
        counter = self.state.writers.get(writer, 0) + 1
        batch = journal.Batch(writer, counter, epoch, 0, list(records))
        self.state.apply(self.offset, journal.decode(journal.encode(batch)))
        return self.offset

    def claim(self, name):
        return self.apply(name, 0, [journal.Claim(name, name)])


class _Journal:
    """Append as one owner; answers and requests are lost at random."""

    def __init__(self, log, clock, name):
        self.log = log
        self.clock = clock
        self.name = name
        self.epoch = log.claim(name)

    @property
    def state(self):
        return self.log.state

    async def append(self, *records, timeout_ms=0):
        fault = self.log.rng.random() if self.log.faulty else 1.0
        if fault < 0.1:
            raise errors.LogUnavailable('not sent')
        await self.clock.sleep_ms(self.log.rng.randint(1, 40))
        if self.log.state.epoch != self.epoch:
            raise errors.Deposed('a later claim')
        self.log.apply(self.name, self.epoch, records)
        await self.clock.sleep_ms(self.log.rng.randint(1, 40))
        if fault < 0.2:
            raise errors.LogOutcomeUnknown('no answer')


class _Holders(coordinator_case.HoldersStandIn):
    """Run tasks, and keep their ends until an owner has confirmed them."""

    def __init__(self, clock, rng, breaches):
        super().__init__(8)
        self.clock = clock
        self.rng = rng
        self.breaches = breaches
        self.epoch = 0
        self.faulty = True
        self.ends = {}
        self.starts = {}
        self.confirmed = set()
        self.runs = set()

    def check_fence(self, epoch):
        if epoch < self.epoch:
            raise errors.Fenced('a later owner')

    async def lose_answer(self):
        await self.clock.sleep_ms(self.rng.randint(1, 20))
        if self.faulty and self.rng.random() < 0.2:
            raise errors.PeerOutcomeUnknown('no answer')

    async def place(self, holder_id, request):
        for order in request.orders:
            self.check_fence(order.partition_epoch)
        known = set(self.running)
        reply = await super().place(holder_id, request)
        if not request.hold:
            self.run(set(self.running) - known)
        await self.lose_answer()
        return reply

    def _put(self, order, tasks):
        key = order.task_id, order.attempt
        if key in self.starts and key not in self.running:
            return self.placement(key)
        return super()._put(order, tasks)

    def placement(self, key):
        return messages.Placement(
            task_id=key[0], attempt=key[1], worker_id='worker-1'
        )

    async def commit(self, holder_id, request):
        self.check_fence(request.partition_epoch)
        placements = []
        for key in request.tasks:
            if key in self.held:
                self.running[key] = self.held.pop(key)
                self.run({key})
            if key in self.starts:
                placements.append(self.placement(key))
            else:
                placements.append(
                    messages.Placement(
                        task_id=key[0], attempt=key[1], reason='hold_gone'
                    )
                )
        await self.lose_answer()
        return messages.Committed(placements=placements)

    def run(self, keys):
        for key in sorted(keys):
            order = self.running[key]
            names = [name for name, _ in self.running]
            if names.count(key[0]) > 1:
                self.breaches.append(f'{key[0]} runs twice at once')
            earlier = [k for k in self.starts if k[0] == key[0]]
            if earlier and not order.idempotent:
                self.breaches.append(f'{key[0]} is started again')
            if key[0] in self.confirmed:
                self.breaches.append(f'{key[0]} runs after its success')
            self.starts[key] = order
            task = asyncio.ensure_future(self.end_later(key))
            self.runs.add(task)
            task.add_done_callback(self.runs.discard)

    async def end_later(self, key):
        await self.clock.sleep_ms(self.rng.randint(20, 900))
        order = self.running.pop(key)
        fails = order.idempotent and self.rng.random() < 0.1
        self.ends[key] = model.TaskEnd(
            task_id=key[0],
            attempt=key[1],
            workspace=order.workspace,
            partition=0,
            worker_id='worker-1',
            state=model.State.FAILED if fails else model.State.SUCCEEDED,
            result=b'' if fails else b'1',
        )

    def inventory(self):
        running = [
            model.RunningTask(
                task_id=key[0],
                attempt=key[1],
                job_id=order.job_id,
                index=order.index,
                workspace=order.workspace,
                kind=order.kind,
                partition=0,
                worker_id='worker-1',
                failure_domain='fd1',
                rack='r1',
                resources=order.resources,
                holder_id=coordinator_case.HOLDER,
            )
            for key, order in self.running.items()
        ]
        return running, list(self.ends.values())


class ChurnTest(coordinator_case.CoordinatorCase):
    """Guard jobs against owners that live for 5 to 400 ms."""

    async def asyncSetUp(self):
        # Each seed sets up its own owners.
        return

    async def play(self, seed):
        rng = random.Random(seed)
        self.clock = coordinator_case.manual_clock.ManualClock()
        self.breaches = []
        self.log = _Log(rng)
        self.holders = _Holders(self.clock, rng, self.breaches)
        durables = (True, True, False)
        jobs = [
            self.job(
                f'j{number}',
                tasks=rng.randint(1, 4),
                durable=durables[number % 3],
                idempotent=number % 3 != 1,
                max_attempts=50,
            )
            for number in range(_JOBS)
        ]
        self.jobs = {job.job_id: job for job in jobs}
        self.open_jobs = dict(self.jobs)
        self.accepted = set()
        for number in range(_OWNERS):
            await self.live(f'o{number}', rng, rng.randint(*_LIFE_MS))
        self.log.faulty = self.holders.faulty = False
        await self.live(_LAST, rng, 500)
        self.assertEqual([], self.breaches)
        self.assertEqual({}, self.open_jobs)
        for task_id in self.holders.confirmed:
            job_id, _, index = task_id.partition('/')
            result = self.log.state.jobs[job_id].ended.get(int(index))
            self.assertIsNotNone(result, task_id)
            self.assertEqual(model.State.SUCCEEDED, result.state, task_id)

    async def live(self, name, rng, life_ms):
        journal_ = _Journal(self.log, self.clock, name)
        self.holders.epoch = journal_.epoch
        self.holders.held.clear()
        owner = coordinator.Coordinator(
            self.clock,
            self.holders,
            coordinator.Timing(),
            lambda *_: self.log.state.epoch == journal_.epoch,
            lambda _: True,
        )
        owner.set_workspaces({'red': policy.WorkspacePolicy()})
        async with owner:
            running, ends = self.holders.inventory()
            covered = rng.random() < 0.5
            if not covered:
                running = [task for task in running if rng.random() < 0.5]
                ends = [end for end in ends if rng.random() < 0.5]
            now_ms = self.clock.now_ms()
            owner.activate(
                0, journal_, running, ends, now_ms if covered else 1 << 62
            )
            tasks = [
                asyncio.ensure_future(self.report(owner, rng)),
                asyncio.ensure_future(self.submit_all(owner)),
            ]
            if not covered:
                wait_ms = rng.randint(1, 150)
                tasks.append(
                    asyncio.ensure_future(self.complete(owner, wait_ms))
                )
            await self.clock.advance_ms(life_ms)
            while name == _LAST and self.open_jobs:
                self.assertLess(self.clock.now_ms() - now_ms, _LAST_LIFE_MS)
                await self.clock.advance_ms(life_ms)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def complete(self, owner, wait_ms):
        await self.clock.sleep_ms(wait_ms)
        owner.apply_full_inventory(0, *self.holders.inventory())

    async def report(self, owner, rng):
        while True:
            await self.clock.sleep_ms(rng.randint(1, 60))
            ends = list(self.holders.ends.values())
            running, _ = self.holders.inventory()
            request = messages.Report(
                holder_id=coordinator_case.HOLDER,
                partition=0,
                ends=ends,
                found=running,
            )
            try:
                await owner.report(request)
                await self.holders.lose_answer()
            except errors.BasilspindleError:
                continue
            for end in ends:
                self.holders.ends.pop((end.task_id, end.attempt), None)
                job = self.jobs[end.task_id.partition('/')[0]]
                if job.durable and end.state is model.State.SUCCEEDED:
                    self.holders.confirmed.add(end.task_id)

    async def submit_all(self, owner):
        while self.open_jobs:
            for job in list(self.open_jobs.values()):
                try:
                    await self.follow(owner, job)
                except errors.BasilspindleError:
                    continue
            await self.clock.sleep_ms(20)

    async def follow(self, owner, job):
        if job.job_id not in self.accepted or not job.durable:
            await owner.submit(messages.Submit(partition=0, job=job))
            self.accepted.add(job.job_id)
        viewed = await owner.view(
            messages.View(
                partition=0, workspace=job.workspace, job_id=job.job_id
            )
        )
        if viewed.view.state.final:
            if job.durable and job.idempotent:
                self.assertEqual(model.State.SUCCEEDED, viewed.view.state)
            self.open_jobs.pop(job.job_id, None)

    async def test_owners_of_short_lives(self):
        """Guard against lost jobs, second runs and unrecorded ends."""
        for seed in range(_FIRST_SEED, _FIRST_SEED + _SEEDS):
            with self.subTest(seed=seed):
                await self.play(seed)
