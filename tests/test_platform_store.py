"""Test the client of the platform's log, with faults."""

import asyncio
import io
import json
import time
import unittest
import unittest.mock
import urllib.parse

import loguru
import msgspec

from basilspindle.cell import claim as claim_module
from basilspindle import errors
from basilspindle import events
from basilspindle.platform import client as client_module
from basilspindle.platform import registry as registry_module
from basilspindle.platform import store as store_module
from tests import odd_values
from tests.standins import platform

_STREAM = 'jobs'
# A new leader has to be found within the shortest deadline of callers, 3 s, so
# a claim may take only a fraction of that.
_MAX_LOST_CLAIM_S = 0.5
# A configuration has to be in force within 2 s at the strictest site, so a
# connection that went silent has to be noticed before.
_MAX_STALL_S = 2.0


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a client of the stand-in store."""

    async def asyncSetUp(self):
        self.standin = platform.StandinStore()
        await self.enterAsyncContext(self.standin)
        self.client = await self.enterAsyncContext(client_module.Client())
        self.store = self.open_store()

    def open_store(self):
        return store_module.LogStore(self.client, self.standin.server.address)

    def fail_appends(self, fault):
        self.standin.server.fault = lambda request: (
            fault if request.path.endswith('log-append') else ''
        )


class AppendTest(StoreCase):
    """Test appends with an epoch."""

    async def append(self, sequence, value, epoch=1):
        await self.store.append(_STREAM, [('k', value)], epoch, sequence, 300)

    async def test_faults_by_kind(self):
        """Guard against a fault that raises the wrong error."""
        no_effect, unknown = errors.LogUnavailable, errors.LogOutcomeUnknown
        cases = [
            ('429', no_effect),
            ('503', no_effect),
            ('507', no_effect),
            ('500', unknown),
            ('silent', unknown),
            ('reset', unknown),
            ('lost', unknown),
        ]
        for fault, expected in cases:
            with self.subTest(fault=fault):
                self.fail_appends(fault)
                with self.assertRaises(expected):
                    await self.append(1, b'x')
                self.fail_appends('')

    async def test_a_repeat_after_a_lost_answer_appends_once(self):
        """Guard against a record that is appended twice."""
        self.fail_appends('lost')
        with self.assertRaises(errors.LogOutcomeUnknown):
            await self.append(1, b'x')
        self.fail_appends('')
        await self.append(1, b'x')
        self.assertEqual(1, await self.store.probe_end('jobs'))

    async def test_an_old_repeat_is_known_to_have_taken_effect(self):
        """Guard against a leader that steps down because of its own append."""
        for sequence in range(1, 9):
            await self.append(sequence, b'x')
        await self.append(1, b'x')
        self.assertEqual(8, await self.store.probe_end('jobs'))

    async def test_a_fenced_leader_appends_nothing(self):
        """Guard against records from a leader that was replaced."""
        await self.append(1, b'x', epoch=1)
        await self.store.fence(_STREAM, 2)
        with self.assertRaises(errors.Deposed):
            await self.append(2, b'y', epoch=1)
        with self.assertRaises(errors.Deposed):
            await self.store.fence(_STREAM, 1)
        values, _ = await self.store.read_latest(_STREAM)
        self.assertEqual({'k': b'x'}, values)

    async def test_nothing_listens(self):
        """Guard against an unsent append reported as of unknown outcome."""
        await self.standin.server.__aexit__()
        with self.assertRaises(errors.LogUnavailable):
            await self.append(1, b'x')


class _Pages:
    """Lists keys by their bytes, at most 500 a page."""

    def __init__(self, keys):
        self._keys = sorted(keys)
        self.statuses = []

    async def call(self, address, method, path, *_, **__):
        query = urllib.parse.parse_qs(path.partition('?')[2])
        after = query.get('after', [''])[0].encode()
        keys = [key for key in self._keys if key > after]
        items = [
            {'key': key.decode(errors='replace'), 'value': 'dg=='}
            for key in keys[:500]
        ]
        page = {
            'items': items,
            'end': len(self._keys),
            'more': len(keys) > len(items),
        }
        status = self.statuses.pop(0) if self.statuses else 200
        return client_module.Response(status, json.dumps(page).encode())


class ReadTest(StoreCase):
    """Test reads of whole streams and of new records."""

    async def test_newest_reads_all_pages_and_drops_removed_keys(self):
        """Guard against a new leader that misses jobs after the first page."""
        records = [(f'{n:04}', b'v') for n in range(1_201)]
        await self.store.put(_STREAM, records)
        await self.store.put(_STREAM, [('0007', None)])
        values, end = await self.store.read_latest(_STREAM)
        self.assertEqual(1_200, len(values))
        self.assertEqual(1_202, end)

    async def test_the_end_leaves_out_nothing_that_changed_meanwhile(self):
        """Guard against missing changes made between two pages."""
        for number in range(700):
            self.standin.put(f'keyed.{_STREAM}', f'k{number:03}', b'old')
        before = self.standin._topic(f'keyed.{_STREAM}').end

        def change(request):
            if request.query.get('after'):
                self.standin.put(f'keyed.{_STREAM}', 'k000', b'new')
            return ''

        self.standin.server.fault = change
        values, end = await self.store.read_latest(_STREAM)
        self.assertEqual(b'old', values['k000'])
        chunk = await self.store.read(_STREAM, end, 0)
        self.assertEqual(before, end)
        self.assertIn(('k000', b'new'), chunk.records)

    async def test_keys_that_are_no_text_hide_no_others(self):
        """Guard against jobs and workers that a new leader does not see.

        A page of such keys was read twice, and the second reading counted as
        the end of the listing.
        """
        pages = _Pages(
            [b'd0001', b'roster', *(b'd\xff%04d' % n for n in range(1_000))]
        )
        store = store_module.LogStore(pages, '')
        with self.assertRaises(errors.LogUnavailable):
            await store.read_latest(_STREAM)
        # An entry of the registry that is not listed costs that worker only.
        records, _ = await store.read_latest_records(_STREAM)
        self.assertIn('d0001', records)

    async def test_a_listing_that_breaks_off_is_not_an_empty_stream(self):
        """Guard against a leader that recovers no jobs."""
        pages = _Pages([b'%04d' % n for n in range(600)])
        pages.statuses = [200, 404]
        with self.assertRaises(errors.LogUnavailable):
            await store_module.LogStore(pages, '').read_latest(_STREAM)

    async def test_a_dropped_offset_raises_log_trimmed(self):
        """Guard against a reader that waits for records already dropped."""
        await self.store.put(_STREAM, [('a', b'1')])
        self.standin.drop_history()
        with self.assertRaises(errors.LogTrimmed) as caught:
            await self.store.read(_STREAM, 0, 0)
        self.assertEqual(1, caught.exception.first_offset)
        self.assertEqual(1, await self.store.probe_end(_STREAM))

    async def test_silent_connections_are_not_used_again(self):
        """Guard against one timeout for each hanging connection."""
        await self.store.put(_STREAM, [('a', b'1')])
        self.standin.server.fault = lambda request: 'silent'
        with self.assertRaises(errors.LogUnavailable):
            await self.store.read(_STREAM, 0, 0)
        before = len(self.standin.server.connections)
        self.standin.server.fault = lambda request: ''
        await self.store.read(_STREAM, 0, 0)
        self.assertLessEqual(before, 1)


class SlowTransferTest(StoreCase):
    """Test answers that are large for the link."""

    async def test_a_large_answer_takes_as_long_as_the_link_needs(self):
        """Guard against a read that never succeeds on a narrow link.

        A limit on the whole read gave up an answer that was arriving, and
        the next read began it again.
        """
        await self.store.put(_STREAM, [('k', bytes(90_000))])
        self.standin.server.link_bytes_s = 60_000
        values, _ = await self.store.read_latest(_STREAM)
        self.assertEqual(90_000, len(values['k']))
        chunk = await self.store.read(_STREAM, 0, 0)
        self.assertEqual(1, len(chunk.records))
        self.assertGreater(chunk.transfer_ms, 1_000)

    async def test_an_answer_that_stops_is_given_up(self):
        """Guard against a read that hangs on a silent connection."""
        await self.store.put(_STREAM, [('k', bytes(90_000))])
        self.standin.server.fault = lambda request: 'stalled'
        begun_s = time.monotonic()
        with self.assertRaises(errors.LogUnavailable) as caught:
            await self.store.read(_STREAM, 0, 0)
        self.assertLess(time.monotonic() - begun_s, _MAX_STALL_S)
        self.assertIn('bytes of it came', caught.exception.message)


class ConnectionLimitTest(unittest.IsolatedAsyncioTestCase):
    """Test the connection limit of the client."""

    async def test_the_connection_idle_for_longest_makes_room(self):
        """Guard against a daemon that runs out of file descriptors.

        Without a limit, idle connections use up the descriptors; a leader
        ran out of them at 1,500 workers (sweep at 300 machines).
        """
        client = await self.enterAsyncContext(
            client_module.Client(max_connections=2)
        )
        stores = [platform.StandinStore() for _ in range(5)]
        for store in stores:
            await self.enterAsyncContext(store)
        for store in stores:
            reader = store_module.LogStore(client, store.server.address)
            await reader.read_latest(_STREAM)
        await asyncio.sleep(0.05)
        open_now = sum(len(store.server.connections) for store in stores)
        self.assertEqual(2, open_now)
        self.assertEqual(1, len(stores[-1].server.connections))


class ClaimTest(StoreCase):
    """Test that exactly one of several claims succeeds."""

    def claim(self, node):
        return claim_module.Claim(node, f'{node}:1', node, 0)

    async def test_one_of_two_claims_wins(self):
        """Guard against two leaders with the same epoch."""
        first = claim_module.ClaimRegister(self.store)
        second = claim_module.ClaimRegister(self.open_store())
        _, end = await first.read()
        claim = await first.try_claim(self.claim('a'), end)
        self.assertIsNone(await second.try_claim(self.claim('b'), end))
        current, end = await second.read()
        self.assertEqual(claim, current)
        later = await second.try_claim(self.claim('b'), end)
        self.assertGreater(later.epoch, claim.epoch)

    async def test_a_claim_without_an_answer_is_looked_up(self):
        """Guard against a leader that does not know that it leads."""
        register = claim_module.ClaimRegister(self.store)
        _, end = await register.read()
        self.fail_appends('lost')
        claim = await register.try_claim(self.claim('a'), end)
        self.assertEqual('a', claim.node)

    async def test_a_slow_claim_is_looked_up_early(self):
        """Guard against a cell that waits for a response that was lost."""
        register = claim_module.ClaimRegister(self.store)
        _, end = await register.read()
        self.fail_appends('lost')
        started_s = time.monotonic()
        claim = await register.try_claim(self.claim('a'), end)
        self.assertEqual('a', claim.node)
        self.assertLess(time.monotonic() - started_s, _MAX_LOST_CLAIM_S)

    async def test_a_claim_that_was_not_made_is_waited_for(self):
        """Guard against a look-up that aborts a claim in flight."""
        register = claim_module.ClaimRegister(self.store)
        _, end = await register.read()
        self.standin.server.delay_s = 0.4
        claim = await register.try_claim(self.claim('a'), end)
        self.assertEqual('a', claim.node)

    async def test_the_answer_to_a_claim_does_not_wait_for_a_look_up(self):
        """Guard against a leader that begins late while the store is slow."""
        register = claim_module.ClaimRegister(self.store)
        _, end = await register.read()
        self.standin.server.delay_s = 0.4
        started_s = time.monotonic()
        claim = await register.try_claim(self.claim('a'), end)
        self.assertEqual('a', claim.node)
        # A look-up begins after 0.25 s and takes 0.4 s.
        self.assertLess(time.monotonic() - started_s, 0.6)

    async def test_a_term_that_cannot_be_counted_on_is_unreadable(self):
        """Guard against a claim after which no daemon can claim."""
        claim = ('a', 'a:1', 'a', 2**64 - 1, False, 1)
        self.standin.put('keyed.lead', 'leader', msgspec.msgpack.encode(claim))
        register = claim_module.ClaimRegister(self.store)
        self.assertEqual((None, 1), await register.read())

    async def test_members_are_listed(self):
        """Guard against daemons that a new leader does not notify."""
        register = claim_module.ClaimRegister(self.store)
        await register.add_member('a', '1:1')
        await register.add_member('b', '2:1')
        await register.remove_member('a')
        await register.read_members()
        self.assertEqual({'b': '2:1'}, register.members)


class RegistryTest(StoreCase):
    """Test the reading of the worker registry."""

    _VALID_ENTRY = (
        b'{"service":"p","address":"h:1","zone":"z","state":"ready",'
        b'"capacity":{"cpu":9,"mem_mb":8},"labels":["k","r"],"new":1}'
    )

    async def test_bad_entries_are_left_out_and_the_others_hold(self):
        """Guard against one invalid entry that hides all workers."""
        bad = [
            b'\xff\xfe',
            b'[]',
            b'{"service":7}',
            self._VALID_ENTRY.replace(b'ready', b'asleep'),
            self._VALID_ENTRY.replace(b'"address":"h:1",', b''),
        ]
        for number, raw in enumerate(bad):
            self.standin.put('keyed.servers', f'bad{number}', raw)
        self.standin.put('keyed.servers', 'good', self._VALID_ENTRY)
        registry = registry_module.StoreRegistry(self.store)
        rows = await registry.refresh()
        self.assertEqual(['good'], list(rows))
        row = rows['good']
        self.assertEqual(('r', 9), (row.rack, row.capacity.cpu_millicores))
        self.standin.put('keyed.servers', 'good', b'{"service":7}')
        self.assertEqual(['good'], list(await registry.refresh()))

    async def test_a_record_that_cannot_be_used_is_passed_over_once(self):
        """Guard against a read that begins at the same record for ever.

        It raised an error of no decoder, and the offset stayed before it: the
        reader met it again after it was replaced, and read nothing after it
        (issue 32: LOST).
        """
        check = registry_module._check

        def fail(key, entry):
            if entry.service == 'odd':
                raise KeyError('odd')
            check(key, entry)

        stream = io.StringIO()
        events.configure_logging(stream)
        self.addCleanup(loguru.logger.remove)
        odd = self._VALID_ENTRY.replace(b'"p"', b'"odd"')
        deep = (
            self._VALID_ENTRY[:-1] + b',"x":' + odd_values.VALUES[-1].encode()
        )
        deep += b'}'
        self.standin.put('keyed.servers', 'w0', self._VALID_ENTRY)
        with unittest.mock.patch.object(registry_module, '_check', fail):
            registry = registry_module.StoreRegistry(self.store)
            await registry.refresh()
            for raw in (odd, deep, self._VALID_ENTRY, odd, b''):
                self.standin.put('keyed.servers', 'w1', raw)
            self.standin.put('keyed.servers', 'w2', self._VALID_ENTRY)
            for _ in range(3):
                self.assertEqual({'w0', 'w2'}, set(await registry.refresh()))
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual(
            [('w1', 1), ('w1', 4)],
            [(line['key'], line['offset']) for line in lines],
        )

    async def test_a_record_names_its_offset_also_in_a_listing(self):
        """Guard against a log line that does not lead to the record."""
        stream = io.StringIO()
        events.configure_logging(stream)
        self.addCleanup(loguru.logger.remove)
        self.standin.put('keyed.servers', 'w0', self._VALID_ENTRY)
        self.standin.put('keyed.servers', 'w1', b'[]')
        registry = registry_module.StoreRegistry(self.store)
        self.assertEqual(0, (await registry.refresh())['w0'].offset)
        [line] = stream.getvalue().splitlines()
        self.assertEqual(1, json.loads(line)['offset'])

    async def test_changes_and_removals_are_followed(self):
        """Guard against tasks for a worker that is leaving or has left."""
        registry = registry_module.StoreRegistry(self.store)
        self.standin.put('keyed.servers', 'w', self._VALID_ENTRY)
        self.assertTrue((await registry.refresh())['w'].is_ready)
        draining = self._VALID_ENTRY.replace(b'ready', b'draining')
        self.standin.put('keyed.servers', 'w', draining)
        self.assertFalse((await registry.refresh())['w'].is_ready)
        self.standin.drop_history()
        self.standin.put('keyed.servers', 'w', b'')
        self.assertEqual({}, await registry.refresh())
