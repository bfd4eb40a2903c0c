"""Guard against daemons with different configurations in force."""

import asyncio
import json
import pathlib
import types
import unittest

from basilspindle import config
from basilspindle import errors
from tests.standins import manual_clock

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
_BASE = json.loads((_EXAMPLES / 'base.json').read_text())
_OVERLAY = b'{}'
_RETENTION_MS = 60_000
_BASE['timing'] = {'log_retention_ms': _RETENTION_MS}


def make_base(drained=(), **members):
    """Return a valid base document that differs by its drained workers."""
    value = {**_BASE, 'workers': {'drained': list(drained)}, **members}
    return json.dumps(value).encode()


class MemoryLog:
    """In-memory log with one stream.

    ``down`` refuses all calls and ``silent`` leaves reads unanswered.
    ``record_ms`` is the time that a reader's link needs for a record.
    ``lost`` holds the faults of the next appends: None refuses the append,
    True and False lose the answer with and without appending.
    """

    def __init__(self, clock):
        self.records = []
        self.first = 1
        self.down = False
        self.silent = False
        self.record_ms = 0
        self.lost = []
        self._clock = clock
        self._appended = asyncio.Event()

    @property
    def next(self):
        return self.first + len(self.records)

    def put(self, data):
        """Append a record, ignoring the faults that are set."""
        self.records.append((data, self._clock.now_ms()))
        self._appended.set()
        self._appended = asyncio.Event()
        return self.next - 1

    def trim(self, first):
        """Remove the records below an offset."""
        del self.records[: first - self.first]
        self.first = first

    async def append(self, stream, data):
        """Append a record, or fail as the test has set."""
        if self.down:
            raise errors.LogUnavailable('down')
        if self.lost:
            effect = self.lost.pop(0)
            if effect is None:
                raise errors.LogUnavailable('refused')
            if effect:
                self.put(data)
            raise errors.LogOutcomeUnknown('lost')
        return self.put(data)

    async def read(self, stream, from_offset, limit, wait_ms):
        """Return the records from an offset, waiting if there are none."""
        if self.silent:
            await asyncio.Event().wait()
        if self.down:
            raise errors.LogUnavailable('down')
        if from_offset < self.first:
            raise errors.LogTrimmed('trimmed', first_offset=self.first)
        if from_offset >= self.next and wait_ms:
            try:
                await self._clock.wait_for(self._appended.wait(), wait_ms)
            except errors.DeadlineExceeded:
                pass
        chunk = self.chunk(from_offset, limit)
        if self.record_ms and chunk.records:
            await self._clock.sleep_ms(self.record_ms * len(chunk.records))
        return chunk

    def chunk(self, from_offset, limit):
        """Return the records from an offset without waiting."""
        start = from_offset - self.first
        records = [
            types.SimpleNamespace(
                offset=from_offset + index,
                data=data,
                age_ms=self._clock.now_ms() - at_ms,
            )
            for index, (data, at_ms) in enumerate(
                self.records[start : start + limit]
            )
        ]
        after = from_offset + len(records)
        return types.SimpleNamespace(
            first=self.first, next=after, records=records
        )


class StubPeers:
    """Peers without a configuration unless the test sets a record."""

    def __init__(self):
        self.record = b''
        self.fetch_count = 0

    async def fetch_configuration(self, above_version):
        self.fetch_count += 1
        return self.record


