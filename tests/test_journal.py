"""Guard the journal of a partition against races and log failures."""

import asyncio
from unittest import mock

from basilspindle import errors
from basilspindle import journal
from basilspindle import model
from tests import journal_case

accept = journal_case.accept


class OwnershipTest(journal_case.JournalCase):
    """Guard against two owners of one partition."""

    async def test_race_has_one_winner(self):
        """Guard against two concurrent claims that both succeed."""
        one = await self.open('a')
        two = await self.open('b')
        results = await self.run_ms(
            asyncio.gather(one.claim(), two.claim(), return_exceptions=True)
        )
        await self.clock.advance_ms(1_000)
        owners = [j.is_owner for j in (one, two)]
        self.assertEqual([False, True], owners, results)
        self.assertEqual('b', one.latest_claimant)
        with self.assertRaises(errors.Deposed):
            await one.append(accept('j1'))

    async def test_batch_of_deposed_writer_is_ignored(self):
        """Guard against a deposed owner whose records take effect."""
        deposals = []
        old = await self.open_owner('a', on_deposed=lambda: deposals.append(1))
        new = await self.open_owner('b')
        # The old owner has not read the new claim yet and sends its batch.
        with self.assertRaises(errors.Deposed):
            await self.run_ms(old.append(accept('j1')))
        self.assertEqual(3, self.service.appends)
        await self.run_ms(new.append(accept('j2')))
        reader = await self.replay()
        for one in (old, new, reader):
            with self.subTest(member=one.dump()):
                await self.clock.advance_ms(600)
                self.assertNotIn('j1', one.state.jobs)
        self.assertEqual([1], deposals)
        self.assertEqual(journal.NEVER_MS, old.assured_at_ms)

    async def test_a_batch_before_a_later_claim_is_confirmed(self):
        """Guard against ``ran: no`` for a record that took effect.

        Its answer is lost, and the next owner claims the partition.
        """
        old = await self.open_owner('a')
        await self.clock.advance_ms(self.timing.linger_ms)
        self.service.faults.lose_answers = 1
        sent = asyncio.ensure_future(old.append(accept('j1')))
        await self.clock.settle()
        new = await self.open_owner('b')
        await self.run_ms(sent)
        self.assertIn('j1', new.state.jobs)
        await self.clock.advance_ms(600)
        self.assertFalse(old.is_owner)

    async def test_release_ends_ownership(self):
        """Guard against records of an owner after its release."""
        old = await self.open_owner('a')
        new = await self.open('b')
        await self.run_ms(old.append(accept('j1')))
        await self.run_ms(old.release())
        with self.assertRaises(errors.NotOwner):
            await old.append(accept('j2'))
        await self.clock.settle()
        self.assertTrue(new.state.released)
        await self.run_ms(new.claim())
        self.assertEqual(['j1'], list(new.state.jobs))
        self.assertFalse(new.state.released)

    async def test_claim_is_not_repeated_after_its_caller_gave_up(self):
        """Guard against a repeated claim that deposes the next owner."""
        late = await self.open('a')
        await self.run_ms(late.wait_replayed())
        claim = asyncio.ensure_future(late.claim(timeout_ms=5_000))
        self.service.faults.lose_requests = 1_000
        with self.assertRaises(errors.LogOutcomeUnknown):
            await self.run_ms(claim)
        owner = await self.open('b')
        self.service.faults.lose_requests = 0
        await self.run_ms(owner.claim())
        await self.clock.advance_ms(20_000)
        self.assertTrue(owner.is_owner)

    async def test_claim_with_lost_answer(self):
        """Guard against an epoch that differs between owner and reader."""
        for fault in ('lose_requests', 'lose_answers', 'late_effects'):
            with self.subTest(fault=fault):
                setattr(self.service.faults, fault, 1)
                owner = await self.open_owner('a')
                await self.clock.advance_ms(10_000)
                reader = await self.replay()
                self.assertTrue(owner.is_owner)
                self.assertEqual(owner.epoch, reader.latest_epoch)

    async def test_unexpected_error_ends_ownership(self):
        """Guard against an owner that stays assured after a failed read."""
        owner = await self.open_owner('a')
        batch = journal.Batch('x', 1, owner.epoch, 0, [journal.Release()])
        self.service.stream(owner.stream).append(
            journal.encode(batch), self.clock.now_ms()
        )
        with mock.patch.object(
            journal.PartitionState, 'apply', side_effect=RuntimeError
        ):
            await self.clock.advance_ms(1_000)
        self.assertFalse(owner.is_owner)
        self.assertEqual(journal.NEVER_MS, owner.assured_at_ms)
        with self.assertRaises(errors.NotReady):
            await owner.claim()

    async def test_snapshot_without_a_job_ends_no_ownership(self):
        """Guard against a record that ends each owner of a partition.

        The snapshot has results of a job that no part before it holds.
        """
        owner = await self.open_owner('a')
        await self.run_ms(owner.append(accept('j1')))
        kept, missing = (
            journal.records.SnapshotJob(
                job_id, job, False, model.State.QUEUED, '', 0, [], []
            )
            for job_id, job in (
                ('j2', journal_case.make_job('j2')),
                ('j3', None),
            )
        )
        odd_snapshot = [
            journal.SnapshotBegin('a', 'a', 0, {}, 1),
            journal.SnapshotPart(0, [missing, kept]),
            journal.SnapshotEnd(),
        ]
        batch = journal.Batch('x', 1, owner.epoch, 0, odd_snapshot)
        self.service.stream(owner.stream).append(
            journal.encode(batch), self.clock.now_ms()
        )
        await self.clock.advance_ms(1_000)
        self.assertTrue(owner.is_owner)
        await self.run_ms(owner.append(accept('j4')))
        successor = await self.open_owner('b')
        self.assertTrue(successor.is_owner)
        self.assertEqual(['j2', 'j4'], list(successor.state.jobs))

    async def test_other_members_do_not_read(self):
        """Guard against reads of a stream that a member does not follow."""
        idle = await self.open('a', following=False)
        await self.clock.advance_ms(10_000)
        self.assertEqual(0, self.service.requests['GET'])
        idle.follow(True)
        await self.run_ms(idle.wait_replayed())
        idle.follow(False)
        await self.clock.advance_ms(5_000)
        request_count = self.service.requests['GET']
        await self.clock.advance_ms(10_000)
        self.assertEqual(request_count, self.service.requests['GET'])


