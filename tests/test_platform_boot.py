"""Test settings files, job bodies and the selection of queues."""

import json
import pathlib
import subprocess
import sys
import unittest

from basilspindle import errors
from basilspindle.platform import boot_settings
from basilspindle.platform import job_body
from basilspindle import workflow
from tests import cell_case
from tests import platform_case

_SETTINGS_VALUES = {
    'node': 'n1',
    'link': 7420,
    'metrics': 7435,
    'advice': '10.0.0.9:1',
    'front': 1,
    'ready': 2,
    'store': '10.0.0.1:1',
}


class BootTest(unittest.TestCase):
    """Test the parsing of the settings file."""

    def text(self, **changes):
        return platform_case.SETTINGS_TEMPLATE.format(
            **{**_SETTINGS_VALUES, **changes}
        )

    def test_fields_not_known_are_ignored(self):
        """Guard against a daemon that fails to start over a new field."""
        settings = boot_settings.parse(self.text() + 'future = [1]\n')
        self.assertEqual('127.0.0.1:7420', settings.link_address)
        self.assertEqual(10_000, settings.bounds.max_lease_ms)
        self.assertEqual(120_000, settings.bounds.state_kept_ms)
        self.assertFalse(settings.leads_last)

    def test_small_machines_lead_last(self):
        """Guard against a leader with a slow network link."""
        text = self.text().replace('link_mbps = 1000.0', 'link_mbps = 10.0')
        self.assertTrue(boot_settings.parse(text).leads_last)

    def test_descriptors_are_divided(self):
        """Guard against callers that take the descriptors of the store."""
        for max_fds, expected in ((4_096, 972), (400, 50)):
            text = self.text().replace(
                '[limits]', f'[limits]\nmax_fds = {max_fds}'
            )
            settings = boot_settings.parse(text)
            limits = settings.client_limits
            self.assertEqual(expected, limits.max_connections)
            taken = (
                settings.max_connections
                + limits.max_connections
                + 2 * limits.max_other_connections
            )
            self.assertLess(taken, max_fds - max_fds // 16)

    def test_limits_on_clients_are_read(self):
        """Guard against settings of limits that have no effect."""
        text = self.text() + '[clients]\nmax_connections = 7\n'
        limits = boot_settings.parse(text).client_limits
        self.assertEqual(7, limits.max_connections)
        with self.assertRaises(errors.SettingsInvalid):
            boot_settings.parse(text.replace('= 7\n', '= -7\n'))

    def test_a_wrong_field_is_named(self):
        """Guard against errors that do not name the invalid field."""
        cases = [
            (self.text().replace('node = "n1"', ''), 'node'),
            (self.text().replace('"n1"', '7'), 'node'),
            (self.text().replace('[platform]', '[other]'), 'platform'),
            ('= =', 'TOML'),
        ]
        for text, name in cases:
            with self.subTest(name=name):
                with self.assertRaises(errors.SettingsInvalid) as caught:
                    boot_settings.parse(text)
                self.assertIn(name, caught.exception.message)


class ImportTest(unittest.TestCase):
    """Test what the daemon of the platform imports."""

    def test_only_deployed_libraries_are_imported(self):
        """Guard against a daemon that doesn't start where it is deployed."""
        folder = pathlib.Path(__file__).resolve().parent.parent
        deployed = (folder / 'deploy/requirements.txt').read_text()
        libraries = (folder / 'requirements.txt').read_text().split()
        missing = [
            name
            for line in libraries
            if (name := line.partition('==')[0]) not in deployed
            # uvicorn depends on it.
            and name != 'click'
        ]
        self.assertIn('grpclib', missing)
        code = (
            'import sys\n'
            f'sys.modules.update(dict.fromkeys({missing}))\n'
            'import basilspindle.platform.main\n'
        )
        done = subprocess.run(
            [sys.executable, '-c', code],
            cwd=folder,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stderr)


class BodyTest(unittest.TestCase):
    """Test the decoding of submitted jobs."""

    def decode(self, value):
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        queue = cell_case.make_queue()
        return job_body.decode(raw, 'a' * 16, 'alpha', queue, 5)

    def test_a_step_keeps_all_requirements(self):
        """Guard against requirements of a step that are lost in decoding."""
        job = self.decode(
            {
                'spec': 's',
                'steps': [
                    {'count': 2, 'cpu': 5, 'mem_mb': 6, 'gpus': 1},
                    {
                        'count': 3,
                        'after': [0],
                        'gang': True,
                        'same_rack': True,
                        'requires': 'k',
                        'affinity': 'r',
                        'anti_affinity': 2,
                        'checkpointing': True,
                        'long_running': True,
                        'fills': True,
                        'target_ms': 7,
                        'may_miss': 1,
                    },
                ],
                'max_runs': 2,
                'first_run_ms': 9,
                'interval_ms': 8,
            }
        )
        first, second = job.steps
        self.assertEqual((5, 6, 1), tuple(_amounts(first.need)))
        self.assertEqual((0,), second.after)
        self.assertTrue(second.gang and second.same_rack and second.service)
        self.assertEqual(0, second.reserved.cpu_millicores)
        self.assertEqual(('k', 'r', 2), _placement(second))
        self.assertEqual((2, 9, 8), _recurrence(job))

    def test_wrong_bodies_get_a_reason(self):
        """Guard against accepting jobs that can never run."""
        step = {'count': 1}
        cases = [
            (b'{', 'not a valid job'),
            ({'steps': []}, 'one step'),
            ({'steps': [{'count': 0}]}, 'count'),
            ({'steps': [{'count': 1, 'cpu': -1}]}, 'negative'),
            ({'steps': [{**step, 'after': [0]}]}, 'earlier'),
            ({'steps': [{'count': 20_000}]}, 'at most'),
            ({'spec': 'x' * 5_000, 'steps': [step]}, 'spec'),
            ({'steps': [step], 'max_runs': -1}, 'max_runs'),
        ]
        for value, reason in cases:
            with self.subTest(reason=reason):
                with self.assertRaises(errors.BadRequest) as caught:
                    self.decode(value)
                self.assertIn(reason, caught.exception.message)


def _amounts(need):
    return need.cpu_millicores, need.memory_mb, need.accelerators


def _placement(step):
    return step.required_label, step.data_rack, step.max_per_worker


def _recurrence(job):
    return job.max_runs, job.first_run_ms, job.interval_ms


class ConfigurationIndexTest(unittest.TestCase):
    """Test how requests are mapped to a queue and a workspace."""

    def test_the_longest_prefix_wins(self):
        """Guard against a request that reaches another workspace's queue."""
        from basilspindle.cell import configuration_index

        queues = [
            cell_case.make_queue('a', prefix='/x/'),
            cell_case.make_queue('b', prefix='/x/y/'),
        ]
        index = configuration_index.ConfigurationIndex(
            cell_case.make_configuration(queues)
        )
        self.assertEqual('b', index.queue_of('h.example:80', '/x/y/1').name)
        self.assertEqual('a', index.queue_of('H.example', '/x/1').name)
        self.assertIsNone(index.queue_of('other', '/x/1'))
        self.assertIsNone(index.queue_of('h.example', '/z'))
        self.assertEqual('alpha', index.workspace_of('key'))
        self.assertIsNone(index.workspace_of('old'))

    def test_a_call_takes_longer_with_more_workers(self):
        """Guard the duration estimate used to spread calls for advice."""
        terms = workflow.AdviceTerms(10.0, 2.0, 100.0)
        self.assertEqual(30.0, terms.call_ms(10))
