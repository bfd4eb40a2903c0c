"""Test what callers get from the HTTP interface."""

import asyncio
import json

from basilspindle import errors
from basilspindle import model
from basilspindle.peer import messages
from basilspindle import settings
from tests import api_case

_NOT_DURABLE = {'kind': 'query', 'input': 1}
_DURABLE = {'kind': 'pay', 'input': 1}
_OPEN = {'kind': 'query', 'queue': 'public'}
# Longer than the longest time that a request may wait.
_AFTER_TIMEOUT_MS = 20_000


class SubmitTest(api_case.ApiCase):
    """Guard against a job other than the one that the caller submitted."""

    async def submit(
        self, body=_NOT_DURABLE, key='red-1', idempotency_key='k'
    ):
        answer = await self.send(
            'POST', '/v1/jobs', body, key, idempotency_key=idempotency_key
        )
        self.assertEqual(201, answer.status_code, answer.text)
        return answer.json()

    async def test_job_fields_come_from_the_kind(self):
        """Guard against jobs with weaker guarantees than their kind."""
        cases = (
            ({'kind': 'query'}, '/v1/requests', (True, False, 3)),
            ({'kind': 'query'}, '/v1/jobs', (True, True, 3)),
            (
                {'kind': 'query', 'idempotent': False},
                '/v1/requests',
                (False, True, 1),
            ),
            ({'kind': 'pay'}, '/v1/requests', (False, True, 1)),
        )
        for body, path, expected in cases:
            await self.send('POST', path, body)
            job = self.router.requests_of(messages.Submit)[-1].job
            found = (job.idempotent, job.durable, job.max_attempts)
            self.assertEqual(expected, found, body)
            self.assertEqual(model.Resources(100, 64, 0, 1), job.resources)

    async def test_idempotency_key_names_one_job_of_one_workspace(self):
        """Guard against an idempotency key that finds another caller's job."""
        first = await self.submit()
        again = await self.submit()
        self.assertEqual(
            (first['job_id'], False, True),
            (again['job_id'], first['repeated'], again['repeated']),
        )
        others = [
            await self.submit(key='blue-1'),
            await self.submit(idempotency_key='other'),
            await self.submit(_OPEN, key=''),
            await self.submit(idempotency_key=''),
            await self.submit(idempotency_key=''),
        ]
        ids = {first['job_id'], *(other['job_id'] for other in others)}
        self.assertEqual(len(others) + 1, len(ids))
        self.assertEqual('red', others[2]['workspace'])

    async def test_job_with_key_on_open_queue_belongs_to_workspace(self):
        """Guard against dropping the key of a caller that uses an open queue.

        Its jobs would get the ids of anonymous jobs.
        """
        keyed = await self.submit(_OPEN)
        anonymous = await self.submit(_OPEN, key='')
        self.assertNotEqual(keyed['job_id'], anonymous['job_id'])
        jobs = [request.job for request in self.router.requests]
        self.assertEqual(['red-1', ''], [job.key_id for job in jobs])

    async def test_no_key_reads_only_its_open_queue(self):
        """Guard against reading the results of another key without a key."""
        keyed = (await self.submit())['job_id']
        anonymous = (await self.submit(_OPEN, key=''))['job_id']
        for job_id, key, status in (
            (keyed, 'red-1', 200),
            (keyed, 'blue-1', 404),
            (keyed, '', 404),
            (anonymous, '', 200),
            (anonymous, 'red-1', 200),
            (anonymous, 'blue-1', 404),
        ):
            path = f'/v1/jobs/{job_id}?queue=public&wait_ms=5'
            answer = await self.send('GET', path, key=key)
            self.assertEqual(status, answer.status_code, (job_id, key))
        waited = [
            request.wait_ms
            for request in self.router.requests_of(messages.View)
            if request.job_id == keyed
        ]
        # The caller without a key could not wait for the job to end either.
        self.assertEqual([5, 5, 0], waited)


class PageTest(api_case.ApiCase):
    """Guard against responses with more results than a page may hold."""

    limits = settings.RequestLimits(max_page_results=3)

    async def test_bound_holds_for_results_and_lists(self):
        body = {'kind': 'query', 'tasks': 10}
        answer = await self.send('POST', '/v1/requests', body)
        job = answer.json()
        self.assertEqual([0, 1, 2], [r['index'] for r in job['results']])
        self.assertEqual(10, job['tasks'])
        await self.send('GET', '/v1/jobs')
        self.assertEqual(
            3, self.router.requests_of(messages.ListJobs)[0].limit
        )


