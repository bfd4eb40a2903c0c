"""Guard against invalid configurations that are accepted.

Also against faults that are not reported.
"""

import copy
import json
import pathlib
import unittest
import zlib

import msgspec

from basilspindle import config
from basilspindle import document
from basilspindle import errors
from basilspindle import model

_EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / 'examples'
_BASE = json.loads((_EXAMPLES / 'base.json').read_text())
_REMOVE = object()


def change(value, pointer, new):
    """Return a copy of a document with one member replaced or removed."""
    changed = copy.deepcopy(value)
    *steps, last = document.split_pointer(pointer)
    target = changed
    for step in steps:
        target = target[int(step) if isinstance(target, list) else step]
    if new is _REMOVE:
        del target[last]
    else:
        target[last] = new
    return changed


def find_faults(base, overlay=None):
    """Return the faults of two documents, given as decoded JSON."""
    try:
        config.validate(
            json.dumps(base).encode(), json.dumps(overlay or {}).encode()
        )
    except errors.ConfigurationInvalid as error:
        return list(error.faults)
    return []


# Pointer of the change, new value, pointer of the fault, part of its remedy.
_INVALID = [
    ('/cell', 'North!', '/cell', 'lower-case letters'),
    ('/cell', _REMOVE, '/cell', 'lower-case letters'),
    ('/regions', [], '/regions', 'at least one region'),
    ('/regions', 'north-1', '/regions', 'write a list'),
    ('/regions', ['a', 'a'], '/regions/1', 'remove one'),
    ('/partitions', 0, '/partitions', 'from 1 to 1024'),
    ('/partitions', True, '/partitions', 'from 1 to 1024'),
    ('/workspace', {}, '/workspace', 'remove it or use one of: cell, keys'),
    ('/workspaces', [], '/workspaces', 'write an object'),
    (
        '/workspaces/Web',
        {'share': 1, 'kinds': []},
        '/workspaces/Web',
        'name it with',
    ),
    (
        '/workspaces/a~1b',
        {'share': 1, 'kinds': []},
        '/workspaces/a~1b',
        'name it with',
    ),
    ('/workspaces/web/share', 0, '/workspaces/web/share', 'a number above 0'),
    (
        '/workspaces/web/share',
        '1',
        '/workspaces/web/share',
        'a number above 0',
    ),
    (
        '/workspaces/web/share',
        _REMOVE,
        '/workspaces/web/share',
        'a number above 0',
    ),
    (
        '/workspaces/web/weight',
        1,
        '/workspaces/web/weight',
        'one of: kinds, limit',
    ),
    (
        '/workspaces/web/limit/tasks',
        -1,
        '/workspaces/web/limit/tasks',
        'from 0 to',
    ),
    (
        '/workspaces/web/kinds',
        ['sight'],
        '/workspaces/web/kinds/0',
        'under /kinds',
    ),
    (
        '/workspaces/web/kinds',
        ['site'] * 2,
        '/workspaces/web/kinds/1',
        'remove one',
    ),
    (
        '/keys/ops-1/workspace',
        'web',
        '/keys/ops-1/workspace',
        'remove the workspace',
    ),
    (
        '/keys/search-1/workspace',
        _REMOVE,
        '/keys/search-1/workspace',
        'under /workspaces',
    ),
    (
        '/keys/search-1/workspace',
        'find',
        '/keys/search-1/workspace',
        'under /workspaces',
    ),
    ('/keys/search-1/role', 'root', '/keys/search-1/role', 'one of: caller'),
    ('/keys/ops-1/sha256', 'AB', '/keys/ops-1/sha256', 'hexadecimal'),
    (
        '/keys/ops-1/sha256',
        _BASE['keys']['search-1']['sha256'],
        '/keys/search-1/sha256',
        'key generate',
    ),
    ('/queues/default/open', 1, '/queues/default/open', 'true or false'),
    (
        '/queues/default/open',
        True,
        '/queues/default/workspace',
        'under /workspaces',
    ),
    (
        '/queues/default/workspace',
        'find',
        '/queues/default/workspace',
        'under /workspaces',
    ),
    (
        '/queues/thumbnails/kinds',
        ['train'],
        '/queues/thumbnails/kinds/0',
        'add it to /workspaces/web/kinds',
    ),
    ('/queues/default/kinds', ['x'], '/queues/default/kinds/0', 'correct'),
    ('/kinds/site/gang', True, '/kinds/site/gang', 'to false'),
    ('/kinds/site/priority', 'high', '/kinds/site/priority', 'one of: urgent'),
    ('/kinds/site/run_time_ms', 0, '/kinds/site/run_time_ms', 'from 1 to'),
    ('/kinds/site/run_time_ms', 1.5, '/kinds/site/run_time_ms', 'whole'),
    ('/kinds/site/max_attempts', 0, '/kinds/site/max_attempts', 'from 1 to'),
    (
        '/kinds/site/resources/slots',
        2,
        '/kinds/site/resources/slots',
        'one of: accelerators',
    ),
    ('/workers/drained', ['w', 'w'], '/workers/drained/1', 'remove one'),
    ('/workers/drained', ['a b'], '/workers/drained/0', 'the VM list'),
    ('/overlay_may_set', ['workspaces'], '/overlay_may_set/0', 'write it as'),
    ('/overlay_may_set', ['/tems'], '/overlay_may_set/0', 'start it with'),
    (
        '/overlay_may_set',
        ['/overlay_may_set'],
        '/overlay_may_set/0',
        'start it with',
    ),
    ('/timing/beat_ms', 1, '/timing/beat_ms', 'one of: assurance_ms'),
    ('/timing/hold_ms', 0, '/timing/hold_ms', 'whole number of ms'),
    ('/timing/heartbeat_ms', 1500, '/timing/heartbeat_ms', 'lower heartbeat'),
    ('/timing/linger_ms', 1500, '/timing/linger_ms', 'lower linger_ms'),
    ('/timing/worker_poll_ms', 3000, '/timing/worker_poll_ms', 'lower worker'),
    ('/timing/silent_ms', 2000, '/timing/worker_lease_ms', 'above 3000'),
    ('/timing/task_lease_ms', 3000, '/timing/worker_lease_ms', 'raise task_l'),
    ('/timing/task_lease_ms', 6225, '/timing/task_lease_ms', 'above 6225'),
    ('/timing/stop_ms', 15000, '/timing/request_max_ms', 'raise stop_ms'),
    (
        '/timing/config_max_age_ms',
        1600,
        '/timing/config_max_age_ms',
        'above 1600',
    ),
]


