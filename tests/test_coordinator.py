"""Test acceptance, limits, at-most-once starts, retries and recovery."""

import asyncio
from unittest import mock

import msgspec

from basilspindle import errors
from basilspindle import journal
from basilspindle import model
from basilspindle.peer import messages
from tests import coordinator_case

_State = model.State


class LimitTest(coordinator_case.CoordinatorCase):
    """Guard against running more tasks of a workspace than its limit."""

    async def test_limit_bounds_running_tasks_at_all_times(self):
        self.set_limit(2)
        self.activate()
        await self.submit(self.job(tasks=5))
        max_running = 0
        while self.holders.running:
            max_running = max(max_running, len(self.holders.running))
            await self.end(next(iter(self.holders.running)))
        self.assertEqual(2, max_running)
        self.assertEqual(_State.SUCCEEDED, (await self.view()).state)

    async def test_limit_lowered_below_running_starts_and_stops_nothing(self):
        self.activate()
        await self.submit(self.job(tasks=6))
        self.set_limit(2)
        await self.submit(self.job('j2', tasks=1))
        for _ in range(4):
            await self.end(next(iter(self.holders.running)))
            self.assertNotIn('j2/0', [key[0] for key in self.holders.running])
        await self.end(next(iter(self.holders.running)))
        self.assertIn('j2/0', [key[0] for key in self.holders.running])
        self.assertEqual([], self.holders.stopped)

    async def test_found_tasks_of_an_earlier_owner_count(self):
        self.set_limit(2)
        self.activate(running=[self.found('old/0'), self.found('old/1')])
        await self.submit(self.job())
        self.assertEqual([], self.holders.started)

    def found(self, task_id):
        return model.RunningTask(
            task_id=task_id,
            attempt=7,
            job_id=task_id.split('/')[0],
            index=int(task_id.split('/')[1]),
            workspace='red',
            kind='report',
            partition=0,
            worker_id='worker-9',
            failure_domain='fd1',
            rack='r1',
            resources=coordinator_case.TASK_RESOURCES,
            holder_id=coordinator_case.HOLDER,
        )


