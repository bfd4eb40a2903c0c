"""Test messages between daemons with an odd value in each field.

One odd message costs that message only: the receiver goes on, and
well-formed messages are served as before.
"""

import asyncio
import collections.abc
import contextlib
import copy
import typing
import unittest
from unittest import mock
import zlib

import msgspec

from basilspindle.cluster import inventory_collector
from basilspindle.cluster import partition_claim
from basilspindle import coordinator
from basilspindle.coordinator import events as coordinator_events
from basilspindle.daemon import claim_finder
from basilspindle.daemon import holder_directory
from basilspindle.daemon import peer_handlers
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle import journal
from basilspindle import model
from basilspindle.peer import codec
from basilspindle.peer import messages
from basilspindle import routing
from tests import coordinator_case
from tests import fleet_case
from tests import journal_case
from tests import odd_values
from tests.standins import cluster_rig
from tests.standins import manual_clock
from tests.standins import memory_log
from tests import test_config_store
from tests import test_daemon_parts

_VALUES: tuple[typing.Any, ...] = (
    None,
    True,
    -1,
    0,
    1,
    2**53 - 1,
    2**53,
    2**63 - 1,
    2**64 - 1,
    0.5,
    float('nan'),
    float('inf'),
    1e308,
    '',
    'x',
    'x' * 100_000,
    b'x',
    msgspec.Raw(b'\xa1\xff'),
    [],
    {},
    [None],
    [[1]],
    msgspec.Raw(b'\x91' * 100_000 + b'\xc0'),
)
_END_STATES = frozenset(
    {
        model.State.SUCCEEDED,
        model.State.FAILED,
        model.State.CANCELLED,
        model.State.QUEUED,
        model.State.UNKNOWN,
    }
)
_FAILURES = frozenset(
    {
        coordinator_events.DISPATCH_FAILED.name,
        coordinator_events.SWEEP_FAILED.name,
    }
)
_CODEC = codec.Codec()
_Change = collections.abc.Callable[[typing.Any], typing.Any]
_Deliver = collections.abc.Callable[
    [cluster_rig.Daemon, messages.Heartbeat],
    collections.abc.Awaitable[None],
]
# Longest time for which a holder keeps capacity for a hold.
_MAX_HOLD_MS = 60_000
# Longest time until the partition has its owner again: the claim that was
# lost backs off, is repeated and fences the former owner.
_RECOVERY_MS = 60_000


def _odd_samples(
    sample: msgspec.Struct,
) -> collections.abc.Iterator[typing.Any]:
    """Yield the sample as plain data with each odd value in each field."""
    plain = msgspec.msgpack.decode(msgspec.msgpack.encode(sample))
    for path in odd_values._paths(plain):
        for value in _VALUES:
            changed = copy.deepcopy(plain)
            odd_values._set(changed, path, value)
            yield changed
        changed = copy.deepcopy(plain)
        odd_values._remove(changed, path)
        yield changed
    changed = copy.deepcopy(plain)
    if isinstance(changed, dict):
        changed['odd'] = 1
    else:
        changed.append(1)
    yield changed


def _odd_messages(
    sample: msgspec.Struct,
) -> collections.abc.Iterator[typing.Any]:
    """Yield the odd variants of a message that the codec decodes."""
    for plain in _odd_samples(sample):
        data = b'\x00' + msgspec.msgpack.encode(plain)
        try:
            yield _CODEC.decode(data, type(sample))
        except decoding.FAULTS:
            continue


def _setter(path: tuple[typing.Any, ...], value: typing.Any) -> _Change:
    def change(plain: typing.Any) -> typing.Any:
        odd_values._set(plain, path, value)
        return plain

    return change


def _remover(path: tuple[typing.Any, ...]) -> _Change:
    def change(plain: typing.Any) -> typing.Any:
        odd_values._remove(plain, path)
        return plain

    return change


def _describe(sample: typing.Any, message: typing.Any) -> str:
    """Name the fields of a message that differ from those of the sample."""
    if not isinstance(message, msgspec.Struct) or type(message) is not type(
        sample
    ):
        return repr(message)[:200]
    parts = []
    for name in sample.__struct_fields__:
        before, after = getattr(sample, name), getattr(message, name)
        if isinstance(before, list) and isinstance(after, list):
            if before and after and before != after:
                before, after = before[0], after[0]
        if repr(before) != repr(after):
            parts.append(f'{name}: {_describe(before, after)}')
    return '; '.join(parts)