class HistoryTest(unittest.TestCase):
    """Guard against a wrong head after records were trimmed unread."""

    def setUp(self):
        self.history = config.History()

    def apply(self, offset, author, version, from_offset, accepted_offset=0):
        """Apply a record and return the author of the head."""
        self.history.apply(
            offset,
            config.Publication(
                version=version,
                from_version=version - 1,
                from_offset=from_offset,
                accepted_offset=accepted_offset,
                refresh=accepted_offset > 0,
                author=author,
                wall_ms=0,
                base=b'{}',
                overlay=b'{}',
            ),
        )
        return self.history.head.publication.author

    def test_rejected_publish_with_trimmed_winner(self):
        """Guard against a rejected publish that stays the head.

        The reader starts after the accepted publish was trimmed.
        """
        self.history.note_trimmed(range(1, 10))
        self.assertEqual('lost', self.apply(10, 'lost', 5, 7))
        self.assertFalse(self.history.proven)
        self.assertEqual('lost', self.apply(11, 'late', 5, 7))
        self.assertEqual('lost', self.apply(12, 'old', 4, 6))
        self.assertEqual('next', self.apply(13, 'next', 6, 9))
        self.assertEqual('after', self.apply(14, 'after', 7, 13))
        self.assertTrue(self.history.proven)
        self.assertEqual('after', self.apply(15, 'late', 6, 9))

    def test_refresh_replaces_only_what_is_not_proven(self):
        """Guard against a refresh that replaces a proven head."""
        self.history.note_trimmed(range(1, 10))
        self.apply(10, 'lost', 5, 7)
        self.assertEqual('won', self.apply(11, 'won', 5, 7, 9))
        self.assertEqual('won', self.apply(12, 'lost', 5, 7, 10))
        self.assertEqual('won', self.apply(13, 'old', 4, 6, 7))
        self.assertEqual(9, self.history.head.offset)

    def test_trim_after_the_head(self):
        """Guard against a reader that reverts or stays behind after a gap."""
        self.assertEqual('first', self.apply(1, 'first', 1, 0))
        self.assertTrue(self.history.proven)
        self.history.note_trimmed(range(2, 6))
        self.assertEqual('first', self.apply(6, 'zero', 1, 0))
        self.assertEqual('maybe', self.apply(7, 'maybe', 2, 1))
        self.assertFalse(self.history.proven)
        self.assertEqual('newer', self.apply(8, 'newer', 4, 5))