class AcceptTest(coordinator_case.CoordinatorCase):
    """Guard against lost, duplicated and wrongly refused submissions."""

    async def test_same_job_id_is_one_job(self):
        self.activate()
        first = await self.submit(self.job(durable=True))
        second = await self.submit(self.job(durable=True))
        self.assertFalse(first.repeated)
        self.assertTrue(second.repeated)
        self.assertEqual(1, self.journal.count(journal.JobAccepted))
        self.assertEqual(1, len(self.holders.started))

    async def test_same_job_id_at_the_same_moment_is_one_job(self):
        self.activate()
        self.journal.gate = asyncio.Event()
        request = messages.Submit(partition=0, job=self.job(durable=True))
        both = [
            asyncio.ensure_future(self.coordinator.submit(request))
            for _ in range(2)
        ]
        await self.clock.settle()
        self.journal.gate.set()
        replies = await asyncio.gather(*both)
        await self.step()
        self.assertEqual({False, True}, {r.repeated for r in replies})
        self.assertEqual(1, self.journal.count(journal.JobAccepted))
        self.assertEqual(1, len(self.holders.started))

    async def test_other_body_under_the_same_key_is_refused(self):
        self.activate()
        await self.submit(self.job(durable=True))
        with self.assertRaises(errors.KeyReused):
            await self.submit(self.job(durable=True, body_hash='h2'))

    async def test_unsent_append_reports_not_run(self):
        self.activate()
        self.journal.error = errors.LogUnavailable('down')
        with self.assertRaises(errors.LogUnavailable) as caught:
            await self.submit(self.job(durable=True))
        self.assertEqual(errors.Ran.NO, caught.exception.ran)
        self.journal.error = None
        await self.step(60_000)
        self.assertEqual([], self.holders.started)
        with self.assertRaises(errors.NotFound):
            await self.view()

    async def test_late_confirmation_is_unknown_and_runs_once(self):
        self.activate()
        self.journal.gate = asyncio.Event()
        submit = asyncio.ensure_future(
            self.coordinator.submit(
                messages.Submit(partition=0, job=self.job(durable=True))
            )
        )
        await self.step(6_000)
        with self.assertRaises(errors.OutcomeUnknown) as caught:
            await submit
        self.assertEqual('j1', caught.exception.job_id)
        self.journal.gate.set()
        await self.step()
        reply = await self.submit(self.job(durable=True))
        self.assertTrue(reply.repeated)
        self.assertEqual(1, len(self.holders.started))

    async def test_full_queue_refuses_with_retry_after(self):
        self.set_limit(0, queued=3)
        self.activate()
        await self.submit(self.job(tasks=3))
        with self.assertRaises(errors.QueueFull) as caught:
            await self.submit(self.job('j2'))
        self.assertEqual(errors.Ran.NO, caught.exception.ran)
        self.assertGreater(caught.exception.retry_after_ms, 0)

    async def test_copy_of_a_job_that_is_being_recorded_is_not_refused(self):
        """Guard against ``ran: no`` to one copy of a job that then runs."""
        self.set_limit(-1, queued=1)
        self.activate()
        self.journal.gate = asyncio.Event()
        request = messages.Submit(partition=0, job=self.job(durable=True))
        first = asyncio.ensure_future(self.coordinator.submit(request))
        await self.clock.settle()
        second = asyncio.ensure_future(self.coordinator.submit(request))
        await self.clock.settle()
        self.assertFalse(second.done())
        self.journal.gate.set()
        self.assertFalse((await first).repeated)
        self.assertTrue((await second).repeated)
        # A job that is known is not refused for the limit either.
        self.set_limit(-1, queued=0)
        self.assertTrue((await self.submit(request.job)).repeated)

    async def test_lost_partition_leaves_what_is_being_recorded_open(self):
        """Guard against ``ran: no`` for a job that a new owner may find."""
        self.activate()
        self.journal.gate = asyncio.Event()
        request = messages.Submit(partition=0, job=self.job(durable=True))
        both = [
            asyncio.ensure_future(self.coordinator.submit(request))
            for _ in range(2)
        ]
        await self.clock.settle()
        await self.coordinator.deactivate(0, False)
        await self.step()
        for submission in both:
            with self.assertRaises(errors.Deposed) as caught:
                await submission
            self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)
            self.assertEqual('j1', caught.exception.job_id)

    async def test_caller_that_is_gone_does_not_end_the_record(self):
        """Guard against a refusal of another copy of a job that then runs."""
        self.activate()
        self.journal.gate = asyncio.Event()
        request = messages.Submit(partition=0, job=self.job(durable=True))
        first = asyncio.ensure_future(self.coordinator.submit(request))
        await self.clock.settle()
        second = asyncio.ensure_future(self.coordinator.submit(request))
        await self.clock.settle()
        first.cancel()
        await self.clock.settle()
        self.journal.gate.set()
        self.assertTrue((await second).repeated)
        await self.step()
        self.assertEqual(1, len(self.holders.started))

    async def test_size_above_every_worker_is_unschedulable(self):
        self.activate()
        await self.step()
        with self.assertRaises(errors.Unschedulable):
            await self.submit(
                self.job(resources=model.Resources(9000, 1, 0, 1))
            )

    async def test_other_workspace_sees_no_job(self):
        self.activate()
        await self.submit(self.job())
        with self.assertRaises(errors.NotFound):
            await self.view(workspace='blue')
        with self.assertRaises(errors.NotFound):
            await self.coordinator.cancel(
                messages.Cancel(partition=0, workspace='blue', job_id='j1')
            )
        reply = await self.coordinator.list_jobs(
            messages.ListJobs(partition=0, workspace='blue')
        )
        self.assertEqual([], reply.views)


class AtMostOnceTest(coordinator_case.CoordinatorCase):
    """Guard against running a non-idempotent task twice."""

    def non_idempotent_job(self, **changes):
        return self.job(
            idempotent=False, durable=True, max_attempts=1, **changes
        )

    async def test_intent_is_recorded_before_the_start(self):
        self.activate()
        self.journal.gate = asyncio.Event()
        self.journal.gate.set()
        await self.submit(self.non_idempotent_job())
        self.assertEqual(1, self.journal.count(journal.StartIntent))
        self.assertEqual(1, len(self.holders.started))

    async def test_intent_that_is_not_recorded_starts_nothing(self):
        self.activate()
        self.assured = False
        await self.submit(self.non_idempotent_job())
        self.journal.error = errors.LogOutcomeUnknown('lost')
        self.assured = True
        await self.step(5_000)
        self.assertEqual([], self.holders.started)
        self.journal.error = None
        await self.step(5_000)
        self.assertEqual(1, len(self.holders.started))

    async def test_lost_commit_answer_of_a_lost_holder_is_unknown(self):
        self.activate()
        self.holders.commit_error = errors.PeerOutcomeUnknown('lost')
        await self.submit(self.non_idempotent_job())
        self.holders.lost = True
        await self.step(self.timing.lost_after_ms + 2_000)
        view = await self.view()
        self.assertEqual(_State.UNKNOWN, view.state)
        self.holders.lost = False
        self.holders.commit_error = None
        await self.step(60_000)
        self.assertEqual([], self.holders.started)

    async def test_end_that_may_have_run_is_never_repeated(self):
        cases = [
            (_State.FAILED, True, _State.FAILED),
            (_State.QUEUED, True, _State.UNKNOWN),
            (_State.UNKNOWN, True, _State.UNKNOWN),
            (_State.CANCELLED, True, _State.UNKNOWN),
        ]
        self.activate()
        for number, (state, started, expected) in enumerate(cases):
            with self.subTest(state=state):
                job_id = f'case{number}'
                await self.submit(self.non_idempotent_job(job_id=job_id))
                key = self.holders.started[-1]
                await self.end(key, state, started=started)
                view = await self.view(job_id)
                self.assertEqual(expected, view.state)
        self.assertEqual(len(cases), len(self.holders.started))

    async def test_refusal_before_the_start_is_repeated(self):
        self.activate()
        await self.submit(self.non_idempotent_job())
        key = self.holders.started[-1]
        await self.end(key, _State.QUEUED, started=False)
        self.assertEqual(2, len(self.holders.started))

    async def test_new_owner_does_not_repeat_a_recorded_intent(self):
        state = self.journal.state
        batch = journal.Batch(
            writer='w',
            counter=1,
            epoch=1,
            wall_ms=0,
            records=[
                journal.JobAccepted(job=self.non_idempotent_job(tasks=2)),
                journal.StartIntent(
                    job_id='j1', index=0, attempt=1, worker_id='worker-1'
                ),
            ],
        )
        claim = journal.Batch(
            writer='w0',
            counter=1,
            epoch=0,
            wall_ms=0,
            records=[journal.Claim(member_id='entry-0', incarnation='1')],
        )
        state.apply(1, claim)
        state.apply(2, batch)
        self.activate()
        await self.step(1_000)
        self.assertEqual(
            ['j1/1'], [task_id for task_id, _ in self.holders.started]
        )
        await self.end(self.holders.started[0])
        self.assertEqual(_State.UNKNOWN, (await self.view()).state)


