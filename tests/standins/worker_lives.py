"""Stand in for workers that start again under their ids, on virtual time."""

import asyncio
import collections
import collections.abc
import typing

from basilspindle.cell import report as report_module
from basilspindle.cell import start_outcome
from basilspindle import errors
from tests.standins import manual_clock

_Outcome = start_outcome.StartOutcome
_EndKind = report_module.EndKind
_LATENCY_MS = 1
_TICK_MS = 5
_FOREVER_MS = 1 << 60
_UNKNOWN = errors.WorkerOutcomeUnknown('no answer; ask again')

# Fates of a call: carried out and answered, not carried out, or carried out
# without an answer. A number is the time in ms after which the life of that
# time carries it out, without an answer.
OK = 'ok'
LOST = 'lost'
ANSWER_LOST = 'answer lost'
Fate = str | int


class _Life:
    """One life of a worker: what it knows, holds and has run."""

    def __init__(self, born_wall_ms: int, clock_ms: int, now_ms: int) -> None:
        self.born_wall_ms = born_wall_ms
        self._offset_ms = clock_ms - now_ms
        self.deadline_ms = clock_ms
        self.token = 0
        # Run, start and end time by task.
        self.runs: dict[str, tuple[int, int, int]] = {}
        self.blocked: dict[str, int] = {}
        self.ended: list[report_module.RunEnd] = []
        self.last_end = 0
        self.has_lapsed = True

    def clock_ms(self, now_ms: int) -> int:
        return now_ms + self._offset_ms


class LivingWorker:
    """Worker whose lives have clocks that begin where the test says.

    ``history`` holds time, what, task, run and worker of each start and end:
    ``lost`` is a run that a crash ends, and ``forgotten`` the end of a run
    that was not acknowledged before a crash or the end of the lease.
    """

    def __init__(
        self,
        worker_id: str,
        clock: manual_clock.ManualClock,
        max_lease_ms: int,
        run_ms: collections.abc.Callable[[str], int],
    ) -> None:
        self.worker_id = worker_id
        self.address = f'{worker_id}:1'
        self.is_cut = False
        self.life: _Life | None = None
        self.history: list[tuple[int, str, str, int, str]] = []
        self.fate: collections.abc.Callable[[str], Fate] = lambda call: OK
        self.lives = 0
        self._clock = clock
        self._max_lease_ms = max_lease_ms
        self.run_ms = run_ms
        self._late_calls: set[asyncio.Task[None]] = set()

    def begin_life(self, clock_ms: int) -> None:
        """Start, or start again, with a steady clock that shows a time."""
        now_ms = self._clock.now_ms()
        self.lives += 1
        self.life = _Life(self._clock.wall_ms(), clock_ms, now_ms)

    def crash(self) -> None:
        """End the life with all that it runs, knows and holds."""
        if self.life is None:
            return
        for name, (run, _, _) in self.life.runs.items():
            self._note('lost', name, run)
        for end in self.life.ended:
            self._note('forgotten', end.name, end.run)
        self.life = None

    async def run(self) -> None:
        """End runs in time, or with the lease, until cancelled."""
        while True:
            self._end_runs()
            await self._clock.sleep_ms(_TICK_MS)

    def _note(self, what: str, name: str, run: int) -> None:
        self.history.append(
            (self._clock.now_ms(), what, name, run, self.worker_id)
        )

    def _end_runs(self) -> None:
        life, now_ms = self.life, self._clock.now_ms()
        if life is None:
            return
        lapsed = life.clock_ms(now_ms) > life.deadline_ms
        if lapsed and not life.has_lapsed:
            for end in life.ended:
                self._note('forgotten', end.name, end.run)
        life.has_lapsed = lapsed
        for name, (run, _, end_ms) in list(life.runs.items()):
            if lapsed:
                self._end(life, name, run, _EndKind.LAPSED)
            elif now_ms >= end_ms:
                self._end(life, name, run, _EndKind.DONE)

    def _end(self, life: _Life, name: str, run: int, kind: _EndKind) -> None:
        del life.runs[name]
        life.last_end += 1
        life.blocked[name] = max(life.blocked.get(name, 0), run)
        life.ended.append(
            report_module.RunEnd(life.last_end, name, run, kind, '')
        )
        self._note(kind.value, name, run)

    async def call(
        self,
        kind: str,
        token: int,
        timeout_ms: int,
        carry_out: collections.abc.Callable[[_Life], typing.Any],
        wait_ms: int = 0,
    ) -> typing.Any:
        """Carry out a call in its fate; returns what it answers."""
        fate = self.fate(kind)
        begun_ms = self._clock.now_ms()
        if isinstance(fate, int):
            late = asyncio.ensure_future(
                self._carry_out_late(token, fate, carry_out)
            )
            self._late_calls.add(late)
        elif fate != LOST and not self.is_cut and self.life is not None:
            await self._clock.sleep_ms(_LATENCY_MS)
            life = self.life
            if life is not None:
                answer = self._carry_out(life, token, carry_out)
                ends = life.last_end
                while (
                    self.life is life
                    and life.last_end == ends
                    and not life.ended
                    and self._clock.now_ms() - begun_ms < wait_ms
                ):
                    await self._clock.sleep_ms(_TICK_MS)
                await self._clock.sleep_ms(_LATENCY_MS)
                if (
                    self.life is life
                    and not self.is_cut
                    and fate != ANSWER_LOST
                ):
                    if isinstance(answer, Exception):
                        raise answer
                    return answer(life)
        spent_ms = self._clock.now_ms() - begun_ms
        await self._clock.sleep_ms(timeout_ms - spent_ms)
        raise _UNKNOWN

    async def _carry_out_late(
        self,
        token: int,
        after_ms: int,
        carry_out: collections.abc.Callable[[_Life], typing.Any],
    ) -> None:
        await self._clock.sleep_ms(after_ms)
        if self.life is not None:
            self._carry_out(self.life, token, carry_out)

    def _carry_out(
        self,
        life: _Life,
        token: int,
        carry_out: collections.abc.Callable[[_Life], typing.Any],
    ) -> typing.Any:
        self._end_runs()
        if token < life.token:
            return errors.StaleEpoch('a higher token was seen; stop leading')
        life.token = token
        return carry_out(life)

    def extend_lease(self, life: _Life, deadline_ms: int | None) -> None:
        """Take a deadline, shortened to the longest lease."""
        if deadline_ms is None:
            return
        longest_ms = life.clock_ms(self._clock.now_ms()) + self._max_lease_ms
        life.deadline_ms = max(life.deadline_ms, min(deadline_ms, longest_ms))

    def start(
        self, life: _Life, name: str, run: int, deadline_ms: int
    ) -> _Outcome:
        """Start a run, as a start order asks for."""
        now_ms = self._clock.now_ms()
        if deadline_ms <= life.clock_ms(now_ms):
            return _Outcome.DEADLINE_PASSED
        self.extend_lease(life, deadline_ms)
        active = life.runs.get(name)
        if active is not None and active[0] == run:
            return _Outcome.RUNS
        if active is not None or run <= life.blocked.get(name, 0):
            return _Outcome.RUN_TOO_LOW
        life.runs[name] = (run, now_ms, now_ms + self.run_ms(name))
        self._note('start', name, run)
        return _Outcome.RUNS

    def stop(self, life: _Life, name: str, run: int) -> None:
        """Stop a run, or prevent it, as a stop order asks for."""
        active = life.runs.get(name)
        if active is not None and active[0] <= run:
            self._end(life, name, active[0], _EndKind.STOPPED)
        life.blocked[name] = max(life.blocked.get(name, 0), run)

    def report(self, life: _Life) -> report_module.Report:
        """Return what runs and what has ended."""
        now_ms = self._clock.now_ms()
        return report_module.Report(
            life.clock_ms(now_ms),
            life.born_wall_ms,
            tuple(
                report_module.ActiveRun(
                    name,
                    run,
                    '',
                    100 * (now_ms - start_ms) // max(1, end_ms - start_ms),
                    0,
                )
                for name, (run, start_ms, end_ms) in life.runs.items()
            ),
            tuple(life.ended),
        )

    def acknowledge(self, life: _Life, number: int) -> None:
        """Forget ends up to a number."""
        life.ended = [end for end in life.ended if end.number > number]

    def clock_now_ms(self, life: _Life) -> int:
        """Return the clock of a life."""
        return life.clock_ms(self._clock.now_ms())


