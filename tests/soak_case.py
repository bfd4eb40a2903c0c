"""Inject random faults into processes while callers submit jobs.

The same seed gives the same schedule of faults. Which faults overlap depends
on the timing of the machine.
"""

import asyncio
import collections
import functools
import json
import os
import pathlib
import random
import shutil
import signal
import time

import httpx

from tests import odd_values
from tests import platform_case
from tests import soak_cancellations
from tests import soak_refusals
from tests.standins import platform
from tests.standins.platform import server as server_module

# Folder to which the logs of a seed that failed are copied.
_LOGS_VARIABLE = 'BASILSPINDLE_SOAK_LOGS'
_FAULT_PHASE_S = 8.0
_COMPLETION_TIMEOUT_S = 40.0
_SUBMIT_PAUSE_S = 0.12
_LONG_RUN_MS = 7_000
_LONG_PAUSE_S = (0.5, 1.5)
_LONG_CLIENT = 0x77
_REQUEST_TIMEOUT_S = 4.0
# A confirmed change of the configuration is in force within this time.
_IN_FORCE_LIMIT_S = 3.0
_STORE_FAULTS = ('silent', 'reset', 'lost', 'late', '503', '429')
_WORKER_FAULTS = ('silent', 'reset', 'lost', 'late', '503')
# Beside these, workers refuse connections, lose power and return under their
# ids, and one of them is lost for good.
_WORKER_MACHINE_FAULTS = ('refuse', 'refuse', 'power', 'power', 'gone')
_MAX_CUT_S = 7.0
_MAX_POWER_LOSS_S = 1.5
# An odd entry stays for this long before it is replaced, and again before it
# is removed.
_ODD_ENTRY_STAY_S = (0.5, 3.0)
_MAX_DEAD_ENTRIES = 1_500
_MAX_JOINED_WORKERS = 6
# Faults of leaders that follow each other, and the pauses between them.
_LEADER_FAULTS = ('kill', 'pause', 'stop', 'cut', 'reset', '503')
_LEADER_SERIES = (2, 3, 4, 5)
_LEADER_PAUSE_S = (0.05, 0.8)
# Cuts that follow each other or overlap, and the pauses between them.
_CUT_SERIES = (1, 1, 2, 3)
_CUT_PAUSE_S = (0.1, 2.5)
# Shorter than the lease of a worker, and longer than it but shorter than a
# leader goes on without the store.
_CUT_STAY_S = ((1.0, 5.0), (5.5, 9.0))
# What the machines on one side are cut off from; 'answers' has workers that
# only the daemons on their side reach.
_CUT_PARTS = ('all', 'all', 'all', 'store', 'daemons', 'workers', 'answers')
# In part of the seeds, few faults beside the cuts leave time for leases to
# run out while a cut holds.
_FEW_FAULT_COUNT = 3
_LONG_FAULT_PHASE_S = 20.0
_LIFE_S = 60.0
# Without further faults, one leader leads for this long while odd entries are
# in the registry, and completes a short job within the limit.
_STEADY_PHASE_S = 3.0
_STEADY_JOB_LIMIT_S = 5.0
# A leader reads the registry in this time.
_FOREIGN_ENTRY_STAY_S = 1.0
_MAX_STEADY_PHASES = 3
# Below the age of an append at which daemons replace a leader.
_STORE_PAUSE_S = 0.4
_STEADY_DEAD_ENTRIES = 3_000
_ENTRIES_AT_ONCE = 20
_REGISTRY = 'keyed.servers'
_RECURRENCE = {'max_runs': 3, 'interval_ms': 700}