class ConfirmationTest(coordinator_case.CoordinatorCase):
    """Guard callers against what an owner says that may have a successor."""

    async def test_waiting_job_does_not_expire_without_assurance(self):
        """Guard against 'expired' for a job that the successor runs."""
        self.holders.slots = 0
        self.activate()
        await self.submit(self.job(deadline_ms=2_000))
        self.assured = False
        await self.step(10_000)
        self.assertEqual(_State.QUEUED, (await self.view()).state)
        self.assured = True
        await self.step(2_000)
        self.assertEqual(_State.EXPIRED, (await self.view()).state)

    async def test_withdrawn_key_ends_no_job_without_assurance(self):
        """Guard against 'cancelled' for a job that the successor runs."""
        self.holders.slots = 0
        self.activate()
        await self.submit(self.job())
        self.assured = self.key_valid = False
        await self.step(2_000)
        self.assertEqual(_State.QUEUED, (await self.view()).state)
        self.assured = True
        await self.step(2_000)
        self.assertEqual(_State.CANCELLED, (await self.view()).state)

    async def test_job_that_fits_a_worker_that_has_not_reported(self):
        """Guard against 'unschedulable' while a cut hides the worker."""
        self.activate(dispatch_in_ms=300_000)
        large = model.Resources(8_001, 100, 0, 1)
        await self.submit(self.job(resources=large))
        await self.step(200_000)
        self.assertEqual(_State.QUEUED, (await self.view()).state)
        self.coordinator.apply_full_inventory(0, [], [])
        await self.step(100_000)
        self.assertEqual(_State.QUEUED, (await self.view()).state)
        await self.step(30_000)
        self.assertEqual(_State.UNSCHEDULABLE, (await self.view()).state)

    async def test_unrecorded_end_is_not_told_without_assurance(self):
        """Guard against a result that the successor does not know."""
        self.activate()
        job = self.job(durable=True)
        await self.submit(job)
        self.journal.state.jobs['j1'] = journal.JobEntry(job)
        self.journal.error = errors.Deposed('a later claim')
        self.assured = False
        with self.assertRaises(errors.Deposed):
            await self.end(self.holders.started[0])
        with self.assertRaises(errors.NotReady):
            await self.view()
        # A confirmation from before the end does not count.
        self.assured = True
        self.confirmed_at_ms = self.clock.now_ms() - 500
        with self.assertRaises(errors.NotReady):
            await self.view()
        self.confirmed_at_ms = self.clock.now_ms()
        self.assertEqual(_State.SUCCEEDED, (await self.view()).state)
        self.assured = False
        self.journal.state.jobs['j1'].state = _State.SUCCEEDED
        self.assertEqual(_State.SUCCEEDED, (await self.view()).state)

    async def test_unknown_job_is_not_denied_without_assurance(self):
        """Guard against 404 for a job that the successor has accepted."""
        self.activate()
        await self.submit(self.job())
        self.assured = False
        fields = {'partition': 0, 'workspace': 'red'}
        for request in (
            messages.View(job_id='j2', **fields),
            messages.Cancel(job_id='j2', **fields),
            messages.ListJobs(after='', limit=10, **fields),
        ):
            name = {'ListJobs': 'list_jobs'}.get(
                type(request).__name__, type(request).__name__.lower()
            )
            with self.assertRaises(errors.NotReady):
                await getattr(self.coordinator, name)(request)
        self.assertEqual(_State.RUNNING, (await self.view()).state)
        self.assured = True
        with self.assertRaises(errors.NotFound):
            await self.view('j2')