class AssuranceTest(journal_case.JournalCase):
    """Guard against starts by an owner that may have been deposed."""

    async def max_assurance_age_ms(self, owner, duration_ms: int) -> int:
        """Return the maximum age of the assurance during a time."""
        oldest_ms = 0
        for _ in range(duration_ms // 50):
            await self.clock.advance_ms(50)
            age_ms = self.clock.now_ms() - owner.assured_at_ms
            oldest_ms = max(oldest_ms, age_ms)
        return oldest_ms

    async def test_assurance_stays_recent_while_the_log_answers(self):
        """Guard against paused starts due to a slow log or connection."""
        owner = await self.open_owner('a')
        for faults, limit_ms in [
            ({}, 550),
            ({'hang_requests': 1}, 1_100),
            ({'delay_ms': 900}, 1_500),
        ]:
            with self.subTest(faults=faults):
                for name, value in faults.items():
                    setattr(self.service.faults, name, value)
                await self.clock.advance_ms(3_000)
                self.service.faults.hang_requests = faults.get(
                    'hang_requests', 0
                )
                self.assertLess(
                    await self.max_assurance_age_ms(owner, 5_000), limit_ms
                )

    async def test_age_counts_from_the_send(self):
        """Guard against an assurance later than the send of its request.

        Another member may claim between the send and the answer.
        """
        owner = await self.open_owner('a')
        self.service.faults.delay_ms = 900
        append = asyncio.ensure_future(owner.append(accept('j1')))
        await self.clock.advance_ms(1_000)
        await self.run_ms(append)
        for _ in range(50):
            await self.clock.advance_ms(50)
            age_ms = self.clock.now_ms() - owner.assured_at_ms
            self.assertGreaterEqual(age_ms, 900)

    async def test_ages_without_answers(self):
        """Guard against an assurance that is renewed without an answer."""
        owner = await self.open_owner('a')
        self.service.faults.hang = True
        before_ms = self.clock.now_ms()
        await self.clock.advance_ms(10_000)
        self.assertLessEqual(owner.assured_at_ms, before_ms)


class AppendTest(journal_case.JournalCase):
    """Guard against records lost, duplicated or wrongly refused."""

    async def test_lost_answers_count_once(self):
        """Guard against a record that is applied twice or not at all."""
        for fault in (
            'lose_answers',
            'lose_requests',
            'late_effects',
            'hang_requests',
        ):
            with self.subTest(fault=fault):
                owner = await self.open_owner('a')
                before = owner.state.records_since_snapshot
                setattr(self.service.faults, fault, 1)
                await self.run_ms(owner.append(accept(fault)))
                await self.run_ms(owner.append(accept(fault + '-2')))
                # A late effect comes after 5 s, when the append has been
                # repeated.
                await self.clock.advance_ms(10_000)
                reader = await self.replay()
                count = owner.state.records_since_snapshot - before
                self.assertEqual(2, count)
                self.assertEqual(owner.state.dump(), reader.state.dump())
                self.assertIn(fault, reader.state.jobs)

    async def test_dead_connection_delay_is_bounded(self):
        """Guard against waiting a request timeout per dead connection."""
        owner = await self.open_owner('a')
        for silent, limit_ms in [(1, 700), (2, 1_300)]:
            with self.subTest(silent=silent):
                await self.clock.advance_ms(1_000)
                self.service.faults.hang_requests = silent
                start_ms = self.clock.now_ms()
                await self.run_ms(owner.append(accept(f'j{silent}')))
                self.assertLess(self.clock.now_ms() - start_ms, limit_ms)

    async def test_slow_log_takes_each_batch_once(self):
        """Guard against appends repeated only because the log is slow."""
        owner = await self.open_owner('a')
        for delay_ms in (600, 1_900):
            with self.subTest(delay_ms=delay_ms):
                self.service.faults.delay_ms = delay_ms
                appends = self.service.appends
                await self.run_ms(owner.append(accept(f'j{delay_ms}')))
                self.assertEqual(appends + 1, self.service.appends)

    async def test_outage_refuses_unsent_records(self):
        """Guard against refused records that take effect, and against waits.

        A refusal must come within 2.5 s of the outage, and at once later.
        """
        for fault in ('down', 'refuse'):
            with self.subTest(fault=fault):
                owner = await self.open_owner('a')
                setattr(self.service.faults, fault, True)
                start_ms = self.clock.now_ms()
                with self.assertRaises(errors.LogUnavailable):
                    await self.run_ms(owner.append(accept('refused')))
                self.assertLess(self.clock.now_ms() - start_ms, 2_500)
                with self.assertRaises(errors.LogUnavailable):
                    await owner.append(accept('refused'))
                setattr(self.service.faults, fault, False)
                await self.clock.advance_ms(1_000)
                await self.run_ms(owner.append(accept('taken')))
                self.assertEqual(['taken'], list(owner.state.jobs))

    async def test_unknown_is_resolved_later(self):
        """Guard against a batch of unknown outcome that blocks the journal."""
        late = []
        owner = await self.open_owner('a', on_late_confirmation=late.extend)
        await self.clock.advance_ms(self.timing.linger_ms)
        self.service.faults.hang = True
        sent = asyncio.ensure_future(owner.append(accept('sent')))
        await self.clock.settle()
        waiting = asyncio.ensure_future(owner.append(accept('waiting')))
        with self.assertRaises(errors.LogOutcomeUnknown) as caught:
            await self.run_ms(sent)
        self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)
        with self.assertRaises(errors.LogUnavailable):
            await self.run_ms(waiting)
        self.service.faults.hang = False
        await self.clock.advance_ms(5_000)
        await self.run_ms(owner.append(accept('next')))
        self.assertEqual(['sent', 'next'], list(owner.state.jobs))
        self.assertEqual([accept('sent')], late)

    async def test_closed_journal_promises_only_what_it_did_not_send(self):
        """Guard against ``ran: no`` for a batch that arrives at the log."""
        owner = await self.open_owner('a')
        await self.clock.advance_ms(self.timing.linger_ms)
        self.service.faults.late_effects = 1
        sent = asyncio.ensure_future(owner.append(accept('sent')))
        await self.clock.settle()
        waiting = asyncio.ensure_future(owner.append(accept('waiting')))
        await self.clock.settle()
        await owner.__aexit__(None, None, None)
        with self.assertRaises(errors.LogOutcomeUnknown) as caught:
            await sent
        self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)
        with self.assertRaises(errors.LogUnavailable) as caught:
            await waiting
        self.assertEqual(errors.Ran.NO, caught.exception.ran)
        await self.clock.advance_ms(10_000)
        reader = await self.replay()
        self.assertEqual(['sent'], list(reader.state.jobs))

    async def test_append_that_was_not_sent_in_time_is_never_sent(self):
        """Guard against ``ran: no`` for records that are sent afterwards."""
        owner = await self.open_owner('a')
        await self.clock.advance_ms(self.timing.linger_ms)
        self.service.faults.delay_ms = 900
        kept = []
        for job_id in ('first', 'second'):
            kept.append(asyncio.ensure_future(owner.append(accept(job_id))))
            await self.clock.settle()
        with self.assertRaises(errors.LogUnavailable) as caught:
            await self.run_ms(owner.append(accept('late'), timeout_ms=200))
        self.assertEqual(errors.Ran.NO, caught.exception.ran)
        await self.run_ms(asyncio.gather(*kept))
        await self.run_ms(owner.append(accept('next')))
        reader = await self.replay()
        self.assertEqual(['first', 'second', 'next'], list(reader.state.jobs))

    async def test_batches_are_spaced(self):
        """Guard against one append per record under load."""
        owner = await self.open_owner('a')
        await self.clock.advance_ms(1_000)
        starts = self.service.append_arrivals_ms[owner.stream]
        starts.clear()
        start_ms = self.clock.now_ms()
        appends = []
        for number in range(30):
            task = asyncio.ensure_future(owner.append(accept(f'j{number}')))
            appends.append(task)
            await self.clock.advance_ms(5)
        await self.run_ms(asyncio.gather(*appends))
        self.assertEqual(start_ms, starts[0])
        gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), self.timing.linger_ms)
        self.assertLessEqual(len(starts), 5)
        self.assertEqual(30, len(owner.state.jobs))

    async def test_no_confirming_read_at_the_next_offset(self):
        """Guard against one read per append."""
        owner = await self.open_owner('a')
        reads = self.service.requests['GET']
        for number in range(10):
            await self.run_ms(owner.append(accept(f'j{number}')))
        self.assertLessEqual(self.service.requests['GET'] - reads, 1)