class OddClusterMessageTest(unittest.IsolatedAsyncioTestCase):
    """Guard membership and ownership against one odd message."""

    async def asyncSetUp(self) -> None:
        self.rig = await self.enterAsyncContext(cluster_rig.ClusterRig())
        for member_id in 'abc':
            await self.rig.add(member_id)
        await self.rig.wait_until(self.owner)
        await self.rig.run_ms(2_000)

    def owner(self) -> cluster_rig.Daemon | None:
        """Return the daemon whose starts every daemon accepts."""
        for daemon in self.rig.daemons.values():
            if all(
                daemon in self.rig.accepted_starters(0, holder)
                for holder in self.rig.daemons.values()
            ):
                return daemon
        return None

    def other(self) -> cluster_rig.Daemon:
        owner = self.owner()
        return next(d for d in self.rig.daemons.values() if d is not owner)

    async def check_recovery(self) -> None:
        """Check that all daemons agree on an owner that stays."""
        await self.rig.run_ms(1_000)
        await self.rig.wait_until(self.owner, _RECOVERY_MS)
        await self.rig.run_ms(3_000)
        owner = self.owner()
        self.assertIsNotNone(owner)
        for daemon in self.rig.daemons.values():
            known = daemon.ownership.owner_of(0)
            self.assertIsNotNone(known)
            self.assertEqual(owner.member_id, known.member_id)
            live = {member.member_id for member in daemon.membership.live()}
            self.assertEqual({'a', 'b', 'c'}, live)

    async def check_heartbeats(self, deliver: _Deliver) -> None:
        """Check the members after each odd heartbeat of a member."""
        sender = self.rig.daemons['b']
        receiver = self.rig.daemons['a']
        sample = msgspec.structs.replace(
            sender.build_heartbeat(),
            claims=[messages.Claim(5, 1, True)],
            fenced=[messages.Claim(5, 1, False)],
        )
        for heartbeat in _odd_messages(sample):
            with self.subTest(message=_describe(sample, heartbeat)):
                with mock.patch.object(events, 'emit') as emit:
                    with contextlib.suppress(errors.BasilspindleError):
                        await deliver(receiver, heartbeat)
                    await self.rig.run_ms(1_200)
                emitted = [call.args[0].name for call in emit.call_args_list]
                self.assertNotIn('cluster_step_failed', emitted)
                required = receiver.membership.required_members()
                self.assertEqual(
                    {'b:1', 'c:1'}, {member.address for member in required}
                )
                live = {m.member_id for m in receiver.membership.live()}
                self.assertEqual({'a', 'b', 'c'}, live)
        await self.check_recovery()

    async def test_a_wrong_identity(self) -> None:
        """Guard against a member that is refused or waited for ever.

        A member that is known under a wrong address never answers, and the
        heartbeats of a process count as late after a wrong incarnation.
        """
        receiver = self.rig.daemons['a']
        sender = self.rig.daemons['b']
        for changes in (
            {'address': 'z:9'},
            {'address': 'x'},
            {'member_id': 'z'},
            {'member_id': 'z@1'},
            {'incarnation': 'x'},
            {'incarnation': ''},
        ):
            with self.subTest(**changes):
                heartbeat = msgspec.structs.replace(
                    sender.build_heartbeat(), **changes
                )
                with self.assertRaises(errors.BasilspindleError):
                    await receiver.membership.handle(heartbeat)
                await self.rig.run_ms(3_000)
                await self.check_recovery()
                required = receiver.membership.required_members()
                self.assertEqual(
                    {'b:1', 'c:1'}, {member.address for member in required}
                )

    async def test_a_wrong_identity_of_an_unknown_process(self) -> None:
        """Guard against an odd first heartbeat that shuts the sender out."""
        receiver = self.rig.daemons['a']
        sample = self.rig.daemons['b'].build_heartbeat()
        for number, changes in enumerate(
            ({'address': 'z:9'}, {'member_id': 'z'}), 4
        ):
            member_id = f'd{number}'
            heartbeat = {
                'member_id': member_id,
                'incarnation': f'{1_700_000_000_000 + number}-{member_id}',
                'address': f'{member_id}:1',
            }
            await receiver.membership.handle(
                msgspec.structs.replace(sample, **{**heartbeat, **changes})
            )
            await self.rig.add(member_id)
            await self.rig.run_ms(5_000)
            known = {m.member_id for m in receiver.membership.live()}
            self.assertIn(member_id, known)
            required = receiver.membership.required_members()
            self.assertNotIn('z:9', {member.address for member in required})

    async def test_heartbeats(self) -> None:
        """Guard against a heartbeat that a daemon does not get over."""

        async def deliver(
            receiver: cluster_rig.Daemon, heartbeat: messages.Heartbeat
        ) -> None:
            await receiver.membership.handle(heartbeat)

        await self.check_heartbeats(deliver)

    async def test_replies_to_heartbeats(self) -> None:
        """Guard against a reply that a daemon does not get over."""

        async def deliver(
            receiver: cluster_rig.Daemon, heartbeat: messages.Heartbeat
        ) -> None:
            receiver.membership._handle_reply(
                'b:1', heartbeat, self.rig.clock.now_ms()
            )

        await self.check_heartbeats(deliver)

    async def test_a_fence_of_no_claim(self) -> None:
        """Guard against a fence that stops each later owner."""
        for to_owner in (False, True):
            for epoch in (9, 2**53 - 1, 2**63 - 1):
                daemon = self.owner() if to_owner else self.other()
                fence = messages.Fence(partition=0, epoch=epoch, member_id='x')
                await daemon.ownership.handle_fence(fence)
                await self.check_recovery()

    async def test_fences(self) -> None:
        """Guard against a fence that stops each later owner."""
        sample = messages.Fence(partition=5, epoch=1, member_id='x')
        for fence in _odd_messages(sample):
            await self.other().ownership.handle_fence(fence)
        await self.check_recovery()
        for fence in _odd_messages(
            msgspec.structs.replace(sample, partition=0)
        ):
            with self.subTest(fence=repr(fence)[:200]):
                reply = await self.owner().ownership.handle_fence(fence)
                msgspec.msgpack.encode(reply)
                await self.check_recovery()

    async def test_replies_to_fences(self) -> None:
        """Guard against a reply after which nobody owns the partition."""
        sample = messages.Fenced(epoch=1, active_epoch=1)
        odd_replies: list[typing.Any] = list(_odd_messages(sample))
        for reply in odd_replies:
            with self.subTest(reply=repr(reply)):
                owner = self.owner()
                for daemon in self.rig.daemons.values():
                    if daemon is not owner:
                        self.answer_once(daemon, reply)
                await owner.kill()
                del self.rig.daemons[owner.member_id]
                await self.rig.wait_until(self.owner, _RECOVERY_MS)
                await self.rig.add(owner.member_id)
                await self.rig.run_ms(8_000)
                await self.check_recovery()

    def answer_once(
        self, daemon: cluster_rig.Daemon, reply: typing.Any
    ) -> None:
        """Let a daemon answer its next fence with a reply."""

        async def answer(fence: messages.Fence) -> typing.Any:
            daemon.node.handlers[messages.Fence] = handle
            await handle(fence)
            return reply

        handle = daemon.ownership.handle_fence
        daemon.node.handlers[messages.Fence] = answer

    async def test_a_claim_of_no_epoch(self) -> None:
        """Guard against a heartbeat that stops each later owner."""
        for field in ('claims', 'fenced'):
            sender, receiver = self.owner(), self.other()
            heartbeat = msgspec.structs.replace(
                sender.build_heartbeat(),
                **{field: [messages.Claim(0, 2**53 - 1, True)]},
            )
            await receiver.membership.handle(heartbeat)
            await self.check_recovery()

    async def test_a_reply_with_a_fence_of_no_claim(self) -> None:
        """Guard against a reply that stops each later owner."""
        owner = self.owner()
        for member_id in {'a', 'b', 'c'} - {owner.member_id}:
            daemon = self.rig.daemons[member_id]
            reply = msgspec.structs.replace(
                daemon.build_heartbeat(),
                fenced=[messages.Claim(0, 2**53 - 1, False)],
            )
            owner.membership._handle_reply(
                daemon.node.address, reply, self.rig.clock.now_ms()
            )
            await self.check_recovery()
            owner = self.owner()

    async def test_a_silent_log_keeps_a_fence(self) -> None:
        """Guard against a fence that is dropped without evidence."""
        owner = self.owner()
        epoch = len(self.rig.log.read(0)) + 1
        self.rig.log.down = True
        fence = messages.Fence(partition=0, epoch=epoch, member_id='x')
        await owner.ownership.handle_fence(fence)
        await self.rig.run_ms(20_000)
        with self.assertRaises(errors.Fenced):
            owner.fences.check(0, epoch - 1)

    async def test_a_fence_of_a_claim_stays(self) -> None:
        """Guard against a superseded owner whose tasks start again."""
        holder = self.other()
        owner_epoch = len(self.rig.log.read(0))
        epoch = self.rig.log.append(0, memory_log.Entry(True, 'hidden', 0))
        fence = messages.Fence(partition=0, epoch=epoch, member_id='hidden')
        await holder.ownership.handle_fence(fence)
        await self.rig.run_ms(3_000)
        with self.assertRaises(errors.Fenced):
            holder.fences.check(0, owner_epoch)