class RetryTest(coordinator_case.CoordinatorCase):
    """Guard against duplicate runs and lost tasks after failures."""

    async def test_lost_place_answer_is_repeated_with_the_same_attempt(self):
        self.activate()
        self.holders.lose_next_answer = True
        await self.submit(self.job())
        await self.step(1_000)
        orders = [request.orders[0] for request in self.holders.requests]
        self.assertEqual(2, len(orders))
        self.assertEqual(orders[0].attempt, orders[1].attempt)
        self.assertEqual(1, len(self.holders.started))

    async def test_unanswered_order_is_not_repeated_without_assurance(self):
        """Guard against a start long after a successor may have one."""
        self.activate()
        self.holders.place_error = errors.PeerOutcomeUnknown('lost')
        await self.submit(self.job())
        self.assured = False
        sent = len(self.holders.requests)
        self.holders.place_error = None
        await self.step(10_000)
        self.assertEqual(sent, len(self.holders.requests))
        self.assertEqual([], self.holders.started)
        self.assured = True
        await self.step(1_000)
        self.assertEqual(1, len(self.holders.started))

    async def test_unanswered_commit_is_not_repeated_without_assurance(self):
        """Guard against a start long after a successor may have one."""
        self.activate()
        self.holders.commit_error = errors.PeerOutcomeUnknown('lost')
        await self.submit(self.job(idempotent=False, durable=True))
        self.assured = False
        self.holders.commit_error = None
        await self.step(10_000)
        self.assertEqual([], self.holders.started)
        self.assured = True
        await self.step(1_000)
        self.assertEqual(1, len(self.holders.started))

    async def test_task_of_a_lost_holder_waits_for_all_leases(self):
        self.activate()
        await self.submit(self.job())
        self.holders.lost = True
        await self.step(self.timing.lost_after_ms - 1_000)
        self.holders.running.clear()
        self.assertEqual({'running': 1}, (await self.view()).counts)
        await self.step(2_000)
        self.assertEqual({'queued': 1}, (await self.view()).counts)
        self.holders.lost = False
        await self.step(1_000)
        self.assertEqual(2, len(self.holders.started))

    async def test_silent_member_may_hold_the_tasks_of_a_lost_holder(self):
        """Guard against a second run beside that of a silent holder."""
        self.activate()
        await self.submit(self.job())
        self.holders.lost = True
        await self.step(self.timing.lost_after_ms)
        self.holders.heard_since_ms = self.clock.now_ms()
        self.holders.running.clear()
        await self.step(self.timing.lost_after_ms)
        self.assertEqual({'running': 1}, (await self.view()).counts)
        await self.step(2_000)
        self.assertEqual({'queued': 1}, (await self.view()).counts)

    async def test_expired_lease_waits_for_silent_members(self):
        """Guard against a second run beside that of a silent holder."""
        self.activate()
        await self.submit(self.job())
        self.holders.heard_since_ms = self.clock.now_ms()
        key = self.holders.started[0]
        await self.end(key, _State.QUEUED, lease_expired=True)
        await self.step(self.timing.lost_after_ms - 1_000)
        self.assertEqual(1, len(self.holders.started))
        await self.step(2_000)
        self.assertEqual(2, len(self.holders.started))

    async def test_expired_lease_that_another_holder_renews(self):
        """Guard against a second run beside that of the next holder."""
        self.activate()
        await self.submit(self.job())
        self.holders.heard_since_ms = self.clock.now_ms()
        key = self.holders.started[0]
        await self.end(key, _State.QUEUED, lease_expired=True)
        found = self.running_task(key[0], key[1], worker_epoch=2)
        await self.coordinator.report(
            messages.Report(
                holder_id=coordinator_case.HOLDER,
                partition=0,
                ends=[],
                found=[found],
            )
        )
        await self.step(2 * self.timing.lost_after_ms)
        self.assertEqual(1, len(self.holders.started))
        self.assertEqual({'running': 1}, (await self.view()).counts)

    async def test_failed_task_is_repeated_elsewhere_up_to_its_bound(self):
        self.activate()
        await self.submit(self.job(max_attempts=2))
        await self.end(self.holders.started[0], _State.FAILED, error='x')
        order = self.holders.requests[-1].orders[0]
        self.assertEqual(['worker-1'], order.avoid)
        await self.end(self.holders.started[1], _State.FAILED, error='x')
        self.assertEqual(_State.FAILED, (await self.view()).state)
        self.assertEqual(2, len(self.holders.started))

    async def test_late_end_of_an_earlier_attempt_changes_nothing(self):
        self.activate()
        await self.submit(self.job())
        first = self.holders.started[0]
        await self.end(first, _State.QUEUED)
        self.assertEqual(2, len(self.holders.started))
        await self.end(first, _State.SUCCEEDED, result=b'"late"')
        self.assertEqual(_State.RUNNING, (await self.view()).state)
        await self.end(self.holders.started[1], result=b'"own"')
        view = await self.view()
        self.assertEqual(b'"own"', view.results[0].result)

    async def test_nothing_starts_without_assurance(self):
        self.assured = False
        self.activate()
        await self.submit(self.job(tasks=3))
        await self.step(5_000)
        self.assertEqual([], self.holders.requests)
        self.assured = True
        await self.step(1_000)
        self.assertEqual(3, len(self.holders.started))

    async def test_nothing_starts_before_all_workers_were_seen(self):
        self.activate(dispatch_in_ms=30_000)
        await self.submit(self.job())
        await self.step(20_000)
        self.assertEqual([], self.holders.started)
        self.coordinator.apply_full_inventory(0, [], [])
        await self.step()
        self.assertEqual(1, len(self.holders.started))

    async def test_service_is_started_again_when_it_ends(self):
        self.activate()
        await self.submit(self.job(service=True))
        await self.end(self.holders.started[0], _State.SUCCEEDED)
        self.assertEqual(2, len(self.holders.started))

    async def test_failing_service_restarts_with_backoff(self):
        self.activate()
        await self.submit(self.job(service=True))
        await self.end(self.holders.started[-1], _State.FAILED)
        for number in range(2, 8):
            self.assertEqual(number, len(self.holders.started))
            await self.end(self.holders.started[-1], _State.FAILED)
            self.assertEqual({'queued': 1}, (await self.view()).counts)
            await self.step(500 << (number - 2))
        await self.coordinator.cancel(
            messages.Cancel(partition=0, workspace='red', job_id='j1')
        )