class DocumentTest(unittest.TestCase):
    """Guard against an invalid document that is accepted."""

    def test_examples_are_valid(self):
        """Guard against examples that an operator cannot publish."""
        read = config.validate(
            (_EXAMPLES / 'base.json').read_bytes(),
            (_EXAMPLES / 'overlay.json').read_bytes(),
        )
        self.assertEqual('south', read.cell)
        self.assertEqual(4, read.workspaces['research'].limit.accelerators)
        self.assertEqual(4, read.workspaces['search'].share)
        kind = read.kinds['train']
        self.assertEqual(
            model.Resources(8000, 32768, 2, 1), kind.model_resources()
        )
        self.assertEqual(model.Priority.BATCH, kind.model_priority())

    def test_each_fault_has_pointer_and_remedy(self):
        """Guard against a fault that is missed or has a wrong pointer."""
        for pointer, new, expected, remedy in _INVALID:
            with self.subTest(pointer=pointer, new=str(new)):
                faults = find_faults(change(_BASE, pointer, new))
                found = [f for f in faults if f.pointer == expected]
                self.assertTrue(found, faults)
                self.assertIn(remedy, ' '.join(f.remedy for f in found))
                self.assertEqual({'base'}, {f.file for f in faults})

    def test_all_faults_are_reported_at_once(self):
        """Guard against a check that stops at the first fault."""
        base = _BASE
        pointers = {
            '/cell': 'North!',
            '/workspaces/web/share': 0,
            '/workspaces/search/kinds': ['nothing'],
            '/keys/ops-1/workspace': 'web',
            '/kinds/site/gang': True,
            '/timing/heartbeat_ms': 2000,
        }
        for pointer, new in pointers.items():
            base = change(base, pointer, new)
        overlay = {'partitions': 13, 'timing': {'hold_ms': 'x'}}
        faults = find_faults(base, overlay)
        expected = {*pointers, '/partitions', '/timing/hold_ms'}
        expected.remove('/workspaces/search/kinds')
        expected.add('/workspaces/search/kinds/0')
        self.assertEqual(expected, {fault.pointer for fault in faults})

    def test_syntax_of_both_files_is_reported(self):
        """Guard against duplicate names and truncated files."""
        with self.assertRaises(errors.ConfigurationInvalid) as caught:
            config.validate(b'{"cell": ', b'[1]')
        self.assertEqual(
            ['base', 'overlay'], [f.file for f in caught.exception.faults]
        )
        for raw in (b'NaN', b'{"a": NaN}', b'\xff', b'[' * 100_000):
            with self.assertRaises(errors.ConfigurationInvalid):
                config.validate(raw)
        twice = json.dumps(_BASE)[:-1] + ', "cell": "other"}'
        with self.assertRaisesRegex(
            errors.ConfigurationInvalid, 'base /cell: .*given twice'
        ):
            config.validate(twice.encode())

    def test_immutable_members(self):
        """Guard against a changed partition count, which loses jobs.

        Jobs would be assigned to other streams than those that hold them.
        """
        current = config.validate(json.dumps(_BASE).encode())
        for pointer, new in (('/partitions', 13), ('/cell', 'other')):
            raw = json.dumps(change(_BASE, pointer, new)).encode()
            with self.assertRaises(errors.ConfigurationInvalid) as caught:
                config.validate(raw, current=current)
            (fault,) = caught.exception.faults
            self.assertEqual(pointer, fault.pointer)
            self.assertIn('set it back to', fault.remedy)