class ClaimFinderTest(journal_case.JournalCase):
    """Guard against a wrong answer on whether the log holds a claim."""

    async def test_claims_and_other_records(self) -> None:
        """Guard against a true fence that counts as refuted."""
        opened = await self.open('a')
        epoch = await self.run_ms(opened.claim())
        await self.run_ms(opened.append(journal_case.accept('j1')))
        client = await self.enterAsyncContext(
            journal.LogClient(
                'http://log',
                transport=self.service.transport(),
                clock=self.clock,
            )
        )
        finder = claim_finder.ClaimFinder(client)
        end = opened.tail_offset
        for offset, expected in (
            (epoch, True),
            (end - 1, False),
            (end, False),
            (2**53 - 1, False),
            (2**64 - 1, False),
        ):
            with self.subTest(offset=offset):
                found = await self.run_ms(finder(3, offset))
                self.assertIs(expected, found)
        self.service.trim(opened.stream, end)
        self.assertTrue(await self.run_ms(finder(3, epoch)))
        self.service.stream(opened.stream).append(b'\xc1', 0)
        self.assertTrue(await self.run_ms(finder(3, end)))


class _Holders(coordinator_case.HoldersStandIn):
    """One holder; every other one is lost."""

    def is_lost(self, holder_id: str) -> bool:
        return holder_id != coordinator_case.HOLDER