class EstimateTest(coordinator_case.CoordinatorCase):
    """Guard against ignoring usage above the declared resources."""

    async def test_later_jobs_of_a_kind_use_observed_usage(self):
        self.activate()
        await self.submit(self.job(tasks=24))
        used = model.Resources(1000, 300, 0, 1)
        while self.holders.running:
            key = next(iter(self.holders.running))
            await self.end(key, used=used, run_time_ms=4_000)
        await self.submit(self.job('j2'))
        order = self.holders.requests[-1].orders[0]
        self.assertGreaterEqual(order.resources.memory_mb, 300)
        self.assertLessEqual(order.resources.memory_mb, 8000)
        self.assertEqual(1000, order.resources.cpu_millicores)


class CancelTest(coordinator_case.CoordinatorCase):
    """Guard against cancelled, expired or unauthorised work continuing."""

    async def test_cancel_ends_queued_and_stops_started_tasks(self):
        self.set_limit(2)
        self.activate()
        await self.submit(self.job(tasks=5))
        await self.coordinator.cancel(
            messages.Cancel(partition=0, workspace='red', job_id='j1')
        )
        await self.step(1_000)
        self.assertEqual(set(self.holders.running), set(self.holders.stopped))
        for key in list(self.holders.running):
            await self.end(key, _State.CANCELLED)
        view = await self.view()
        self.assertEqual(_State.CANCELLED, view.state)
        self.assertEqual({'cancelled': 5}, view.counts)

    async def test_cancellation_that_is_not_recorded_has_no_effect(self):
        """Guard against a refused cancellation that ends a job."""
        self.set_limit(0)
        self.activate()
        await self.submit(self.job(durable=True))
        cancel = messages.Cancel(partition=0, workspace='red', job_id='j1')
        self.journal.error = errors.LogUnavailable('down')
        with self.assertRaises(errors.LogUnavailable) as caught:
            await self.coordinator.cancel(cancel)
        self.assertEqual(errors.Ran.NO, caught.exception.ran)
        self.journal.error = None
        self.set_limit(-1)
        await self.step(1_000)
        self.assertEqual(1, len(self.holders.started))

    async def test_withdrawn_key_cancels_what_has_not_started(self):
        self.set_limit(1)
        self.activate()
        await self.submit(self.job('j1'))
        await self.submit(self.job('j2'))
        self.key_valid = False
        await self.step(2_000)
        self.assertEqual(_State.RUNNING, (await self.view('j1')).state)
        self.assertEqual(_State.CANCELLED, (await self.view('j2')).state)

    async def test_deadline_expires_queued_tasks(self):
        self.set_limit(0)
        self.activate()
        await self.submit(self.job(deadline_ms=3_000))
        await self.step(4_000)
        self.assertEqual(_State.EXPIRED, (await self.view()).state)

    async def test_deactivation_tells_waiters_and_stops_starts(self):
        self.activate()
        await self.submit(self.job())
        waiting = asyncio.ensure_future(
            self.coordinator.view(
                messages.View(
                    partition=0, workspace='red', job_id='j1', wait_ms=10_000
                )
            )
        )
        await self.clock.settle()
        await self.coordinator.deactivate(0, False)
        await self.step()
        with self.assertRaises(errors.NotOwner):
            await waiting

    async def test_job_that_is_dropped_during_the_wait_may_have_run(self):
        """Guard against ``ran: no`` for a job that was accepted."""
        self.activate()
        request = messages.Submit(partition=0, job=self.job(), wait_ms=10_000)
        waiting = asyncio.ensure_future(self.coordinator.submit(request))
        await self.step()
        self.assertEqual(1, len(self.holders.started))
        # The partition comes back before the waiting submission goes on.
        await self.coordinator.deactivate(0, False)
        self.activate()
        await self.step()
        with self.assertRaises(errors.NotFound) as caught:
            await waiting
        self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)
        self.assertEqual('j1', caught.exception.job_id)