class OverlayTest(unittest.TestCase):
    """Guard against an overlay that sets paths that it may not set."""

    def test_refused_paths(self):
        """Guard against each way of bypassing overlay_may_set."""
        cases = [
            ({'partitions': 12}, '/partitions'),
            ({'keys': {'ops-1': None}}, '/keys'),
            ({'workspaces': {'web': {'kinds': []}}}, '/workspaces/web/kinds'),
            ({'workspaces': {'web': None}}, '/workspaces/web'),
            ({'workspaces': None}, '/workspaces'),
            ({'workspaces': {'new': {'share': 1}}}, '/workspaces/new'),
            ({'workers': []}, '/workers'),
            ({'overlay_may_set': ['/keys']}, '/overlay_may_set'),
        ]
        for overlay, pointer in cases:
            with self.subTest(overlay=overlay):
                faults = [
                    fault
                    for fault in find_faults(_BASE, overlay)
                    if fault.file == 'overlay' and fault.pointer == pointer
                ]
                self.assertTrue(faults)
                self.assertIn('the base', faults[0].remedy)

    def test_listed_path_below_an_object_that_the_base_lacks(self):
        """Guard against a listed path that requires its parent in the base."""
        base = change(_BASE, '/workers', _REMOVE)
        overlay = {'workers': {'drained': ['w']}}
        self.assertEqual([], find_faults(base, overlay))
        draft = config.Draft(json.dumps(base).encode(), b'{}')
        draft.put('/workers/drained', ['w'])
        self.assertEqual(overlay, json.loads(draft.overlay))
        self.assertEqual([], find_faults(json.loads(draft.base), overlay))

    def test_overlay_faults_name_the_overlay(self):
        """Guard against a fault that names the wrong file."""
        overlay = {'workspaces': {'web': {'share': -1}}, 'regions': ['UP']}
        faults = find_faults(_BASE, overlay)
        self.assertEqual(
            [('overlay', '/regions/0'), ('overlay', '/workspaces/web/share')],
            sorted((fault.file, fault.pointer) for fault in faults),
        )
        removed = find_faults(_BASE, {'workspaces': {'web': {'share': None}}})
        self.assertEqual(
            [('overlay', '/workspaces/web/share')],
            [(fault.file, fault.pointer) for fault in removed],
        )

    def test_merge_follows_rfc_7396(self):
        """Guard against a merge that deviates from RFC 7396."""
        cases = [
            ({'a': 'b'}, {'a': 'c'}, {'a': 'c'}),
            ({'a': 'b'}, {'b': 'c'}, {'a': 'b', 'b': 'c'}),
            ({'a': 'b'}, {'a': None}, {}),
            ({'a': ['b']}, {'a': 'c'}, {'a': 'c'}),
            ({'a': 'c'}, {'a': ['b']}, {'a': ['b']}),
            (
                {'a': {'b': 'c'}},
                {'a': {'b': 'd', 'c': None}},
                {'a': {'b': 'd'}},
            ),
            ({'a': [{'b': 'c'}]}, {'a': [1]}, {'a': [1]}),
            ({'e': None}, {'a': 1}, {'e': None, 'a': 1}),
            ({}, {'a': {'bb': {'ccc': None}}}, {'a': {'bb': {}}}),
        ]
        for base, overlay, expected in cases:
            with self.subTest(base=base, overlay=overlay):
                self.assertEqual(expected, config.merge(base, overlay))