class OddOwnerMessageTest(coordinator_case.CoordinatorCase):
    """Guard the owner of a partition against one odd message."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)
        await self.restart()

    async def restart(self) -> None:
        """Start a coordinator with a job that runs and one that waits."""
        await self.coordinator.__aexit__()
        self.clock = manual_clock.ManualClock()
        self.holders = _Holders(2)
        self.journal = coordinator_case.JournalStandIn()
        self.coordinator = coordinator.Coordinator(
            self.clock,
            self.holders,
            self.timing,
            lambda partition, since_ms=0: True,
            lambda job: True,
        )
        self.set_limit(-1)
        await self.coordinator.__aenter__()
        self.activate()
        await self.submit(self.job('j1', durable=True))
        (self.key,) = self.holders.started

    async def send(
        self,
        handle: collections.abc.Callable[
            [typing.Any], collections.abc.Awaitable[typing.Any]
        ],
        message: typing.Any,
    ) -> None:
        """Handle a message; only errors of the project may be raised."""
        handling = asyncio.ensure_future(handle(message))
        await self.step(1_000)
        if not handling.done():
            handling.cancel()
        with contextlib.suppress(
            errors.BasilspindleError, asyncio.CancelledError
        ):
            msgspec.msgpack.encode(await handling)

    def has_legitimate_end(self, message: typing.Any) -> bool:
        """Tell whether a message may end the task that runs."""
        if isinstance(message, messages.Cancel):
            return message.job_id == 'j1'
        if not isinstance(message, messages.Report):
            return False
        return any(
            (end.task_id, end.attempt) == self.key and end.state in _END_STATES
            for end in message.ends
        )

    async def check(self, handle: typing.Any, message: typing.Any) -> None:
        """Check that the owner serves its jobs as before."""
        await self.restart()
        legitimate = self.has_legitimate_end(message)
        with mock.patch.object(events, 'emit') as emit:
            await self.send(handle(self.coordinator), message)
            await self.step(2_000)
            if not legitimate:
                await self.step(self.timing.lost_after_ms + 2_000)
                starts = [k for k in self.holders.started if k[0] == 'j1/0']
                self.assertEqual([self.key], starts)
                await self.end(self.key)
                view = await self.view('j1')
                self.assertIs(model.State.SUCCEEDED, view.state)
            for key in list(self.holders.running):
                await self.end(key)
            await self.submit(self.job('j9', durable=True))
            await self.step(1_000)
            keys = [k for k in self.holders.started if k[0] == 'j9/0']
            self.assertEqual(1, len(keys))
            await self.end(keys[0])
            self.assertIs(model.State.SUCCEEDED, (await self.view('j9')).state)
        ended = [
            record.job_id
            for record in self.journal.records
            if isinstance(record, journal.records.TaskEnded)
        ]
        self.assertEqual(1, ended.count('j9'))
        self.assertLessEqual(ended.count('j1'), 2)
        emitted = {call.args[0].name for call in emit.call_args_list}
        self.assertFalse(emitted & _FAILURES, emitted)

    async def check_all(self, handle: typing.Any, sample: typing.Any) -> None:
        for message in _odd_messages(sample):
            with self.subTest(message=_describe(sample, message)):
                await self.check(handle, message)

    async def test_submissions(self) -> None:
        """Guard against a job that stops the jobs after it."""
        await self.check_all(
            lambda owner: owner.submit,
            messages.Submit(partition=0, job=self.job('j5'), wait_ms=10),
        )

    async def test_durable_submissions(self) -> None:
        """Guard against a job that stops each later owner."""
        await self.check_all(
            lambda owner: owner.submit,
            messages.Submit(
                partition=0, job=self.job('j5', durable=True), wait_ms=10
            ),
        )

    async def test_queries(self) -> None:
        """Guard against a query that changes a job."""
        await self.check_all(
            lambda owner: owner.view,
            messages.View(
                partition=0, workspace='red', job_id='j1', wait_ms=10
            ),
        )
        await self.check_all(
            lambda owner: owner.list_jobs,
            messages.ListJobs(partition=0, workspace='red'),
        )
        await self.check_all(
            lambda owner: owner.cancel,
            messages.Cancel(partition=0, workspace='red', job_id='j1'),
        )

    async def test_reports(self) -> None:
        """Guard against a report that loses or doubles a task."""
        end = model.TaskEnd(
            task_id=self.key[0],
            attempt=self.key[1],
            workspace='red',
            partition=0,
            worker_id='worker-1',
            state=model.State.SUCCEEDED,
            result=b'1',
        )
        other = msgspec.structs.replace(end, task_id='j7/0')
        found = self.running_task(*self.key, worker_id='worker-1')
        orphan = self.running_task('j8/0')
        for ends, running in (
            ([end], []),
            ([other], []),
            ([], [found]),
            ([], [orphan]),
        ):
            await self.check_all(
                lambda owner: owner.report,
                messages.Report(
                    holder_id=coordinator_case.HOLDER,
                    partition=0,
                    ends=ends,
                    found=running,
                ),
            )

    async def test_an_end_in_a_state_that_is_no_end(self) -> None:
        """Guard against a task that is started again while it runs."""
        for state in set(model.State) - _END_STATES:
            for started in (False, True):
                end = model.TaskEnd(
                    task_id=self.key[0],
                    attempt=self.key[1],
                    workspace='red',
                    partition=0,
                    worker_id='worker-1',
                    state=state,
                    started=started,
                )
                report = messages.Report(
                    holder_id=coordinator_case.HOLDER, partition=0, ends=[end]
                )
                with self.subTest(state=state, started=started):
                    await self.check(lambda owner: owner.report, report)

    async def test_found_tasks_of_a_job(self) -> None:
        """Guard against a task whose end is refused for its resources.

        They are subtracted at the end of a task, and must be those that
        were added when it was found.
        """
        found = self.running_task('j2/0')
        for message in _odd_messages(
            messages.Report(
                holder_id=coordinator_case.HOLDER,
                partition=0,
                ends=[],
                found=[found],
            )
        ):
            for submit_first in (False, True):
                with self.subTest(
                    message=_describe(found, message.found[:1]),
                    submit_first=submit_first,
                ):
                    await self.check_found(message, submit_first)

    async def check_found(
        self, message: messages.Report, submit_first: bool
    ) -> None:
        await self.restart()
        await self.submit(self.job('j3'))
        small = model.Resources(500, 50, 0, 1)
        if submit_first:
            await self.submit(self.job('j2', resources=small))
        await self.send(self.coordinator.report, message)
        if not submit_first:
            await self.submit(self.job('j2', resources=small))
        for _ in range(2):
            for task in message.found:
                if task.task_id == 'j2/0':
                    await self.end((task.task_id, task.attempt))
            for key in list(self.holders.running):
                await self.end(key)
            await self.step(1_000)
        for job_id in ('j1', 'j2', 'j3'):
            view = await self.view(job_id)
            self.assertIs(model.State.SUCCEEDED, view.state)

    async def test_a_worker_epoch_that_is_too_high(self) -> None:
        """Guard against a lost task that counts as running for ever."""
        found = self.running_task(
            *self.key, worker_id='worker-1', worker_epoch=2**53 - 1
        )
        await self.coordinator.report(
            messages.Report(
                holder_id=coordinator_case.HOLDER,
                partition=0,
                ends=[],
                found=[found],
            )
        )
        await self.end(self.key, model.State.QUEUED, worker_epoch=5)
        for _ in range(4):
            await self.step(20_000)
            if len(self.holders.started) < 2:
                self.coordinator.reconcile(0, [], [])
        await self.step(2_000)
        self.assertEqual(2, len(self.holders.started))


class _OddHolders(_Holders):
    """Change one reply; later ones are as they should be."""

    def __init__(self, slots: int, method: str, change: _Change) -> None:
        super().__init__(slots)
        self.method = method
        self.change: _Change | None = change
        self.answers: dict[tuple[str, int], messages.Placement] = {}

    async def place(
        self, holder_id: str, request: messages.Place
    ) -> messages.Placed:
        """Place tasks; the placement may be told in an odd way."""
        reply = await super().place(holder_id, request)
        return self._change('hold' if request.hold else 'place', reply)

    async def commit(
        self, holder_id: str, request: messages.Commit
    ) -> messages.Committed:
        """Start held tasks once; the answer may be odd."""
        new = [key for key in request.tasks if key in self.held]
        if new:
            await super().commit(
                holder_id, msgspec.structs.replace(request, tasks=new)
            )
        reply = messages.Committed(
            placements=[
                messages.Placement(
                    task_id=key[0], attempt=key[1], worker_id='worker-1'
                )
                for key in request.tasks
            ]
        )
        return self._change('commit', reply)

    def _change(self, method: str, reply: typing.Any) -> typing.Any:
        if method != self.method or self.change is None:
            return reply
        plain = msgspec.msgpack.decode(msgspec.msgpack.encode(reply))
        change, self.change = self.change, None
        data = b'\x00' + msgspec.msgpack.encode(change(plain))
        try:
            return _CODEC.decode(data, type(reply))
        except decoding.FAULTS as error:
            # As the client tells of a reply that cannot be decoded.
            raise errors.PeerOutcomeUnknown(str(error)) from None


class OddHolderReplyTest(coordinator_case.CoordinatorCase):
    """Guard the owner of a partition against one odd reply of a holder."""

    def changes(self) -> collections.abc.Iterator[tuple[str, _Change]]:
        """Yield (description, change of a reply with two placements)."""
        sample = {
            'placements': [
                {
                    'task_id': 'j1/0',
                    'attempt': 1,
                    'worker_id': 'w',
                    'failure_domain': '',
                    'rack': '',
                    'reason': '',
                    'unknown': False,
                }
            ]
            * 2
        }
        for path in odd_values._paths(sample):
            for value in _VALUES:
                yield f'{path} {value!r:.40}', _setter(path, value)
            yield f'{path} left out', _remover(path)
        yield 'reversed', lambda p: {'placements': p['placements'][::-1]}
        yield 'doubled', lambda p: {'placements': p['placements'] * 2}
        yield 'more', lambda p: {**p, 'odd': 1}

    async def check(
        self, method: str, change: _Change, **fields: typing.Any
    ) -> None:
        """Check that each task of a job is started and ended once."""
        await self.coordinator.__aexit__()
        self.clock = manual_clock.ManualClock()
        self.holders = _OddHolders(8, method, change)
        self.journal = coordinator_case.JournalStandIn()
        self.coordinator = coordinator.Coordinator(
            self.clock,
            self.holders,
            self.timing,
            lambda partition, since_ms=0: True,
            lambda job: True,
        )
        self.set_limit(-1)
        await self.coordinator.__aenter__()
        self.activate()
        with mock.patch.object(events, 'emit') as emit:
            await self.submit(self.job('j1', tasks=2, durable=True, **fields))
            await self.step(6_000)
            self.assertIsNone(self.holders.change)
            self.assertEqual(
                ['j1/0', 'j1/1'], sorted(k[0] for k in self.holders.started)
            )
            for key in list(self.holders.running):
                await self.end(key)
        view = await self.view('j1')
        self.assertIs(model.State.SUCCEEDED, view.state)
        ended = [
            record
            for record in self.journal.records
            if isinstance(record, journal.records.TaskEnded)
        ]
        self.assertEqual(2, len(ended))
        emitted = {call.args[0].name for call in emit.call_args_list}
        self.assertFalse(emitted & _FAILURES, emitted)

    async def check_all(self, method: str, **fields: typing.Any) -> None:
        asyncio.get_running_loop().set_debug(False)
        for description, change in self.changes():
            with self.subTest(change=description):
                await self.check(method, change, **fields)

    async def test_placements(self) -> None:
        """Guard against a task that is started twice or waits for ever."""
        await self.check_all('place')

    async def test_holds(self) -> None:
        """Guard against a non-idempotent task that waits for ever."""
        await self.check_all('hold', idempotent=False)

    async def test_commits(self) -> None:
        """Guard against a non-idempotent task that is started twice."""
        await self.check_all('commit', idempotent=False)

    async def test_gangs(self) -> None:
        """Guard against a gang of which a part is started."""
        for method in ('hold', 'commit'):
            await self.check_all(method, gang=True)

    async def test_faults(self) -> None:
        """Guard against a second start after a fault of unknown outcome."""
        asyncio.get_running_loop().set_debug(False)
        sample = messages.Fault(
            kind=errors.BasilspindleError.kind,
            message='failed',
            ran=errors.Ran.UNKNOWN,
        )
        faults = [sample, *_odd_messages(sample)]
        for kind in ('peer_outcome_unknown', 'not_ready', 'fenced', 'x'):
            faults.append(msgspec.structs.replace(sample, kind=kind))
        for method, fields in (
            ('place', {}),
            ('commit', {'idempotent': False}),
            ('commit', {'gang': True}),
        ):
            for fault in faults:

                def fail(plain: typing.Any, fault: typing.Any = fault) -> None:
                    raise errors.build(
                        fault.kind,
                        fault.message,
                        fault.ran,
                        fault.retry_after_ms,
                        fault.job_id,
                    )

                with self.subTest(method=method, fault=repr(fault)[:200]):
                    await self.check(method, fail, **fields)


class _Fleet:
    """The workers of this daemon, as a holder that starts tasks."""

    def __init__(self) -> None:
        self.holders = _Holders(1)

    def free_capacity(self) -> messages.Room:
        """Return the free capacity."""
        return next(self.holders.rooms())[1]

    async def place(self, request: messages.Place) -> messages.Placed:
        """Start tasks."""
        return await self.holders.place('', request)


class _NoClient:
    """A client whose peers never answer."""

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Fail to connect."""
        raise errors.PeerUnavailable('no connection; try again')