class GangTest(coordinator_case.CoordinatorCase):
    """Guard against starting only a part of a gang."""

    async def test_gang_waits_until_all_tasks_fit(self):
        self.activate()
        await self.submit(self.job('small', tasks=5))
        await self.submit(self.job('gang', tasks=6, gang=True))
        await self.step(2_000)
        names = [task_id for task_id, _ in self.holders.started]
        self.assertFalse([n for n in names if n.startswith('gang')])
        for key in list(self.holders.running):
            await self.end(key)
        await self.step(2_000)
        names = [task_id for task_id, _ in self.holders.started]
        self.assertEqual(6, sum(n.startswith('gang') for n in names))


class InventoryTest(coordinator_case.CoordinatorCase):
    """Guard against keeping lost tasks or losing running ones."""

    def found(self, key, **changes):
        order = self.holders.running[key]
        fields = {
            'task_id': key[0],
            'attempt': key[1],
            'job_id': order.job_id,
            'index': order.index,
            'workspace': order.workspace,
            'kind': order.kind,
            'partition': 0,
            'worker_id': 'worker-1',
            'failure_domain': 'fd1',
            'rack': 'r1',
            'resources': coordinator_case.TASK_RESOURCES,
            'holder_id': 'entry-2@1',
            'worker_epoch': 5,
        }
        return model.RunningTask(**{**fields, **changes})

    async def test_task_missing_in_two_inventories_runs_again(self):
        self.activate()
        await self.submit(self.job())
        await self.step(20_000)
        key = self.holders.started[0]
        self.coordinator.reconcile(0, [], [])
        self.coordinator.reconcile(0, [self.found(key)], [])
        self.coordinator.reconcile(0, [], [])
        self.assertEqual({'running': 1}, (await self.view()).counts)
        self.coordinator.reconcile(0, [], [])
        await self.step()
        self.assertEqual(2, len(self.holders.started))

    async def test_new_task_is_not_missed(self):
        self.activate()
        await self.submit(self.job())
        for _ in range(3):
            self.coordinator.reconcile(0, [], [])
        self.assertEqual(1, len(self.holders.started))
        self.assertEqual({'running': 1}, (await self.view()).counts)

    async def test_loss_report_with_stale_worker_epoch_is_ignored(self):
        self.activate()
        await self.submit(self.job())
        key = self.holders.started[0]
        found = messages.Report(
            holder_id='entry-2@1',
            partition=0,
            ends=[],
            found=[self.found(key)],
        )
        await self.coordinator.report(found)
        order = self.holders.running[key]
        await self.end(key, _State.QUEUED, started=True, worker_epoch=4)
        self.assertEqual({'running': 1}, (await self.view()).counts)
        self.holders.running[key] = order
        await self.end(key, _State.QUEUED, started=True, worker_epoch=5)
        self.assertEqual(2, len(self.holders.started))

    async def test_end_without_ended_tasks_is_recorded(self):
        self.set_limit(0)
        self.activate()
        job = self.job(durable=True)
        await self.submit(job)
        entry = journal.JobEntry(job)
        self.journal.state.jobs['j1'] = entry
        await self.coordinator.cancel(
            messages.Cancel(partition=0, workspace='red', job_id='j1')
        )
        await self.step(1_000)
        ends = [
            record
            for record in self.journal.records
            if isinstance(record, journal.JobEnded)
        ]
        self.assertEqual(_State.CANCELLED, ends[0].state)