class LivingWorkers:
    """The calls of a leader to several such workers."""

    def __init__(self, *workers: LivingWorker) -> None:
        self._workers = {worker.address: worker for worker in workers}

    async def renew(
        self,
        address: str,
        worker_id: str,
        token: int,
        deadline_ms: int | None,
        acknowledged_end_number: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> report_module.Report:
        """Extend the lease, acknowledge run ends and return the report."""
        worker = self._workers[address]

        def carry_out(life: _Life) -> typing.Any:
            worker.acknowledge(life, acknowledged_end_number)
            worker.extend_lease(life, deadline_ms)
            return worker.report

        return await worker.call(
            'renew', token, timeout_ms, carry_out, wait_ms
        )

    async def start(
        self,
        address: str,
        worker_id: str,
        token: int,
        deadline_ms: int,
        name: str,
        run: int,
        payload: str,
        checkpoint: str,
        ticket: str,
        timeout_ms: int,
    ) -> start_outcome.StartAnswer:
        """Start a run."""
        worker = self._workers[address]

        def carry_out(life: _Life) -> typing.Any:
            outcome = worker.start(life, name, run, deadline_ms)
            clock_ms = worker.clock_now_ms(life)
            return lambda _: start_outcome.StartAnswer(outcome, clock_ms)

        return await worker.call('start', token, timeout_ms, carry_out)

    async def stop(
        self,
        address: str,
        worker_id: str,
        token: int,
        name: str,
        run: int,
        timeout_ms: int,
    ) -> None:
        """Stop a run."""
        worker = self._workers[address]

        def carry_out(life: _Life) -> typing.Any:
            worker.stop(life, name, run)
            return lambda _: None

        await worker.call('stop', token, timeout_ms, carry_out)

    async def pace(self, *values: typing.Any) -> None:
        """Throttle nothing."""


def runs_twice(workers: collections.abc.Iterable[LivingWorker]) -> list[str]:
    """Return what ran in two places at once, or again after it was done.

    An end counts unless its own worker forgets it before it is noted.
    """
    rows = sorted(row for worker in workers for row in worker.history)
    running: dict[str, int] = collections.Counter()
    done: dict[str, set[tuple[str, int]]] = collections.defaultdict(set)
    found = []
    for now_ms, what, name, run, worker_id in rows:
        if what == 'forgotten':
            done[name].discard((worker_id, run))
        elif what == 'start':
            running[name] += 1
            if running[name] > 1:
                found.append(f'{now_ms}: {name} run {run} runs twice')
            elif done[name]:
                found.append(f'{now_ms}: {name} run {run} was done')
        else:
            running[name] -= 1
            if what == 'done':
                done[name].add((worker_id, run))
    return found
