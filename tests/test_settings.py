"""Guard against invalid settings that are accepted."""

import json
import pathlib
import unittest

from basilspindle import errors
from basilspindle import settings

_FILE = (
    pathlib.Path(__file__).resolve().parent.parent / 'examples/settings.json'
)
_VALID = json.loads(_FILE.read_text())
_TLS = {'cert_file': '/nowhere/a.pem', 'key_file': '/nowhere/b.pem'}

# Changed members, pointer of the fault, part of the remedy.
_INVALID = [
    ({'member_id': 'Entry 1'}, '/member_id', 'lower-case letters'),
    ({'member_id': None}, '/member_id', 'lower-case letters'),
    ({'api_adress': 'x'}, '/api_adress', 'one of: advertised_api_address'),
    ({'api_address': '127.0.0.1'}, '/api_address', 'ip:port'),
    ({'api_address': 'localhost:80'}, '/api_address', 'ip:port'),
    ({'api_address': '127.0.0.1:0'}, '/api_address', 'ip:port'),
    ({'api_address': '127.0.0.1:65536'}, '/api_address', 'ip:port'),
    ({'api_address': '::1:80'}, '/api_address', 'ip:port'),
    (
        {'peer_address': '0.0.0.0:90'},
        '/peer_address',
        'set advertised_peer_address',
    ),
    (
        {'peer_address': '[::]:9', 'advertised_peer_address': '0.0.0.0:9'},
        '/advertised_peer_address',
        'an address of this machine',
    ),
    ({'peer_address': '127.0.0.1:8080'}, '/peer_address', 'a port each'),
    ({'log_url': '127.0.0.1:7000'}, '/log_url', 'http://host:port'),
    ({'log_url': 'ftp://127.0.0.1'}, '/log_url', 'http://host:port'),
    ({'vm_list_url': 'http://'}, '/vm_list_url', 'http://host:port'),
    ({'vm_list_url': 'http://u:p@h'}, '/vm_list_url', 'http://host:port'),
    ({'peers': ['entry-2']}, '/peers/0', 'ip:port'),
    ({'peers': ['10.0.0.2:9', '10.0.0.2:9']}, '/peers/1', 'remove one'),
    ({'bootstrap_operator_sha256': 'x'}, '/bootstrap_operator_sha256', 'hex'),
    ({'log_level': 'debug'}, '/log_level', 'one of: DEBUG, INFO'),
    ({'limits': {'max_body_bytes': 0}}, '/limits/max_body_bytes', 'from 1'),
    ({'tls': {'peer': _TLS}}, '/tls/peer/ca_file', 'a string'),
    ({'tls': {'api': _TLS}}, '/tls/api/key_file', 'readable PEM file'),
]


def find_faults(value):
    """Return the faults of settings, given as a decoded document."""
    try:
        settings.parse(json.dumps(value).encode(), check_files=True)
    except errors.SettingsInvalid as error:
        return error.faults
    return ()


class SettingsTest(unittest.TestCase):
    """Guard against a daemon that starts with invalid settings."""

    def test_example_is_valid(self):
        """Guard against an example file that a daemon refuses."""
        read = settings.load(_FILE)
        self.assertEqual('127.0.0.1:8090', read.public_peer_address)
        advertised = {
            **_VALID,
            'peer_address': '[::]:8090',
            'advertised_peer_address': '[2001:db8::1]:8090',
        }
        read = settings.parse(json.dumps(advertised).encode())
        self.assertEqual('[2001:db8::1]:8090', read.public_peer_address)

    def test_each_fault_has_pointer_and_remedy(self):
        """Guard against a fault that is missed or has a wrong pointer."""
        for members, pointer, remedy in _INVALID:
            with self.subTest(members=members):
                faults = find_faults({**_VALID, **members})
                found = [f for f in faults if f.pointer == pointer]
                self.assertTrue(found, faults)
                self.assertIn(remedy, found[0].remedy)

    def test_all_faults_are_reported_at_once(self):
        """Guard against a check that stops at the first fault."""
        value = {**_VALID, 'log_url': 'x', 'peers': ['y'], 'region': 'Z'}
        del value['member_id']
        self.assertEqual(
            {'/log_url', '/peers/0', '/region', '/member_id'},
            {fault.pointer for fault in find_faults(value)},
        )

    def test_unreadable_files(self):
        """Guard against an OSError that is not turned into SettingsInvalid."""
        for path in ('/nowhere/settings.json', _FILE.parent):
            with self.assertRaisesRegex(
                errors.SettingsInvalid, 'name a readable file'
            ):
                settings.load(path)
        with self.assertRaises(errors.SettingsInvalid):
            settings.parse(b'{')