class KeyringTest(unittest.TestCase):
    """Guard against a key that is accepted for another workspace."""

    def test_only_the_exact_key_is_valid(self):
        """Guard against keys with another id, truncated or altered."""
        text, sha256 = config.Keyring.generate('web-1')
        other, other_sha256 = config.Keyring.generate('ops')
        keyring = config.Keyring(
            {
                'web-1': config.Key(
                    role='caller', workspace='web', sha256=sha256
                ),
                'ops': config.Key(role='operator', sha256=other_sha256),
            }
        )
        found = keyring.check(text)
        self.assertEqual(
            ('web-1', 'caller', 'web'),
            (
                found.key_id,
                found.role,
                found.workspace,
            ),
        )
        self.assertIsNone(keyring.check(other).workspace)
        unknown, _ = config.Keyring.generate('web-2')
        bad = ['', 'bsk_', text[:-1], text + '0', text.upper(), unknown]
        bad += [text.replace('web-1', 'ops'), f' {text}', f'{text}\n', 'ü']
        bad += [sha256, f'bsk_web-1_{sha256}']
        for key in bad:
            with self.subTest(key=key), self.assertRaises(errors.KeyInvalid):
                keyring.check(key)

    def test_key_id_must_be_a_valid_name(self):
        """Guard against an id that cannot be separated from the secret."""
        for key_id in ('', 'a_b', 'A', 'a' * 64, 'a/b'):
            with self.assertRaises(errors.BadRequest):
                config.Keyring.generate(key_id)


class PublicationTest(unittest.TestCase):
    """Guard against a record that makes every reader fail."""

    def test_round_trip_and_damage(self):
        """Guard against damaged records and records that expand too far."""
        publication = config.Publication(
            version=3,
            from_version=2,
            from_offset=7,
            author='ops',
            wall_ms=5,
            base=b'{}',
            overlay=b'{}',
        )
        record = config.encode(publication)
        self.assertEqual(publication, config.decode(record))
        huge = zlib.compress(bytes(9_000_000))
        bad = [b'', b'x', record[:-1], record + b'x', record[5:], huge]
        for data in bad:
            with self.assertRaises(errors.RecordUnreadable):
                config.decode(data)
        most = config.publication.MAX_DOCUMENT_BYTES - 2
        large = msgspec.structs.replace(publication, base=b' ' * most)
        self.assertEqual(large, config.decode(config.encode(large)))
        with self.assertRaisesRegex(errors.TooLarge, 'the most is'):
            config.encode(
                msgspec.structs.replace(large, author='x', overlay=b'{ }')
            )
