"""Guard the commands that read files and need no daemon."""

import json
import pathlib
import tempfile
import unittest

from click import testing

from basilspindle.cli import main as main_module

_JOB = '00000000000000aa'


class FilesCase(unittest.TestCase):
    """Run commands on files in a folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def run_command(self, *words, text=None):
        return testing.CliRunner().invoke(
            main_module.main, list(words), input=text
        )


class ExplainTest(FilesCase):
    """Guard the story of a job from logs."""

    def log(self, *rows):
        return '\n'.join(
            json.dumps(
                {
                    'time': f'2026-01-01T00:00:{at:06.3f}+00:00',
                    'event': 1,
                    'name': name,
                    **fields,
                }
            )
            for at, name, fields in rows
        )

    def test_logs_of_several_daemons_make_one_story(self):
        """Guard against a story that misses what another daemon saw."""
        first = self.write('a.log', self.log((1, 'one', {'job': _JOB})))
        second = self.write(
            'b.log', 'noise\n' + self.log((0.5, 'two', {'job': _JOB}))
        )
        result = self.run_command('explain', _JOB, first, second)
        self.assertEqual(0, result.exit_code)
        lines = result.output.splitlines()
        self.assertIn('two', lines[0])
        self.assertIn('+   500 ms', lines[1])
        self.assertIn('1 lines could not be read', result.output)

    def test_standard_input_and_no_match(self):
        """Guard against an empty answer that looks like success."""
        text = self.log((1, 'one', {'job': 'other'}))
        result = self.run_command('explain', _JOB, text=text)
        self.assertEqual(1, result.exit_code)
        self.assertIn('no line tells', result.output)


class SettingsTest(FilesCase):
    """Guard the check of settings files of both formats."""

    def test_platform_settings(self):
        """Guard against a field that is wrong and not named."""
        path = self.write('s.toml', 'node = 7')
        result = self.run_command('settings', 'check', path)
        self.assertEqual(3, result.exit_code)
        self.assertIn('node', result.output)

    def test_settings_of_our_own(self):
        """Guard against a check that reads the wrong format."""
        path = self.write('s.json', '{}')
        result = self.run_command('settings', 'check', path)
        self.assertEqual(3, result.exit_code)
        example = pathlib.Path(__file__).parent.parent / 'examples'
        result = self.run_command(
            'settings', 'check', str(example / 'settings.json')
        )
        self.assertEqual(0, result.exit_code, result.output)