class SoakCase(platform_case.PlatformCase):
    """Test case in which daemons, the store and workers fail at random."""

    daemon_count = 4
    worker_count = 4
    # Source tree of the daemons, if not this one.
    root: pathlib.Path | None = None
    # Whether the first workers are past the seconds in which a life allows
    # for a longer lease.
    ages_workers = True

    async def store_address(self, node: str) -> str:
        """Return the address at which one daemon reaches the store."""
        self.doors: dict[str, server_module.Server] = getattr(
            self, 'doors', {}
        )
        if self.store.network is None:
            self.store.network = await self.enterAsyncContext(
                platform.Network()
            )
            self.network = self.store.network
        door = self.doors[node] = await self.store.open_door(node)
        self.network.add(platform.STORE, door.address)
        return await self.network.path(node, door.address)

    def choose_builds(self) -> None:
        """Add the daemons and workers to the network."""
        for daemon in self.daemons:
            self.network.add(daemon.node, daemon.link_address)
            daemon.root = self.root or daemon.root
        for worker in self.workers:
            self.network.add(worker.worker_id, worker.server.address)
            if self.ages_workers:
                worker.age(_LIFE_S)

    async def soak(self, seed: int) -> None:
        """Run the schedule of one seed and check the invariants."""
        # The stand-ins run in this loop, and the store has to be fast.
        asyncio.get_running_loop().set_debug(False)
        self.random = random.Random(seed)
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.failed_workers: set[platform.StandinWorker] = set()
        self.gone_workers: set[platform.StandinWorker] = set()
        self.down: set[platform_case.Daemon] = set()
        self.version = 1
        self.route_count = 0
        self.joined_workers = 0
        self.steady_jobs = 0
        self.dead = self.enterContext(platform.DeadAddresses())
        faults = [
            self._fail_daemons,
            self._fail_store,
            self._fail_workers,
            self._change_configuration,
            self._fail_worker_machines,
            self._leave_odd_entries,
            self._leave_odd_entries,
            self._write_under_worker_ids,
            self._leave_dead_entries,
            self._join_workers,
            self._change_leaders,
        ]
        # Drawn apart from the schedules of the other faults.
        self.cut_random = random.Random(seed * 31 + 7)
        self.lives_random = random.Random(seed * 37 + 11)
        refusals = soak_refusals.Refusals(self, seed)
        cancellations = soak_cancellations.Cancellations(self, seed)
        phase_s = _FAULT_PHASE_S
        if self.cut_random.random() < 0.5:
            faults = self.cut_random.sample(faults, _FEW_FAULT_COUNT)
            phase_s = _LONG_FAULT_PHASE_S
        end_s = time.monotonic() + phase_s
        try:
            async with asyncio.TaskGroup() as group:
                for client in range(3):
                    group.create_task(self._submit_jobs(seed, client, end_s))
                group.create_task(self._submit_long_jobs(seed, end_s))
                for work in (*faults, self._cut_machines):
                    group.create_task(work(end_s))
                if refusals.mode == soak_refusals.BESIDE:
                    group.create_task(refusals.play(end_s))
            await self._recover()
            if refusals.mode == soak_refusals.APART:
                end_s = time.monotonic() + soak_refusals.PHASE_S
                async with asyncio.TaskGroup() as group:
                    group.create_task(refusals.play(end_s))
                    group.create_task(cancellations.play(end_s))
                await self._recover()
            await self._check_configuration()
            await self._check(seed)
            await self._check_steady(seed)
            await self._check_late_starts(refusals)
            cancellations.check()
        except BaseException:
            self._keep_logs(seed)
            raise
        finally:
            ran = self._refused_that_ran()
            print(
                f'seed {seed}: {refusals.describe()};'
                f' {cancellations.describe()}; refused and run: {sorted(ran)}'
            )

    def _keep_logs(self, seed: int) -> None:
        for daemon in self.daemons:
            print(f'--- {daemon.node}, seed {seed}')
            print(daemon.log_path.read_text()[-6_000:])
        if _LOGS_VARIABLE in os.environ:
            folder = pathlib.Path(os.environ[_LOGS_VARIABLE]) / f'seed-{seed}'
            folder.mkdir(parents=True, exist_ok=True)
            for daemon in self.daemons:
                shutil.copy(daemon.log_path, folder)
            history = {
                worker.worker_id: worker.history for worker in self.workers
            }
            (folder / 'history.json').write_text(json.dumps(history))

    async def _submit_jobs(self, seed: int, client: int, end_s: float) -> None:
        # Requests reuse open connections until the process is gone.
        number = 0
        client_random = random.Random(seed * 31 + client)
        async with httpx.AsyncClient(
            limits=httpx.Limits(keepalive_expiry=None)
        ) as session:
            while time.monotonic() < end_s:
                number += 1
                job_id = f'{seed % 0xFFFF:04x}{client:04x}{number:08x}'
                body = platform_case.make_job(
                    client_random.choice((50, 300, 900)),
                    client_random.choice((1, 2, 3)),
                )
                if client_random.random() < 0.2:
                    first_ms = int(time.time() * 1000) + 200
                    body.update(_RECURRENCE, first_run_ms=first_ms)
                if client_random.random() < 0.2:
                    await self._submit_copies(
                        session, client_random, job_id, body
                    )
                else:
                    await self._submit(session, client_random, job_id, body)
                await asyncio.sleep(_SUBMIT_PAUSE_S)

    async def _submit_long_jobs(self, seed: int, end_s: float) -> None:
        # Runs that outlive the lease of a worker that is cut off.
        chance = random.Random(seed * 41 + 13)
        number = 0
        async with httpx.AsyncClient() as session:
            while time.monotonic() < end_s:
                number += 1
                job_id = f'{seed % 0xFFFF:04x}{_LONG_CLIENT:04x}{number:08x}'
                body = platform_case.make_job(
                    _LONG_RUN_MS, chance.choice((1, 2))
                )
                await self._submit(session, chance, job_id, body)
                await asyncio.sleep(chance.uniform(*_LONG_PAUSE_S))

    async def _submit_copies(
        self,
        session: httpx.AsyncClient,
        client_random: random.Random,
        job_id: str,
        body: object,
    ) -> None:
        # Copies of a submission that wait at the leader at the same time and
        # give up one after the other.
        async def send(delay_s: float, deadline_ms: int) -> None:
            await asyncio.sleep(delay_s)
            await self.send_submission(
                session,
                client_random.choice(self.daemons),
                job_id,
                body,
                deadline_ms,
            )

        await asyncio.gather(
            *(
                send(
                    client_random.uniform(0.0, 0.4),
                    client_random.randint(250, 1_500),
                )
                for _ in range(3)
            )
        )

    async def send_submission(
        self,
        session: httpx.AsyncClient,
        daemon: platform_case.Daemon,
        job_id: str,
        body: object,
        deadline_ms: int = 3_000,
        timeout_s: float = _REQUEST_TIMEOUT_S,
    ) -> int:
        """Send a submission once; return the status, 0 without an answer."""
        try:
            answer = await session.post(
                f'http://127.0.0.1:{daemon.frontend_port}/jobs/{job_id}',
                json=body,
                headers=_headers(deadline_ms),
                timeout=timeout_s,
            )
        except httpx.TransportError:
            self.unknown.add(job_id)
            return 0
        if answer.status_code == 200:
            self.accepted.add(job_id)
        elif answer.status_code in (429, 503):
            self.refused.add(job_id)
        else:
            self.unknown.add(job_id)
        return answer.status_code

    async def send_cancellation(
        self,
        session: httpx.AsyncClient,
        daemon: platform_case.Daemon,
        job_id: str,
        deadline_ms: int,
        timeout_s: float,
    ) -> int:
        """Send a cancellation once; return the status, 0 without one."""
        try:
            answer = await session.delete(
                f'http://127.0.0.1:{daemon.frontend_port}/jobs/{job_id}',
                headers=_headers(deadline_ms),
                timeout=timeout_s,
            )
        except httpx.TransportError:
            return 0
        return answer.status_code

    async def _submit(
        self,
        session: httpx.AsyncClient,
        client_random: random.Random,
        job_id: str,
        body: object,
    ) -> None:
        for _ in range(3):
            daemon = client_random.choice(self.daemons)
            status = await self.send_submission(session, daemon, job_id, body)
            if status == 200:
                return
            await asyncio.sleep(0.2)

    async def _fail_daemons(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            for daemon in self.random.sample(
                self.daemons, self.random.choice((1, 1, 2, 4))
            ):
                await self.fail_daemon(
                    daemon,
                    self.random.choice(('kill', 'pause', 'stop')),
                    self.random.uniform(0.1, 3.0),
                )

    async def fail_daemon(
        self, daemon: platform_case.Daemon, fault: str, duration_s: float
    ) -> None:
        """Kill, pause or stop a daemon that is up, for some time."""
        if daemon in self.down:
            return
        self.down.add(daemon)
        if fault == 'kill':
            await daemon.kill()
        elif fault == 'stop':
            daemon.send(signal.SIGTERM)
        else:
            daemon.send(signal.SIGSTOP)
        asyncio.ensure_future(self._restore(daemon, fault, duration_s))

    async def _restore(
        self, daemon: platform_case.Daemon, fault: str, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        if fault == 'pause':
            daemon.send(signal.SIGCONT)
        else:
            assert daemon.process is not None
            await daemon.process.wait()
            await daemon.start()
        self.down.discard(daemon)

    async def _fail_store(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            fault = self.random.choice(_STORE_FAULTS)
            fraction = self.random.choice((0.2, 1.0))
            fault_random = random.Random(self.random.random())
            doors = list(self.doors.values())
            if self.random.random() < 0.4:
                # The store turns one daemon away and serves the others.
                doors = [self.random.choice(doors)]
            for door in doors:
                door.fault = lambda request, fault=fault, fraction=fraction: (
                    fault if fault_random.random() < fraction else ''
                )
            await asyncio.sleep(self.random.uniform(0.2, 2.0))
            for door in doors:
                door.fault = lambda request: ''
            if self.random.random() < 0.3:
                self.store.drop_history()

    async def _fail_workers(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            worker = self.random.choice(self.workers)
            fault = self.random.choice(_WORKER_FAULTS)
            fault_random = random.Random(self.random.random())
            duration_s = self.random.uniform(0.2, 1.5)
            if worker not in self.failed_workers:
                worker.server.fault = lambda request, fault=fault: (
                    fault if fault_random.random() < 0.5 else ''
                )
            await asyncio.sleep(duration_s)
            if worker not in self.failed_workers:
                worker.server.fault = lambda request: ''

    async def _fail_worker_machines(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.3, 2.0))
            worker = self.random.choice(self.workers)
            fault = self.random.choice(_WORKER_MACHINE_FAULTS)
            part = self.random.random()
            if worker in self.failed_workers:
                continue
            self.failed_workers.add(worker)
            if fault == 'refuse':
                worker.server.refuse()
                asyncio.ensure_future(
                    self._rejoin(worker, 0.1 + part * _MAX_CUT_S)
                )
                continue
            worker.lose_power()
            if fault == 'gone' and not self.gone_workers:
                self.gone_workers.add(worker)
                continue
            asyncio.ensure_future(
                self._start_again(worker, 0.1 + part * _MAX_POWER_LOSS_S)
            )

    async def _rejoin(
        self, worker: platform.StandinWorker, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        await worker.server.listen()
        self.failed_workers.discard(worker)

    async def _start_again(
        self, worker: platform.StandinWorker, after_s: float
    ) -> None:
        await asyncio.sleep(after_s)
        worker.start_again()
        chance = self.lives_random
        if chance.random() < 0.3:
            # A second life that may end before anybody has heard of it.
            await asyncio.sleep(chance.uniform(0.05, 1.0))
            worker.lose_power()
            await asyncio.sleep(chance.uniform(0.05, 1.0))
            worker.start_again()
        self.failed_workers.discard(worker)
        if chance.random() < 0.6:
            await asyncio.sleep(chance.uniform(0.1, 2.5))
            cut = self.network.cut(
                [worker.worker_id], [daemon.node for daemon in self.daemons]
            )
            await self._end_cut(cut, chance.uniform(1.0, 9.0))

    def _odd_entry(self) -> bytes:
        sample = json.loads(self.workers[0].entry())
        kind = self.random.choice(('nested', 'whole', 'field'))
        if kind == 'nested':
            return odd_values.nested(sample)
        if kind == 'whole':
            return self.random.choice(odd_values.VALUES).encode()
        return self.random.choice(self._odd_fields)

    @functools.cached_property
    def _odd_fields(self) -> list[bytes]:
        return list(odd_values.messages(json.loads(self.workers[0].entry())))

    async def _leave_odd_entries(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            number = self.random.randrange(10**6)
            key = self.random.choice((f'odd-{number}', f'odd-\ufffd{number}'))
            for value in (self._odd_entry(), self._odd_entry(), b''):
                self.store.put(_REGISTRY, key, value)
                await asyncio.sleep(self.random.uniform(*_ODD_ENTRY_STAY_S))

    def _foreign_entry(self, worker: platform.StandinWorker) -> bytes:
        """Return an entry under a worker's id that must change nothing."""
        entry = json.loads(worker.entry())
        field = self.random.choice(
            ('service', 'address', 'zone', 'state', 'capacity')
        )
        kind = self.random.choice(('missing', 'type', 'unnamed', 'nested'))
        if kind == 'missing':
            del entry[field]
        elif kind == 'type':
            entry[field] = self.random.choice((7, None, [], [[]], True))
        elif kind == 'unnamed':
            entry[self.random.choice(('service', 'state'))] = 'unnamed'
            entry['address'] = self.dead.silent(0)
        else:
            entry['address'] = [self.dead.silent(0)]
            return odd_values.nested(entry)
        return json.dumps(entry).encode()

    async def _write_under_worker_ids(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            worker = self.random.choice(self.workers)
            for _ in range(self.random.randint(1, 20)):
                entry = self._foreign_entry(worker)
                self.store.put(_REGISTRY, worker.worker_id, entry)
                await asyncio.sleep(0.05)
            await asyncio.sleep(self.random.uniform(0.1, 1.0))

    async def _put_dead_entries(self, count: int) -> list[str]:
        entry = json.loads(self.workers[0].entry())
        keys = [f'dead-{number}' for number in range(count)]
        for number, key in enumerate(keys):
            entry['address'] = (
                self.dead.silent(number)
                if number % 2
                else self.dead.refusing(number)
            )
            value = json.dumps(entry).encode()
            self.store.put(_REGISTRY, key, value)
            await self._let_store_answer(number)
        return keys

    async def _let_store_answer(self, number: int) -> None:
        # The store is in this process, and daemons replace a leader whose
        # appends it does not answer.
        if number % _ENTRIES_AT_ONCE == 0:
            await asyncio.sleep(0)

    async def _leave_dead_entries(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            count = self.random.randint(1, _MAX_DEAD_ENTRIES)
            keys = await self._put_dead_entries(count)
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            for number, key in enumerate(keys):
                self.store.put(_REGISTRY, key, b'')
                await self._let_store_answer(number)

    async def _join_workers(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            count = self.random.choice((1, 2))
            for _ in range(count):
                await self._join_worker()

    async def _join_worker(self) -> None:
        if self.joined_workers == _MAX_JOINED_WORKERS:
            return
        self.joined_workers += 1
        worker = platform.StandinWorker(
            f'joined-{self.joined_workers}', self.store
        )
        await self.enterAsyncContext(worker)
        self.network.add(worker.worker_id, worker.server.address)
        self.workers.append(worker)

    def _newest_leader(self) -> platform_case.Daemon:
        """Return the daemon that began to lead last."""

        def lead_time(daemon: platform_case.Daemon) -> str:
            text = daemon.log_path.read_text()
            start = text.rfind('\n', 0, text.rfind('"name":"leader_ready"'))
            line = text[start + 1 :].partition('\n')[0]
            is_lead = '"name":"leader_ready"' in line
            return str(json.loads(line)['time']) if is_lead else ''

        return max(self.daemons, key=lead_time)

    async def _change_leaders(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
            for _ in range(self.random.choice(_LEADER_SERIES)):
                fault = self.random.choice(_LEADER_FAULTS)
                duration_s = self.random.uniform(0.1, 2.5)
                pause_s = self.random.uniform(*_LEADER_PAUSE_S)
                joins = self.random.random() < 0.3
                leader = self._newest_leader()
                if fault in ('kill', 'pause', 'stop'):
                    await self.fail_daemon(leader, fault, duration_s)
                else:
                    self._cut_from_store(leader, fault, duration_s)
                if joins:
                    await self._join_worker()
                await asyncio.sleep(pause_s)

    def _cut_from_store(
        self, daemon: platform_case.Daemon, fault: str, duration_s: float
    ) -> None:
        door = self.doors[daemon.node]
        kind = 'silent' if fault == 'cut' else fault
        door.fault = lambda request: kind
        asyncio.get_running_loop().call_later(
            duration_s, setattr, door, 'fault', lambda request: ''
        )

    async def _cut_machines(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.cut_random.uniform(0.2, 2.0))
            for _ in range(self.cut_random.choice(_CUT_SERIES)):
                await self._cut_some()
                await asyncio.sleep(self.cut_random.uniform(*_CUT_PAUSE_S))

    async def _cut_some(self) -> None:
        """Cut some daemons and workers off from the others for some time."""
        chance = self.cut_random
        part = chance.choice(_CUT_PARTS)
        resets = chance.random() < 0.4
        duration_s = chance.uniform(*chance.choice(_CUT_STAY_S))
        chosen = chance.sample(self.daemons, chance.choice((1, 1, 2)))
        leader = self._newest_leader()
        if chance.random() < 0.7:
            chosen[0] = leader
        workers = chance.sample(self.workers, chance.choice((1, 2)))
        pauses = chance.random() < 0.2
        pause_s = chance.uniform(0.2, duration_s)

        daemons = {daemon.node for daemon in chosen}
        cut_off = {worker.worker_id for worker in workers}
        other_daemons = {daemon.node for daemon in self.daemons} - daemons
        other_workers = {worker.worker_id for worker in self.workers} - cut_off
        all_others = {platform.STORE, *other_daemons, *other_workers}
        groups = {
            'all': (daemons | cut_off, all_others),
            'store': (daemons | cut_off, {platform.STORE}),
            'daemons': (daemons, other_daemons),
            'workers': (daemons, other_workers),
            'answers': (cut_off, other_daemons),
        }
        cut = self.network.cut(*groups[part], resets)
        asyncio.ensure_future(self._end_cut(cut, duration_s))
        if pauses:
            await self.fail_daemon(leader, 'pause', pause_s)

    async def _end_cut(self, cut: platform.Cut, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self.network.heal(cut)

    async def _change_configuration(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            self._publish(self.random.choice((0, 0, 300, 1_500)))

    def _publish(self, added_routes: int) -> None:
        self.version += 1
        self.route_count += added_routes
        routes = [f'more-{number}' for number in range(self.route_count)]
        config = platform.make_configuration(
            self.version,
            keys=('key-a', f'key-{self.version}'),
            routes=('jobs', *routes),
        )
        self.store.put('keyed.op', 'config', config)

    async def _recover(self) -> None:
        for door in self.doors.values():
            door.fault = lambda request: ''
        for worker in self.workers:
            if worker not in self.failed_workers:
                worker.server.fault = lambda request: ''
        await self.network.heal()
        while self.down or self.failed_workers - self.gone_workers:
            await asyncio.sleep(0.1)
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def _check_configuration(self) -> None:
        for _ in range(3):
            self._publish(10)
            deadline_s = time.monotonic() + _IN_FORCE_LIMIT_S
            outdated = set(self.daemons)
            while outdated and time.monotonic() < deadline_s:
                for daemon in list(outdated):
                    answers = [
                        await self.call('GET', daemon, key=f'key-{version}')
                        for version in (self.version, self.version - 1)
                    ]
                    statuses = [answer.status_code for answer in answers]
                    if statuses == [200, 401]:
                        outdated.discard(daemon)
                await asyncio.sleep(0.05)
            self.assertEqual(
                [],
                [daemon.node for daemon in outdated],
                f'version {self.version} is not in force',
            )
        for daemon in self.daemons:
            self._check_versions_rise(daemon)

    async def _check_steady(self, seed: int) -> None:
        for _ in range(_MAX_STEADY_PHASES):
            pause_s = await self._play_steady_phase(seed)
            if pause_s < _STORE_PAUSE_S:
                return
            # Daemons replace a leader whose append is not answered for that
            # long, and the store is in this process.
            print(f'seed {seed}: the store paused for {pause_s:.2f} s')
        self.fail(f'seed {seed}: the store pauses in each steady phase')

    async def _watch_pauses(self) -> None:
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(0.01)
            pause_s = time.monotonic() - before_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)

    async def _play_steady_phase(self, seed: int) -> float:
        """Check what one leader does; returns the longest pause in s.

        Leaders are checked only if the store did not pause.
        """
        self.longest_pause_s = 0.0
        watch = asyncio.ensure_future(self._watch_pauses())
        try:
            return await self._check_steady_leader(seed)
        finally:
            watch.cancel()

    async def _check_steady_leader(self, seed: int) -> float:
        # What the registry holds costs neither the leadership nor the
        # workers that are sound.
        sizes = [daemon.log_path.stat().st_size for daemon in self.daemons]
        for worker in self.workers:
            self.store.put(_REGISTRY, worker.worker_id, worker.entry())
        await self._put_dead_entries(_STEADY_DEAD_ENTRIES)
        nested = odd_values.nested(json.loads(self.workers[0].entry()))
        odd_entries = {
            'left-nested': nested,
            'left-\ufffdnested': nested,
            **{
                f'left-{number}': text.encode()
                for number, text in enumerate(odd_values.VALUES)
            },
            **{
                f'left-field-{number}': value
                for number, value in enumerate(
                    self.random.sample(self._odd_fields, 50)
                )
            },
        }
        for key, value in odd_entries.items():
            self.store.put(_REGISTRY, key, value)
        end_s = time.monotonic() + _STEADY_PHASE_S
        while time.monotonic() < end_s:
            worker = self.random.choice(self.workers)
            entry = self._foreign_entry(worker)
            self.store.put(_REGISTRY, worker.worker_id, entry)
            await asyncio.sleep(0.05)
        for worker in self.workers:
            worker.stop_publishing()
            foreign = json.loads(worker.entry())
            foreign.update(service='unnamed', address=self.dead.silent(0))
            value = json.dumps(foreign).encode()
            self.store.put(_REGISTRY, worker.worker_id, value)
        await asyncio.sleep(_FOREIGN_ENTRY_STAY_S)
        if self.longest_pause_s >= _STORE_PAUSE_S:
            return self.longest_pause_s
        self._check_leaders_stay(seed, sizes)
        self.steady_jobs += 1
        job_id = f'{seed % 0xFFFF:04x}ffff{self.steady_jobs:08x}'
        body = platform_case.make_job(200, 4, 2)
        self.assertEqual(200, await self.call_any('POST', job_id, body))
        try:
            async with asyncio.timeout(_STEADY_JOB_LIMIT_S):
                await self.wait_state(job_id, 'completed')
        except TimeoutError:
            if self.longest_pause_s < _STORE_PAUSE_S:
                raise
        if self.longest_pause_s < _STORE_PAUSE_S:
            self._check_leaders_stay(seed, sizes)
        self.check_runs()
        return self.longest_pause_s

    def _check_leaders_stay(self, seed: int, log_sizes: list[int]) -> None:
        for daemon, size in zip(self.daemons, log_sizes, strict=True):
            lines = daemon.log_path.read_bytes()[size:]
            self.assertNotIn(
                b'"name":"leader_lost"', lines, f'{daemon.node}, seed {seed}'
            )

    def _check_versions_rise(self, daemon: platform_case.Daemon) -> None:
        version = 0
        for text in daemon.log_path.read_text().splitlines():
            line = json.loads(text) if text.startswith('{') else {}
            if line.get('name') == 'node_started':
                version = 0
            elif line.get('name') == 'configuration_in_force':
                self.assertGreater(line['version'], version, daemon.node)
                version = line['version']

    async def _check(self, seed: int) -> None:
        incomplete = set(self.accepted)
        deadline_s = time.monotonic() + _COMPLETION_TIMEOUT_S
        while incomplete and time.monotonic() < deadline_s:
            for job_id in list(incomplete):
                daemon = self.random.choice(self.daemons)
                answer = await self.call('GET', daemon, job_id)
                self.assertNotEqual(410, answer.status_code, job_id)
                if answer.status_code == 200:
                    state = answer.json()['state']
                    self.assertNotIn(state, ('failed', 'cancelled'), job_id)
                    if state == 'completed':
                        incomplete.discard(job_id)
            await asyncio.sleep(0.1)
        self.assertEqual(set(), incomplete, f'seed {seed}: jobs not completed')
        self.check_runs()
        self._check_refusals()
        self._check_capacity()

    def _check_refusals(self) -> None:
        self.assertEqual(set(), self._refused_that_ran(), 'refused jobs ran')

    def _refused_that_ran(self) -> set[str]:
        ran = {
            row[2].partition('.')[0]
            for worker in self.workers
            for row in worker.history
        }
        return ran & (self.refused - self.accepted - self.unknown)

    async def _check_late_starts(
        self, refusals: soak_refusals.Refusals
    ) -> None:
        # A copy of a refused submission may still be on the way.
        end_s = refusals.ended_s + soak_refusals.LATE_START_S
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))
        self._check_refusals()

    def _check_capacity(self) -> None:
        for worker in self.workers:
            used: collections.Counter[str] = collections.Counter()
            for _, what, name, _ in sorted(worker.history):
                if what == 'forgotten':
                    continue
                used[name] += 1 if what == 'start' else -1
                self.assertLessEqual(
                    sum(used.values()) * 1_000, worker.capacity
                )


def _headers(deadline_ms: int) -> dict[str, str]:
    return {
        'Host': platform_case.HOST,
        'Authorization': 'Bearer key-a',
        'X-Deadline-Ms': str(deadline_ms),
    }
