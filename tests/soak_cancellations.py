"""Cancel jobs at one daemon while another one submits them.

A cancellation can overtake the submission, reach a leader that loses its
daemons or is replaced, or be refused. Callers send each of the two once.
"""

import asyncio
import random
import time
import typing

import httpx

from tests import platform_case

if typing.TYPE_CHECKING:
    from tests import soak_case

_RATE_S = 10.0
# When the cancellation is sent, from when the submission is.
_DELAY_S = (-1.5, 1.2)
_DEADLINE_MS = (1_500, 5_000)
_CLIENT_MARGIN_S = 2.0
_TASK_MS = (250, 600, 1_500)
_TASK_COUNTS = (1, 2)
# The users' bound on starts after a cancellation was acknowledged.
_CANCEL_LIMIT_S = 3.0


class Cancellations:
    """Callers of one seed, and how their cancellations were answered."""

    __slots__ = ('_answers', '_case', '_chance', '_number', '_seed')

    def __init__(self, case: 'soak_case.SoakCase', seed: int) -> None:
        self._case = case
        self._seed = seed
        self._chance = random.Random(seed * 31 + 13)
        self._number = 0
        # Status and time of the answer by job; the status is 0 for none.
        self._answers: dict[str, tuple[int, float]] = {}

    def describe(self) -> str:
        """Return how many cancellations were answered with each status."""
        statuses = [status for status, _ in self._answers.values()]
        counts = {each: statuses.count(each) for each in sorted({*statuses})}
        return f'cancellations {counts}'

    async def play(self, end_s: float) -> None:
        """Submit and cancel jobs until the given time."""
        limits = httpx.Limits(max_connections=None, keepalive_expiry=None)
        async with (
            httpx.AsyncClient(limits=limits, timeout=None) as session,
            asyncio.TaskGroup() as group,
        ):
            due_s = time.monotonic()
            while time.monotonic() < end_s:
                group.create_task(self._submit_and_cancel(session))
                due_s += self._chance.expovariate(_RATE_S)
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _submit_and_cancel(self, session: httpx.AsyncClient) -> None:
        chance = self._chance
        self._number += 1
        job_id = f'{self._seed % 0xFFFF:04x}cccc{self._number:08x}'
        daemons = chance.sample(self._case.daemons, 2)
        delay_s = chance.uniform(*_DELAY_S)
        deadline_ms = chance.randint(*_DEADLINE_MS)
        timeout_s = deadline_ms / 1000 + _CLIENT_MARGIN_S
        body = platform_case.make_job(
            chance.choice(_TASK_MS), chance.choice(_TASK_COUNTS)
        )

        async def submit() -> int:
            await asyncio.sleep(max(0.0, -delay_s))
            return await self._case.send_submission(
                session, daemons[0], job_id, body, deadline_ms, timeout_s
            )

        async def cancel() -> None:
            await asyncio.sleep(max(0.0, delay_s))
            status = await self._case.send_cancellation(
                session, daemons[1], job_id, deadline_ms, timeout_s
            )
            self._answers[job_id] = status, time.monotonic()

        status, _ = await asyncio.gather(submit(), cancel())
        if status == 200 and self._answers[job_id][0] not in (429, 503):
            # It need not complete.
            self._case.accepted.discard(job_id)

    def check(self) -> None:
        """Check that no job ran that its caller was told would not."""
        starts_s: dict[str, float] = {}
        for worker in self._case.workers:
            for time_s, what, name, _ in worker.history:
                if what == 'start':
                    job_id = name.partition('.')[0]
                    starts_s[job_id] = max(starts_s.get(job_id, 0.0), time_s)
        late = {}
        for job_id, (status, answered_s) in self._answers.items():
            if job_id not in starts_s:
                continue
            after_s = starts_s[job_id] - answered_s
            # 410 says that no such job exists, so its submission comes last.
            if status == 410 or (status == 200 and after_s > _CANCEL_LIMIT_S):
                late[job_id] = status, round(after_s, 3)
        self._case.assertEqual({}, late, 'cancelled jobs ran')