class WaitTest(api_case.ApiCase):
    """Guard requests that wait for their result."""

    limits = settings.RequestLimits(max_waiting_requests=2)

    def hold_jobs(self, state=None):
        """Accept jobs and keep them in a state.

        Without a state, a job succeeds once the test sets its event in the
        returned mapping from job input to event.
        """
        end_events = {}

        async def submit(request):
            job = request.job
            self.router.jobs[job.job_id] = job
            if state is None:
                end_events[job.input] = asyncio.Event()
                await end_events[job.input].wait()
            view = self.router.make_view(job, state or model.State.SUCCEEDED)
            return messages.Submitted(
                job_id=job.job_id, repeated=False, view=view
            )

        async def view(request):
            await self.clock.sleep_ms(request.wait_ms)
            job = self.router.jobs[request.job_id]
            return messages.Viewed(view=self.router.make_view(job, state))

        self.router.handlers[messages.Submit] = submit
        self.router.handlers[messages.View] = view
        return end_events

    def post(self, value):
        body = {'kind': 'query', 'input': value}
        return asyncio.ensure_future(self.send('POST', '/v1/requests', body))

    async def test_answers_out_of_order_reach_their_own_callers(self):
        """Guard against returning a result to the wrong request."""
        end_events = self.hold_jobs()
        tasks = {value: self.post(value) for value in (1, 2)}
        await self.clock.settle()
        for value in (2, 1):
            end_events[str(value).encode()].set()
            answer = await tasks[value]
            self.assertEqual(value, answer.json()['results'][0]['result'])

    async def test_waiting_requests_are_bounded(self):
        """Guard against unbounded waiting requests and leaked slots."""
        end_events = self.hold_jobs()
        for _ in range(2):
            tasks = [self.post(value) for value in (1, 2)]
            await self.clock.settle()
            answer = await self.post(3)
            self.assert_error(answer, 503, 'overloaded', 'no')
            self.assertIn('Retry-After', answer.headers)
            self.assertNotIn(b'3', end_events)
            for event in end_events.values():
                event.set()
            await asyncio.gather(*tasks)
            end_events.clear()

    async def test_disconnect_cancels_only_held_jobs(self):
        """Guard against abandoned jobs that run on, and lost durable jobs."""
        self.hold_jobs(model.State.RUNNING)
        for body, cancelled in ((_NOT_DURABLE, 1), (_DURABLE, 0)):
            self.router.requests.clear()
            task, disconnect, _ = await self.start('/v1/requests', body)
            self.assertFalse(task.done())
            disconnect.set()
            await self.clock.settle()
            self.assertIsNone(task.exception())
            found = self.router.requests_of(messages.Cancel)
            self.assertEqual(cancelled, len(found))
        self.assertIn(b'status="499"', self.metrics.render())

    async def test_deadline_says_not_run_only_if_nothing_started(self):
        """Guard against ``ran: no`` for a job that may have run."""
        self.hold_jobs(model.State.QUEUED)
        none, cancelled = None, model.State.CANCELLED
        cases = (
            ('nothing started', _NOT_DURABLE, cancelled, 0, False, 'no'),
            (
                'an attempt was made',
                _NOT_DURABLE,
                cancelled,
                1,
                False,
                'unknown',
            ),
            (
                'it runs',
                _NOT_DURABLE,
                model.State.RUNNING,
                0,
                False,
                'unknown',
            ),
            ('no answer', _NOT_DURABLE, none, 0, False, 'unknown'),
            ('earlier owner', _NOT_DURABLE, cancelled, 0, True, 'unknown'),
            (
                'results left out',
                {'kind': 'query', 'tasks': 3},
                cancelled,
                0,
                False,
                'unknown',
            ),
            ('durable', _DURABLE, cancelled, 0, False, 'unknown'),
        )
        for name, body, state, attempts, repeats, ran in cases:

            async def cancel(request, state=state, attempts=attempts):
                if state is None:
                    raise errors.OutcomeUnknown('lost')
                job = self.router.jobs[request.job_id]
                view = self.router.make_view(job, state, attempts)
                return messages.Cancelled(view=_drop_results(view))

            with self.subTest(name):
                self.router.repeats = repeats
                self.router.handlers[messages.Cancel] = cancel
                task, _, sent = await self.start('/v1/requests', body)
                await self.clock.advance_ms(_AFTER_TIMEOUT_MS)
                await task
                error = json.loads(sent[1]['body'])['error']
                self.assertEqual(
                    (504, 'deadline_exceeded', ran),
                    (sent[0]['status'], error['kind'], error['ran']),
                )
                self.assertIn(error['job_id'], self.router.jobs)

    async def test_job_unknown_to_new_owner_is_resubmitted_under_its_id(self):
        """Guard against a job that is lost with its owner or duplicated."""
        self.hold_jobs(model.State.RUNNING)

        async def forget(_):
            self.router.handlers[messages.Submit] = self.router.submit
            raise errors.NotFound('no such job; check the id')

        self.router.handlers[messages.View] = forget
        answer = await self.post(1)
        self.assertEqual('succeeded', answer.json()['state'])
        jobs = [r.job for r in self.router.requests_of(messages.Submit)]
        self.assertEqual(2, len(jobs))
        self.assertEqual(jobs[0], jobs[1])

    async def test_deadline_after_an_owner_was_lost_says_unknown(self):
        """Guard against ``ran: no`` for a job that the first owner ran.

        The second owner has cancelled it before it started there.
        """
        self.hold_jobs(model.State.QUEUED)
        look_up = self.router.handlers[messages.View]

        async def forget(_):
            self.router.handlers[messages.View] = look_up
            raise errors.NotFound('no such job; check the id')

        async def cancel(request):
            job = self.router.jobs[request.job_id]
            view = self.router.make_view(job, model.State.CANCELLED, 0)
            return messages.Cancelled(view=view)

        self.router.handlers[messages.View] = forget
        self.router.handlers[messages.Cancel] = cancel
        task, _, sent = await self.start('/v1/requests', _NOT_DURABLE)
        await self.clock.advance_ms(_AFTER_TIMEOUT_MS)
        await task
        error = json.loads(sent[1]['body'])['error']
        self.assertEqual(
            ('deadline_exceeded', 'unknown'), (error['kind'], error['ran'])
        )
        self.assertEqual(2, len(self.router.requests_of(messages.Submit)))

    async def test_refusal_after_an_owner_was_lost_has_unknown_outcome(self):
        """Guard against ``ran: no`` for a job that an owner may have run."""
        self.hold_jobs(model.State.RUNNING)

        async def refuse(_):
            raise errors.QueueFull('full; try later')

        async def forget(_):
            self.router.handlers[messages.Submit] = refuse
            raise errors.NotFound('no such job; check the id')

        self.router.handlers[messages.View] = forget
        error = self.assert_error(
            await self.post(1), 504, 'outcome_unknown', 'unknown'
        )
        self.assertIn('full; try later', error['message'])
        self.assertIn(error['job_id'], self.router.jobs)
        self.assertEqual(1, len(self.router.requests_of(messages.Cancel)))

    async def test_error_after_the_acceptance_has_unknown_outcome(self):
        """Guard against ``ran: no`` for a job that was accepted.

        A look-up that fails tells nothing of the job.
        """
        for error in (
            errors.BadRequest('cannot be decoded; run compatible versions'),
            errors.Overloaded('too many requests; try again later'),
        ):
            with self.subTest(error.kind):
                self.hold_jobs(model.State.RUNNING)
                self.router.requests.clear()

                async def fail(_, error=error):
                    raise error

                self.router.handlers[messages.View] = fail
                answer = (await self.post(1)).json()['error']
                self.assertEqual('unknown', answer['ran'])
                self.assertIn(answer['job_id'], self.router.jobs)
                cancels = self.router.requests_of(messages.Cancel)
                self.assertEqual(1, len(cancels))

    async def test_error_of_several_jobs_is_changed_for_one(self):
        """Guard against an answer with the job id of another caller."""
        shared = errors.Unschedulable('too large; request less')

        async def refuse(_):
            raise shared

        self.router.handlers[messages.Submit] = refuse
        self.router.repeats = True
        error = self.assert_error(
            await self.post(1), 422, 'unschedulable', 'unknown'
        )
        self.assertTrue(error['job_id'])
        self.router.repeats = False
        error = self.assert_error(
            await self.post(1), 422, 'unschedulable', 'no'
        )
        self.assertEqual('', error['job_id'])

    async def test_refused_job_is_not_cancelled(self):
        """Guard against doubling the calls of refused requests in overload."""

        async def refuse(_):
            raise errors.QueueFull('full; try later')

        self.router.handlers[messages.Submit] = refuse
        self.assert_error(await self.post(1), 429, 'queue_full', 'no')
        self.assertEqual([], self.router.requests_of(messages.Cancel))

    async def test_owner_that_fails_at_once_is_not_asked_in_a_loop(self):
        """Guard against retrying without a pause until the timeout."""
        self.hold_jobs(model.State.RUNNING)

        async def fail(_):
            raise errors.OutcomeUnknown('lost')

        self.router.handlers[messages.View] = fail
        task = self.post(1)
        await self.clock.advance_ms(_AFTER_TIMEOUT_MS)
        self.assert_error(await task, 504, 'deadline_exceeded', 'unknown')
        self.assertLess(len(self.router.requests_of(messages.View)), 200)


def _drop_results(view):
    """Return a view that keeps one result of a job with several tasks."""
    kept = view.results[: 1 if view.tasks > 1 else None]
    return model.JobView(
        **{
            name: kept if name == 'results' else getattr(view, name)
            for name in view.__struct_fields__
        }
    )