class RecoveryTest(coordinator_case.CoordinatorCase):
    """Guard tasks of an earlier owner until all workers were seen."""

    def recover(self, job, **options):
        """Activate a partition whose log holds a job."""
        self.journal.state.jobs[job.job_id] = journal.JobEntry(job)
        self.activate(dispatch_in_ms=5_000, **options)

    async def test_task_that_ends_before_dispatching_is_queued_once(self):
        """Guard against a task that starts twice, and one that is none."""
        for number, (state, started) in enumerate(
            (
                (_State.FAILED, True),
                (_State.QUEUED, True),
                (_State.QUEUED, False),
            )
        ):
            with self.subTest(state=state, started=started):
                await self.coordinator.deactivate(0, False)
                self.holders.started.clear()
                job_id = f'j{number}'
                self.recover(
                    self.job(job_id, tasks=2, durable=True),
                    running=[self.running_task(f'{job_id}/1', index=1)],
                )
                await self.end((f'{job_id}/1', 7), state, started=started)
                await self.step(8_000)
                starts = [
                    task_id
                    for task_id, _ in self.holders.started
                    if task_id.startswith(job_id)
                ]
                self.assertEqual(
                    [f'{job_id}/0', f'{job_id}/1'], sorted(starts)
                )

    async def test_end_that_no_owner_has_recorded_is_applied(self):
        """Guard against a second run after an end that was acknowledged."""
        for idempotent in (True, False):
            for in_inventory in (True, False):
                with self.subTest(
                    idempotent=idempotent, in_inventory=in_inventory
                ):
                    await self.check_unrecorded_end(idempotent, in_inventory)

    async def check_unrecorded_end(self, idempotent, in_inventory):
        await self.coordinator.deactivate(0, False)
        self.journal = coordinator_case.JournalStandIn()
        job = self.job(durable=True, idempotent=idempotent)
        entry = journal.JobEntry(job)
        if not idempotent:
            entry.intents[0] = journal.StartIntent('j1', 0, 7, 'worker-9')
        self.journal.state.jobs['j1'] = entry
        end = model.TaskEnd(
            task_id='j1/0',
            attempt=7,
            workspace='red',
            partition=0,
            worker_id='worker-9',
            state=_State.SUCCEEDED,
            result=b'1',
        )
        ends = [end] if in_inventory else []
        self.activate(dispatch_in_ms=5_000, ends=ends)
        # The holder reports until the end is confirmed.
        await self.end(('j1/0', 7))
        await self.step(8_000)
        self.assertEqual([], self.holders.started)
        view = await self.view()
        self.assertEqual(_State.SUCCEEDED, view.state)
        self.assertEqual(b'1', view.results[0].result)
        self.assertEqual(1, self.journal.count(journal.TaskEnded))

    async def test_end_of_a_job_that_is_submitted_again_is_applied(self):
        """Guard against a second run of a request whose owner was lost."""
        self.activate()
        await self.end(('j1/1', 7), result=b'1')
        await self.end(('j1/2', 7), _State.QUEUED)
        await self.submit(self.job(tasks=3))
        self.assertEqual(
            ['j1/0', 'j1/2'], sorted(key[0] for key in self.holders.started)
        )
        for key in list(self.holders.running):
            await self.end(key)
        view = await self.view()
        self.assertEqual(_State.SUCCEEDED, view.state)

    async def test_queued_task_that_is_found_running_does_not_start(self):
        """Guard against two runs of a request that is submitted again.

        Its entry daemon submits it before a holder has seen its worker.
        """
        for gang in (False, True):
            for in_inventory in (False, True):
                with self.subTest(gang=gang, in_inventory=in_inventory):
                    await self.check_found(gang, in_inventory)

    async def check_found(self, gang, in_inventory):
        await self.coordinator.deactivate(0, False)
        self.holders.started.clear()
        self.holders.running.clear()
        self.activate(dispatch_in_ms=5_000)
        await self.submit(self.job(tasks=3, gang=gang))
        found = [self.running_task('j1/1')]
        if in_inventory:
            self.coordinator.apply_full_inventory(0, found, [])
        else:
            await self.coordinator.report(
                messages.Report(
                    holder_id=coordinator_case.HOLDER,
                    partition=0,
                    ends=[],
                    found=found,
                )
            )
        await self.step(8_000)
        names = sorted(key[0] for key in self.holders.started)
        self.assertEqual(['j1/0', 'j1/2'], names)
        for key in [*self.holders.running, ('j1/1', 7)]:
            await self.end(key)
        self.assertEqual({'succeeded': 3}, (await self.view()).counts)
        self.assertEqual(0, self.coordinator.waiting())

    async def test_queued_task_that_has_succeeded_does_not_start(self):
        """Guard against a second run of a task that waits for capacity."""
        for dispatch_in_ms in (5_000, 0):
            with self.subTest(dispatch_in_ms=dispatch_in_ms):
                await self.coordinator.deactivate(0, False)
                self.holders.started.clear()
                self.set_limit(0)
                self.activate(dispatch_in_ms=dispatch_in_ms)
                await self.submit(self.job(tasks=2))
                for _ in range(2):
                    await self.end(('j1/0', 7))
                self.set_limit(-1)
                await self.step(8_000)
                self.assertEqual(
                    ['j1/1'], [key[0] for key in self.holders.started]
                )
                await self.end(self.holders.started[0])
                view = await self.view()
                self.assertEqual({'succeeded': 2}, view.counts)

    async def test_repeated_report_of_a_failure_counts_once(self):
        """Guard against a failed attempt that is counted for each report."""
        self.activate()
        await self.submit(self.job(max_attempts=2))
        [key] = self.holders.started
        self.set_limit(0)
        for _ in range(3):
            await self.end(key, _State.FAILED)
        self.assertEqual({'queued': 1}, (await self.view()).counts)
        self.set_limit(-1)
        await self.step(1_000)
        await self.end(self.holders.started[-1])
        self.assertEqual(2, len(self.holders.started))
        self.assertEqual(_State.SUCCEEDED, (await self.view()).state)

    async def test_end_of_another_attempt_keeps_a_running_task(self):
        """Guard against a second run beside one that a holder has found.

        Drawn by seed 5 of test_owner_churn.
        """
        self.activate(running=[self.running_task('j1/0', 8)])
        await self.end(('j1/0', 7), _State.FAILED)
        await self.submit(self.job())
        self.assertEqual([], self.holders.started)
        await self.end(('j1/0', 8))
        self.assertEqual(_State.SUCCEEDED, (await self.view()).state)

    async def test_service_that_ends_before_dispatching_restarts_once(self):
        """Guard against a delayed restart of a task that runs already."""
        self.recover(
            self.job(service=True, durable=True),
            running=[self.running_task('j1/0')],
        )
        await self.step(4_900)
        await self.end(('j1/0', 7), _State.FAILED)
        await self.step(8_000)
        self.assertEqual(['j1/0'], [key[0] for key in self.holders.started])

    async def test_cancelled_job_starts_nothing_after_the_recovery(self):
        """Guard against a requeued task of a job that is cancelled."""
        self.recover(
            self.job(tasks=2, durable=True),
            running=[self.running_task('j1/0')],
        )
        await self.end(('j1/0', 7), _State.FAILED)
        await self.coordinator.cancel(
            messages.Cancel(partition=0, workspace='red', job_id='j1')
        )
        await self.step(8_000)
        self.assertEqual([], self.holders.started)
        self.assertEqual(_State.CANCELLED, (await self.view()).state)