class StoreTest(unittest.IsolatedAsyncioTestCase):
    """Run several stores on one log and one clock."""

    async def asyncSetUp(self):
        self.clock = manual_clock.ManualClock()
        self.log = MemoryLog(self.clock)
        self.peers = StubPeers()
        self.count = 0

    async def start(self, log=None, **options):
        """Return a running store that has read the log."""
        self.count += 1
        store = config.ConfigStore(
            self.clock,
            log or self.log,
            member_id=f'entry-{self.count}',
            peers=self.peers,
            **options,
        )
        await self.enterAsyncContext(store)
        await self.clock.settle()
        return store

    async def finish(self, awaitable):
        """Advance the clock until a call ends; return its result."""
        task = asyncio.ensure_future(awaitable)
        for _ in range(200):
            await self.clock.advance_ms(100)
            if task.done():
                return task.result()
        raise AssertionError('the call does not end')

    async def test_publish_reaches_every_store(self):
        """Guard against a publish that some daemon never applies."""
        one, two = await self.start(), await self.start()
        seen = []
        two.subscribe(lambda accepted: seen.append(accepted.version))
        version = await one.publish(make_base(), _OVERLAY, 0, 'ops')
        await self.clock.settle()
        self.assertEqual((1, 1, 1), (version, one.version, two.version))
        self.assertEqual([], two.current.document.workers.drained)
        await two.publish(make_base(['w1']), _OVERLAY, 1, 'ops')
        await self.clock.settle()
        self.assertEqual(['w1'], one.current.document.workers.drained)
        self.assertEqual([1, 2], seen)

    async def test_conflict_names_the_accepted_publish(self):
        """Guard against accepting two publishes from one version."""
        one, two = await self.start(), await self.start()
        await one.publish(make_base(), _OVERLAY, 0, 'ops')
        await self.clock.settle()
        results = await asyncio.gather(
            one.publish(make_base(['w1']), _OVERLAY, 1, 'ann'),
            two.publish(make_base(['w2']), _OVERLAY, 1, 'bob'),
            return_exceptions=True,
        )
        await self.clock.settle()
        self.assertEqual(2, results[0])
        self.assertIsInstance(results[1], errors.VersionConflict)
        self.assertEqual((2, 'ann'), (results[1].version, results[1].author))
        self.assertEqual(self.clock.wall_ms(), results[1].wall_ms)
        self.assertEqual(['w1'], two.current.document.workers.drained)
        self.assertEqual(2, two.version)

    async def test_publish_from_another_version_is_refused(self):
        """Guard against a publish that overwrites changes it did not see."""
        store = await self.start()
        await store.publish(make_base(), _OVERLAY, 0, 'ops')
        before = self.log.next
        for from_version in (0, 2):
            with self.assertRaises(errors.VersionConflict) as caught:
                await store.publish(
                    make_base(['w1']), _OVERLAY, from_version, 'ann'
                )
            self.assertEqual('ops', caught.exception.author)
        with self.assertRaises(errors.ConfigurationInvalid):
            await store.publish(b'{}', _OVERLAY, 1, 'ann')
        self.assertEqual(before, self.log.next)

    async def test_lost_answers(self):
        """Guard against a lost answer that doubles or drops a publish."""
        cases = [[True], [False], [False, True], [True, True, False]]
        store = await self.start()
        for version, lost in enumerate(cases):
            self.log.lost = list(lost)
            base = make_base([f'w{version}'])
            found = await self.finish(
                store.publish(base, _OVERLAY, version, 'ops')
            )
            self.assertEqual(version + 1, found)
            self.assertEqual(version + 1, store.version)

    async def test_repeated_publish_counts_as_success(self):
        """Guard against a conflict with the caller's own lost publish."""
        one, two = await self.start(), await self.start()
        await one.publish(make_base(['w1']), _OVERLAY, 0, 'ops')
        again = await two.publish(make_base(['w1']), b' {} ', 0, 'ops')
        self.assertEqual(1, again)
        with self.assertRaises(errors.VersionConflict):
            await two.publish(make_base(['w1']), _OVERLAY, 0, 'ann')
        await one.publish(make_base(['w2']), _OVERLAY, 1, 'ops')
        late = await two.publish(make_base(['w1']), _OVERLAY, 0, 'ops')
        self.assertEqual((1, 2), (late, two.version))

    async def test_publish_without_the_log(self):
        """Guard against "not published" for what may take effect later."""
        store = await self.start()
        await store.publish(make_base(), _OVERLAY, 0, 'ops')
        self.log.down = True
        with self.assertRaises(errors.LogUnavailable) as caught:
            await store.publish(make_base(['w1']), _OVERLAY, 1, 'ops')
        self.assertEqual(errors.Ran.NO, caught.exception.ran)
        self.log.down = False
        for later in (False, None):
            self.log.lost = [False] + [later] * 1000
            with self.assertRaises(errors.OutcomeUnknown) as caught:
                await self.finish(
                    store.publish(make_base(['w1']), _OVERLAY, 1, 'ops')
                )
            self.assertEqual(errors.Ran.UNKNOWN, caught.exception.ran)

    async def test_late_reader_of_a_trimmed_log(self):
        """Guard against a reader that accepts a rejected publish.

        The accepted publish of the same version was trimmed.
        """
        one, two = await self.start(), await self.start()
        await one.publish(make_base(), _OVERLAY, 0, 'ops')
        await self.clock.settle()
        await asyncio.gather(
            one.publish(make_base(['won']), _OVERLAY, 1, 'ann'),
            two.publish(make_base(['lost']), _OVERLAY, 1, 'bob'),
            return_exceptions=True,
        )
        self.log.trim(3)
        lost = config.decode(self.log.records[0][0])
        self.assertEqual('bob', lost.author)
        await one.publish(make_base(['next']), _OVERLAY, 2, 'ops')
        late = await self.start()
        self.assertEqual(3, late.version)
        self.assertEqual(['next'], late.current.document.workers.drained)

    async def test_refresh_corrects_a_late_reader(self):
        """Guard against the same if a refresh follows, not a publish."""
        one, two = await self.start(), await self.start()
        await one.publish(make_base(), _OVERLAY, 0, 'ops')
        await self.clock.settle()
        await asyncio.gather(
            one.publish(make_base(['won']), _OVERLAY, 1, 'ann'),
            two.publish(make_base(['lost']), _OVERLAY, 1, 'bob'),
            return_exceptions=True,
        )
        self.assertFalse(await two.refresh_if_due(True))
        await self.clock.advance_ms(_RETENTION_MS // 3 + 1)
        self.assertFalse(await one.refresh_if_due(False))
        self.assertTrue(await two.refresh_if_due(True))
        self.assertTrue(await one.refresh_if_due(True))
        await self.clock.settle()
        self.assertFalse(await two.refresh_if_due(True))
        self.log.trim(3)
        late = await self.start()
        self.assertEqual((2, 2, 2), (late.version, one.version, two.version))
        self.assertEqual(['won'], late.current.document.workers.drained)
        await late.publish(make_base(), _OVERLAY, 2, 'ops')
        await self.clock.settle()
        self.assertEqual((3, 3), (one.version, two.version))

    async def test_late_refresh_of_an_old_version(self):
        """Guard against a late refresh that reverts to an old version."""
        one = await self.start()
        await one.publish(make_base(['w1']), _OVERLAY, 0, 'ops')
        old = one.record_if_newer(0)
        await one.publish(make_base(['w2']), _OVERLAY, 1, 'ops')
        self.log.put(old)
        late = await self.start()
        for store in (one, late):
            self.assertEqual(['w2'], store.current.document.workers.drained)
        await late.publish(make_base(['w3']), _OVERLAY, 2, 'ops')
        await self.clock.settle()
        self.assertEqual((3, 3), (one.version, late.version))

    async def test_reader_behind_trimmed_records(self):
        """Guard against a reader that stops or reverts after a gap."""
        one = await self.start()
        await one.publish(make_base(), _OVERLAY, 0, 'ops')
        other = MemoryLog(self.clock)
        other.records = list(self.log.records)
        behind = await self.start(other)
        self.assertEqual(1, behind.version)
        for version in (1, 2, 3):
            await one.publish(
                make_base([f'w{version}']), _OVERLAY, version, 'x'
            )
        other.records = list(self.log.records)
        other.trim(4)
        await self.clock.advance_ms(2000)
        self.assertEqual(4, behind.version)
        self.assertEqual(one.current.publication, behind.current.publication)

    async def test_peer_records_never_lower_the_version(self):
        """Guard against a peer that reverts a daemon to an old version."""
        one = await self.start()
        await one.publish(make_base(), _OVERLAY, 0, 'ops')
        old = one.record_if_newer(0)
        await one.publish(make_base(['w1']), _OVERLAY, 1, 'ops')
        new = one.record_if_newer(1)
        self.assertEqual(b'', one.record_if_newer(2))
        apart = await self.start(MemoryLog(self.clock))
        self.assertFalse(apart.adopt_if_newer(b'x'))
        self.assertFalse(apart.adopt_if_newer(self.log.records[0][0]))
        self.assertTrue(apart.adopt_if_newer(new))
        self.assertFalse(apart.adopt_if_newer(old))
        self.assertEqual(2, apart.version)
        self.assertEqual(one.current.publication, apart.current.publication)
        apart_log = apart._log
        apart_log.put(self.log.records[0][0])
        await self.clock.advance_ms(2000)
        self.assertEqual(2, apart.version)

    async def test_publish_based_on_peer_configuration(self):
        """Guard against a publish that readers of an emptied log reject."""
        one = await self.start()
        await one.publish(make_base(['w1']), _OVERLAY, 0, 'ops')
        emptied = MemoryLog(self.clock)
        two = await self.start(emptied)
        two.adopt_if_newer(one.record_if_newer(0))
        await two.publish(make_base(['w2']), _OVERLAY, 1, 'ops')
        late = await self.start(emptied)
        self.assertEqual((2, 2), (two.version, late.version))

    async def test_start_without_the_log_asks_the_peers(self):
        """Guard against a daemon that does not start while the log is down."""
        one = await self.start()
        await one.publish(make_base(), _OVERLAY, 0, 'ops')
        down = MemoryLog(self.clock)
        down.down = True
        late = await self.start(down)
        with self.assertRaises(errors.NotReady):
            late.check_fresh()
        self.peers.record = one.record_if_newer(0)
        await self.clock.advance_ms(1000)
        self.assertEqual(1, late.version)
        with self.assertRaises(errors.ConfigurationStale):
            late.check_fresh()
        late.note_peer_confirmation(self.clock.now_ms())
        late.check_fresh()

    async def test_trimmed_empty_log_asks_the_peers(self):
        """Guard against publishing a first version twice."""
        one = await self.start()
        await one.publish(make_base(), _OVERLAY, 0, 'ops')
        self.peers.record = one.record_if_newer(0)
        self.log.trim(2)
        late = await self.start()
        self.assertEqual(1, late.version)
        await self.clock.advance_ms(2_000)
        self.assertTrue(await late.refresh_if_due(True))
        self.peers.record = b''
        later = await self.start()
        self.assertEqual(1, later.version)

    async def test_stale_configuration_refuses_keys(self):
        """Guard against a withdrawn key that is still accepted."""
        text, sha256 = config.Keyring.generate('web-1')
        keys = {
            'web-1': {'role': 'caller', 'workspace': 'web', 'sha256': sha256}
        }
        store = await self.start()
        await store.publish(make_base(keys=keys), _OVERLAY, 0, 'ops')
        await self.clock.advance_ms(60_000)
        self.assertEqual('web', store.authenticate(text).workspace)
        self.log.down = True
        await self.clock.advance_ms(1_600)
        self.assertEqual('web', store.authenticate(text).workspace)
        await self.clock.advance_ms(2_000)
        with self.assertRaises(errors.ConfigurationStale):
            store.authenticate(text)
        self.assertTrue(store.key_belongs_to('web-1', 'web'))
        self.log.down = False
        await self.clock.advance_ms(500)
        self.assertEqual('web', store.authenticate(text).workspace)
        await store.publish(make_base(keys={}), _OVERLAY, 1, 'ops')
        with self.assertRaises(errors.KeyInvalid):
            store.authenticate(text)
        self.assertFalse(store.key_belongs_to('web-1', 'web'))

    async def test_unanswered_read_times_out(self):
        """Guard against a follower that waits forever for an answer."""
        store = await self.start()
        await store.publish(make_base(), _OVERLAY, 0, 'ops')
        self.log.silent = True
        await self.clock.advance_ms(3_000)
        with self.assertRaises(errors.ConfigurationStale):
            store.check_fresh()
        self.log.silent = False
        await self.clock.advance_ms(6_000)
        store.check_fresh()

    async def test_records_are_read_over_a_narrow_link(self):
        """Guard against a daemon that never reads the configuration.

        A read that took longer than its timeout was repeated as it was.
        """
        first = await self.start()
        for version in range(20):
            await first.publish(
                make_base([f'w{version}']), _OVERLAY, version, 'ops'
            )
        self.log.record_ms = 400
        late = await self.start()
        await self.clock.advance_ms(40_000)
        self.assertEqual(20, late.version)

    async def test_bootstrap_key_ends_with_the_first_configuration(self):
        """Guard against a bootstrap key that stays valid after a publish."""
        text, sha256 = config.Keyring.generate('first')
        store = await self.start(bootstrap_operator_sha256=sha256)
        found = store.authenticate(text)
        self.assertEqual(('first', 'operator'), (found.key_id, found.role))
        with self.assertRaises(errors.KeyInvalid):
            store.authenticate(config.Keyring.generate('first')[0])
        plain = await self.start()
        with self.assertRaises(errors.KeyInvalid):
            plain.authenticate('')
        self.log.down = True
        await self.clock.advance_ms(5_000)
        with self.assertRaises(errors.NotReady):
            store.authenticate(text)
        self.log.down = False
        await self.clock.advance_ms(1_000)
        await store.publish(make_base(), _OVERLAY, 0, 'first')
        with self.assertRaises(errors.KeyInvalid):
            store.authenticate(text)

    async def test_invalid_records_are_skipped(self):
        """Guard against one invalid record that stops every daemon."""
        store = await self.start()
        self.log.put(b'garbage')
        await store.publish(make_base(), _OVERLAY, 0, 'ops')
        unreadable = config.Publication(
            version=2,
            from_version=1,
            from_offset=2,
            author='newer',
            wall_ms=0,
            base=b'{"cell": 5}',
            overlay=b'{}',
        )
        self.log.put(config.encode(unreadable))
        await self.clock.settle()
        self.assertEqual(2, store.version)
        with self.assertRaisesRegex(errors.NotReady, 'update the daemon'):
            store.check_fresh()
        await store.publish(make_base(), _OVERLAY, 2, 'ops')
        self.assertEqual(3, store.current.version)

    async def test_dump_and_failing_callback(self):
        """Guard against hashes in a dump and callbacks that block others."""
        store = await self.start()
        seen = []
        store.subscribe(lambda accepted: 1 / 0)
        stop = store.subscribe(lambda accepted: seen.append(accepted.version))
        await store.publish(make_base(), _OVERLAY, 0, 'ops')
        stop()
        await store.publish(make_base(['w1']), _OVERLAY, 1, 'ops')
        self.assertEqual([1], seen)
        text = json.dumps(store.dump())
        self.assertIn('"ops-1"', text)
        for key in _BASE['keys'].values():
            self.assertNotIn(key['sha256'], text)