class OddCapacityTest(coordinator_case.CoordinatorCase):
    """Guard dispatching against one odd heartbeat."""

    async def check(
        self, odd: messages.Heartbeat, sound: messages.Heartbeat
    ) -> None:
        """Check that tasks start during and after the odd heartbeat."""
        await self.coordinator.__aexit__()
        self.clock = manual_clock.ManualClock()
        fleet = _Fleet()
        self.holders = fleet.holders
        full = model.Resources(8_000, 8_000, 0, 8)
        # Nearly all slots are in use, so that the shares elsewhere count.
        others = [
            test_daemon_parts.make_member(name, room=messages.Room(total=full))
            for name in 'bcd'
        ]
        other = others[0]
        self.coordinator = coordinator.Coordinator(
            self.clock,
            holder_directory.HolderDirectory(
                self.clock,
                test_daemon_parts.MembershipStandIn(
                    test_daemon_parts.make_member('a'), *others
                ),
                _NoClient(),
                fleet,
            ),
            self.timing,
            lambda partition, since_ms=0: True,
            lambda job: True,
        )
        self.set_limit(-1)
        await self.coordinator.__aenter__()
        self.activate()
        with mock.patch.object(events, 'emit') as emit:
            await self.run_job('j1')
            other.update(odd, self.clock.now_ms())
            await self.run_job('j2')
            other.update(sound, self.clock.now_ms())
            await self.run_job('j3')
        emitted = {call.args[0].name for call in emit.call_args_list}
        self.assertFalse(emitted & _FAILURES, emitted)

    async def run_job(self, job_id: str) -> None:
        await self.submit(self.job(job_id))
        await self.step(1_500)
        (key,) = self.holders.running
        self.assertEqual(f'{job_id}/0', key[0])
        await self.end(key)
        view = await self.view(job_id)
        self.assertIs(model.State.SUCCEEDED, view.state)

    async def test_heartbeats(self) -> None:
        """Guard against a reported capacity that stops dispatching."""
        asyncio.get_running_loop().set_debug(False)
        amounts = model.Resources(8_000, 8_000, 0, 8)
        empty = model.Resources()
        sound = test_daemon_parts.make_member(
            'b', room=messages.Room(total=amounts)
        ).heartbeat
        sample = msgspec.structs.replace(
            sound,
            sent_at_ms=5,
            room=messages.Room(1, empty, empty, amounts, amounts),
            waiting_shares=[-1.0, 0.5, 0.5],
        )
        for odd in _odd_messages(sample):
            with self.subTest(message=_describe(sample, odd)):
                await self.check(odd, sound)