class OddReportTest(coordinator_case.CoordinatorCase):
    """Guard the owner against tasks that a worker of another build lists.

    The next owner of the partition gets the same inventory.
    """

    _ODD_IDS = ('', 'x', 'j1/', 'j1/x', 'j1/-1', 'j1/007', 'j1/' + '9' * 5_000)

    async def test_odd_task_ids_do_not_end_the_recovery(self):
        """Guard against a partition that no owner can activate."""
        running = [self.running_task(task_id) for task_id in self._ODD_IDS]
        self.activate(running=running)
        await self.submit(self.job())
        self.assertEqual(['j1/0'], [key[0] for key in self.holders.started])

    async def test_a_failed_sweep_is_repeated(self):
        """Guard against partitions that wait for dispatching for ever."""
        key_valid, self.coordinator._housekeeping._key_valid = (
            self.coordinator._housekeeping._key_valid,
            mock.Mock(side_effect=RuntimeError),
        )
        self.activate(dispatch_in_ms=5_000)
        await self.submit(self.job())
        await self.step(2_000)
        self.coordinator._housekeeping._key_valid = key_valid
        await self.step(8_000)
        self.assertEqual(['j1/0'], [key[0] for key in self.holders.started])

    async def test_odd_task_ids_do_not_block_other_ends(self):
        """Guard against ends that are reported over and over."""
        self.activate()
        await self.submit(self.job())
        [key] = self.holders.started
        end = model.TaskEnd(
            task_id=key[0],
            attempt=key[1],
            workspace='red',
            partition=0,
            worker_id='worker-1',
            state=_State.SUCCEEDED,
        )
        odd_ends = [
            msgspec.structs.replace(end, task_id=task_id)
            for task_id in self._ODD_IDS
        ]
        await self.coordinator.report(
            messages.Report(
                holder_id=coordinator_case.HOLDER,
                partition=0,
                ends=[*odd_ends, end],
                found=[self.running_task(name) for name in self._ODD_IDS],
            )
        )
        self.assertEqual(_State.SUCCEEDED, (await self.view()).state)

    async def test_index_outside_of_the_job_is_ignored(self):
        """Guard against a job that is recorded but never queued."""
        self.activate(
            running=[
                self.running_task('j1/5', index=5),
                self.running_task('j1/1', index=9),
            ]
        )
        await self.submit(self.job(tasks=2, durable=True))
        self.assertEqual(
            {'running': 2}, (await self.view()).counts, self.holders.started
        )
        self.assertEqual(['j1/0'], [key[0] for key in self.holders.started])