class RetentionTest(journal_case.JournalCase):
    """Guard against live jobs lost when old records are trimmed."""

    timing = journal.Timing(log_retention_ms=9_000, result_keep_ms=2_000)

    async def test_snapshot_renews_live_jobs(self):
        """Guard against state that is lost when its records are trimmed."""
        owner = await self.open_owner('a')
        follower = await self.open('b')
        await self.run_ms(owner.append(accept('live', tasks=2)))
        await self.run_ms(owner.append(journal_case.end_task('live')))
        await self.run_ms(
            owner.append(accept('old'), journal_case.end_task('old'))
        )
        await self.clock.advance_ms(30_000)
        reader = await self.replay()
        await self.run_ms(owner.append(accept('later')))
        await self.clock.advance_ms(2_000)
        self.assertGreater(self.service.stream(owner.stream).first_offset, 4)
        self.assertEqual(['live', 'later'], list(owner.state.jobs))
        self.assertEqual(b'1', reader.state.jobs['live'].ended[0].result)
        self.assertTrue(reader.state.complete)
        for one in (follower, reader):
            self.assertEqual(owner.state.dump(), one.state.dump())

    async def test_new_owner_continues_after_a_gap(self):
        """Guard against jobs that a claimant misses after a gap."""
        owner = await self.open_owner('a')
        paused = await self.open('b')
        await self.run_ms(paused.wait_replayed())
        paused.follow(False)
        await self.run_ms(owner.append(accept('j1')))
        await self.clock.advance_ms(30_000)
        await self.run_ms(paused.claim())
        self.assertEqual(['j1'], list(paused.state.jobs))
        await self.clock.advance_ms(1_000)
        self.assertFalse(owner.is_owner)

    async def test_owner_without_history_writes_a_snapshot(self):
        """Guard against readers that stay incomplete after a loss.

        The records were trimmed before the stream held a snapshot.
        """
        lost = await self.open_owner('a', following=False)
        await self.run_ms(lost.append(accept('lost')))
        self.service.trim(lost.stream, lost.tail_offset)
        owner = await self.open_owner('b')
        await self.run_ms(owner.append(accept('j1')))
        await self.clock.advance_ms(1_000)
        self.service.trim(lost.stream, owner.epoch + 1)
        reader = await self.replay()
        self.assertTrue(reader.state.complete)
        self.assertEqual(['j1'], list(reader.state.jobs))
        self.assertEqual('b', reader.latest_claimant)

    async def test_batch_that_was_trimmed_unread_is_not_called_void(self):
        """Guard against ``ran: no`` for records that a later owner has read.

        They took effect without an answer, and were trimmed with the records
        before the later claim.
        """
        owner = await self.open_owner('a')
        await self.clock.advance_ms(self.timing.poll_interval_ms)
        await self.run_ms(owner.append(accept('j0')))
        self.service.faults.late_effects = 1
        self.service.faults.late_effect_ms = 20
        sent = asyncio.ensure_future(owner.append(accept('j1')))
        await self.clock.advance_ms(100)
        other = await self.open_owner('b')
        self.service.trim(owner.stream, other.epoch)
        self.assertFalse(sent.done())
        with self.assertRaises(errors.Deposed) as caught:
            await self.run_ms(sent)
        self.assertEqual(['j0', 'j1'], list(other.state.jobs))
        self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)

    async def test_half_written_snapshot_is_ignored(self):
        """Guard against jobs lost when a claim interrupts a snapshot."""
        timing = journal.Timing(batch_bytes=70_000, linger_ms=100)
        owner = await self.open_owner('a', timing=timing)
        names = [f'j{number}' for number in range(6)]
        for name in names:
            record = accept(name, input=b'x' * 60_000)
            await self.run_ms(owner.append(record))
        snapshot = asyncio.ensure_future(owner.snapshot())
        await self.clock.advance_ms(250)
        self.assertFalse(snapshot.done())
        other = await self.open_owner('b')
        with self.assertRaises(errors.Deposed):
            await self.run_ms(snapshot)
        reader = await self.replay()
        self.assertEqual(0, reader.state.snapshot_count)
        for one in (other, reader):
            self.assertEqual(names, list(one.state.jobs))

    async def test_records_between_snapshot_parts(self):
        """Guard against records undone or delayed by a snapshot.

        They are appended between the parts of the snapshot.
        """
        timing = journal.Timing(batch_bytes=70_000, linger_ms=100)
        owner = await self.open_owner('a', timing=timing)
        for number in range(6):
            record = accept(f'j{number}', input=b'x' * 60_000)
            await self.run_ms(owner.append(record))
        snapshot = asyncio.ensure_future(owner.snapshot())
        await self.clock.advance_ms(150)
        await self.run_ms(owner.append(accept('between')), 300)
        await self.run_ms(owner.append(journal.JobCancelled('j0')), 300)
        self.assertFalse(snapshot.done())
        await self.run_ms(snapshot)
        # The records before the snapshot are trimmed, so that the jobs can
        # only come from the snapshot.
        self.service.trim(owner.stream, 8)
        reader = await self.replay()
        self.assertTrue(reader.state.complete)
        self.assertEqual(owner.state.dump(), reader.state.dump())
        self.assertEqual(
            model.State.QUEUED, reader.state.jobs['between'].state
        )