class OddHolderMessageTest(fleet_case.FleetCase):
    """Guard the holder of workers against one odd message."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)
        self.fleet = await self.start_fleet(2)
        self.free = self.fleet.free_capacity()
        self.count = 0

    async def send(self, handle: typing.Any, message: typing.Any) -> None:
        handling = asyncio.ensure_future(handle(message))
        await self.clock.advance_ms(500)
        if not handling.done():
            handling.cancel()
        with contextlib.suppress(
            errors.BasilspindleError, asyncio.CancelledError
        ):
            msgspec.msgpack.encode(await handling)

    async def check_serving(self) -> None:
        """Check that a task runs to its end and all capacity is free."""
        self.count += 1
        name = f's{self.count}/0'
        (placement,) = await self.place(
            self.fleet, self.order(name, run_ms=200), advance_ms=100
        )
        self.assertTrue(placement.worker_id, placement)
        await self.clock.advance_ms(3_000)
        end = self.end_of(name)
        self.assertIsNotNone(end)
        self.assertIs(model.State.SUCCEEDED, end.state)
        tasks = self.fleet.dump()['tasks']
        self.assertEqual([], [t for t in tasks if t['phase'] == 'held'])
        if tasks:
            await self.fleet.stop(
                messages.Stop(
                    partition=0,
                    partition_epoch=2**62,
                    tasks=[(t['task_id'], t['attempt']) for t in tasks],
                )
            )
            await self.clock.advance_ms(3_000)
        self.assertEqual(self.free, self.fleet.free_capacity())

    async def test_placements(self) -> None:
        """Guard against an order that costs others, or capacity for ever."""
        for hold in (False, True):
            sample = messages.Place(
                member_id='c1',
                orders=[
                    self.order('odd/0', run_ms=200),
                    self.order('sound/0', run_ms=200),
                ],
                hold=hold,
                hold_ms=500,
            )
            for number, message in enumerate(_odd_messages(sample)):
                sound = self.order(f'b{hold:d}{number}/0', run_ms=200)
                orders = [
                    sound
                    if order.task_id == 'sound/0'
                    else msgspec.structs.replace(
                        order,
                        task_id=order.task_id.replace(
                            'odd/', f'o{hold:d}{number}/'
                        ),
                    )
                    for order in message.orders
                ]
                message = msgspec.structs.replace(message, orders=orders)
                with self.subTest(
                    hold=hold, message=_describe(sample, message)
                ):
                    await self.check_placement(message, sound)

    async def check_placement(
        self, message: messages.Place, sound: model.TaskOrder
    ) -> None:
        placing = asyncio.ensure_future(self.fleet.place(message))
        await self.clock.advance_ms(300)
        reply = await placing
        msgspec.msgpack.encode(reply)
        if sound in message.orders:
            placement = reply.placements[message.orders.index(sound)]
            self.assertTrue(placement.worker_id, placement)
        if message.hold:
            await self.clock.advance_ms(_MAX_HOLD_MS)
        await self.check_serving()

    async def test_other_requests(self) -> None:
        """Guard against a request that stops a holder."""
        key = ('t/0', 1)
        for handle, sample in (
            (
                self.fleet.commit,
                messages.Commit(partition=0, partition_epoch=1, tasks=[key]),
            ),
            (self.fleet.drop, messages.Drop(tasks=[key])),
            (
                self.fleet.stop,
                messages.Stop(partition=0, partition_epoch=1, tasks=[key]),
            ),
            (
                self.fleet.inventory,
                messages.Inventory(
                    partition=0, partition_epoch=1, member_id='c'
                ),
            ),
        ):
            for number, message in enumerate(_odd_messages(sample)):
                with self.subTest(message=_describe(sample, message)):
                    await self.send(handle, message)
                    if number % 5 == 0:
                        await self.check_serving()
            await self.check_serving()

    async def test_a_negative_amount(self) -> None:
        """Guard against an order that adds to the room of its worker."""
        amounts = model.Resources(-(2**40), -(2**40), 0, -(2**40))
        (placement,) = await self.place(
            self.fleet,
            self.order('odd/0', resources=amounts, run_ms=60_000),
            advance_ms=100,
        )
        self.assertEqual('', placement.worker_id)
        self.assertEqual('bad_request', placement.reason)
        self.assertEqual(self.free, self.fleet.free_capacity())
        await self.check_serving()


class PlaceTimeTest(unittest.IsolatedAsyncioTestCase):
    """Guard against a delayed start with a time that is still to come."""

    async def test_a_later_time(self) -> None:
        """Guard against a request that is never too old."""
        clock = manual_clock.ManualClock()
        own = test_daemon_parts.make_member('a')
        handlers = peer_handlers.PeerHandlers(
            clock,
            test_daemon_parts.MembershipStandIn(own),
            None,
            _Fleet(),
            None,
            None,
        )
        for sent_at_ms, valid in (
            (clock.now_ms(), True),
            (clock.now_ms() + 1, False),
            (2**53, False),
            (2**64 - 1, False),
        ):
            request = messages.Place(
                member_id='b',
                orders=[],
                receiver_incarnation='1',
                receiver_time_ms=sent_at_ms,
            )
            with self.subTest(sent_at_ms=sent_at_ms):
                if valid:
                    await handlers.place(request)
                    continue
                with self.assertRaises(errors.PlacementExpired):
                    await handlers.place(request)


class InventoryReplyTest(unittest.IsolatedAsyncioTestCase):
    """Guard a new owner against one odd inventory."""

    async def test_inventories(self) -> None:
        """Guard against tasks that are lost with the holder that is named."""
        rig = await self.enterAsyncContext(cluster_rig.ClusterRig())
        for member_id in 'ab':
            await rig.add(member_id)
        await rig.run_ms(3_000)
        task = model.RunningTask(
            task_id='j1/0',
            attempt=1,
            job_id='j1',
            index=0,
            workspace='red',
            kind='k',
            partition=0,
            worker_id='w',
            failure_domain='',
            rack='',
            resources=model.Resources(),
            holder_id=f'b@{rig.daemons["b"].incarnation}',
        )
        end = model.TaskEnd(
            task_id='j2/0',
            attempt=1,
            workspace='red',
            partition=0,
            worker_id='w',
            state=model.State.SUCCEEDED,
        )
        sample = messages.Inventoried(
            running=[task], ends=[end], workers=['w']
        )
        daemon = rig.daemons['a']
        collector = inventory_collector.InventoryCollector(
            daemon.clock,
            rig.timing,
            daemon.membership._client,
            daemon.membership,
            daemon.membership._vm_list,
            partition_claim.PartitionClaim(0),
            daemon.inventory,
        )
        for odd in _odd_messages(sample):

            async def answer(
                request: messages.Inventory, odd: typing.Any = odd
            ) -> messages.Inventoried:
                return odd

            rig.daemons['b'].node.handlers[messages.Inventory] = answer
            with self.subTest(message=_describe(sample, odd)):
                found = await rig.run_until_complete(collector.run())
                self.assertEqual(len(odd.running), len(found.running))
                for running in found.running:
                    self.assertIn(running.holder_id, ('', task.holder_id))


class _Owner:
    """An owner elsewhere that gives one odd reply before sound ones."""

    def __init__(self, odd: typing.Any, sound: typing.Any) -> None:
        self.replies = [odd, sound]

    def partition_of(self, workspace: str) -> int:
        """Return the only partition."""
        return 0

    def owner_address(self, partition: int) -> str:
        """Return the address of another daemon."""
        return 'b:1'

    async def call(
        self, address: str, request: msgspec.Struct, timeout_ms: int
    ) -> typing.Any:
        """Return the next reply."""
        return self.replies.pop(0) if self.replies[1:] else self.replies[0]


class OddOwnerReplyTest(coordinator_case.CoordinatorCase):
    """Guard callers against one odd reply of an owner."""

    async def check(
        self, request: typing.Any, odd: typing.Any, sound: typing.Any
    ) -> None:
        owner = _Owner(odd, sound)
        router = routing.Router(self.clock, owner, owner, {})
        calling = asyncio.ensure_future(router.call(request, 5_000))
        await self.step(2_000)
        reply = await calling
        views = getattr(reply, 'views', None)
        if views is None:
            views = [reply.view] if reply.view else []
        for view in views:
            self.assertEqual('red', view.workspace)
            # A list may hold any job after the one that the request names.
            self.assertGreater(view.job_id, 'j0')
            if not isinstance(reply, messages.JobList):
                self.assertEqual('j1', view.job_id)
        if isinstance(reply, messages.Submitted):
            self.assertEqual('j1', reply.job_id)

    async def test_replies(self) -> None:
        """Guard against a caller who is shown the job of another one."""
        asyncio.get_running_loop().set_debug(False)
        self.activate()
        await self.submit(self.job('j1'))
        view = await self.view('j1')
        other = msgspec.structs.replace(view, job_id='j0', workspace='blue')
        for request, sound in (
            (
                messages.Submit(partition=0, job=self.job('j1')),
                messages.Submitted(job_id='j1', repeated=False, view=view),
            ),
            (
                messages.View(partition=0, workspace='red', job_id='j1'),
                messages.Viewed(view=view),
            ),
            (
                messages.Cancel(partition=0, workspace='red', job_id='j1'),
                messages.Cancelled(view=view),
            ),
            (
                messages.ListJobs(partition=0, workspace='red', after='j0'),
                messages.JobList(views=[view], more=False),
            ),
        ):
            odd_replies = list(_odd_messages(sound))
            if isinstance(sound, messages.JobList):
                odd_replies.append(messages.JobList(views=[other], more=True))
            else:
                odd_replies.append(msgspec.structs.replace(sound, view=other))
            for odd in odd_replies:
                with self.subTest(odd=_describe(sound, odd)):
                    await self.check(request, odd, sound)


class OddConfigurationTest(unittest.IsolatedAsyncioTestCase):
    """Guard a daemon against one odd configuration of a peer."""

    asyncSetUp = test_config_store.StoreTest.asyncSetUp
    start = test_config_store.StoreTest.start

    async def test_publications(self) -> None:
        """Guard against a record that takes the configuration away."""
        asyncio.get_running_loop().set_debug(False)
        one = await self.start()
        for number in range(2):
            await one.publish(
                test_config_store.make_base(['w1']), b'{}', number, 'ops'
            )
        sample = msgspec.msgpack.decode(
            zlib.decompress(one.record_if_newer(0))
        )
        request = messages.GetConfiguration(above_version=0)
        for odd in _odd_messages(request):
            one.record_if_newer(odd.above_version)
        records = [b'', b'x', zlib.compress(b'\xc1'), zlib.compress(b'')]
        for path in odd_values._paths(sample):
            for value in (*_VALUES, b'[' * 100_000, b'{"keys": 1}'):
                changed = copy.deepcopy(sample)
                odd_values._set(changed, path, value)
                records.append(zlib.compress(msgspec.msgpack.encode(changed)))
        for record in records:
            with self.subTest(record=repr(record)[:100]):
                two = await self.start(test_config_store.MemoryLog(self.clock))
                await two.publish(
                    test_config_store.make_base(), b'{}', 0, 'ops'
                )
                two.adopt_if_newer(record)
                self.assertGreater(two.version, 0)
                self.assertIsNotNone(two.current.document)
                await two.publish(
                    test_config_store.make_base(['w2']),
                    b'{}',
                    two.version,
                    'ops',
                )


class CodecTest(unittest.TestCase):
    """Guard the reader of a connection against bytes of another build."""

    def test_bytes(self) -> None:
        """Guard against an error that ends the connection's reader."""
        types: set[typing.Any] = {
            messages.Fault,
            *messages.REPLIES,
            *messages.REPLIES.values(),
        }
        for message_type in types:
            for tag in (b'', b'\x00', b'\x01', b'\xff'):
                for body in (
                    b'',
                    b'\xc1',
                    b'\x80',
                    b'\x90',
                    b'\x91' * 100_000,
                    b'\x81\xa1x' * 100_000,
                    b'\xdd\xff\xff\xff\xff',
                    b'\xa1\xff',
                    b'x' * 100_000,
                ):
                    with self.subTest(type=message_type, body=body[:9]):
                        with contextlib.suppress(*decoding.FAULTS):
                            _CODEC.decode(tag + body, message_type)
