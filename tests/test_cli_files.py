"""Test the commands that read files and need no daemon."""

import json
import pathlib
import tempfile
import unittest

from click import testing

from basilspindle.cli import log_delays
from basilspindle.cli import log_report
from basilspindle.cli import main as main_module

_JOB = '00000000000000aa'


class FilesCase(unittest.TestCase):
    """Run commands on files in a temporary folder."""

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
    """Test the timeline of a job from log files."""

    def make_log(self, *rows):
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

    def test_logs_of_several_daemons_are_merged(self):
        """Guard against a timeline that omits the events of a daemon."""
        first = self.write('a.log', self.make_log((1, 'one', {'job': _JOB})))
        second = self.write(
            'b.log', 'noise\n' + self.make_log((0.5, 'two', {'job': _JOB}))
        )
        result = self.run_command('explain', _JOB, first, second)
        self.assertEqual(0, result.exit_code)
        lines = result.output.splitlines()
        self.assertIn('two', lines[0])
        self.assertIn('+   500 ms', lines[1])
        self.assertIn('1 lines could not be read', result.output)

    def test_standard_input_and_no_match(self):
        """Guard against exit code 0 when no log line mentions the job."""
        text = self.make_log((1, 'one', {'job': 'other'}))
        result = self.run_command('explain', _JOB, text=text)
        self.assertEqual(1, result.exit_code)
        self.assertIn('no log line mentions job', result.output)

    def test_a_submission_that_failed(self):
        """Guard against an answer to a caller without what led to it.

        The silence of the leader came before the first line of the job.
        """
        fields = {
            'job': _JOB,
            'status': 429,
            'reason': 'overloaded',
            'refused_by': 'd2',
            'copies': 2,
            'outcomes': ['d2 epoch 1 after 3 ms: no_reply', 'd2 epoch 1 x'],
            'spent_ms': 900,
        }
        path = self.write(
            'a.log',
            self.make_log(
                (1.0, 'leader_silent', {'node': 'before'}),
                (1.5, 'leader_silent', {'node': 'd2'}),
                (1.8, 'leader_followed', {'node': 'd2', 'epoch': 1}),
                (2.0, 'submission_failed', fields),
            ),
        )
        result = self.run_command('explain', _JOB, path)
        self.assertEqual(0, result.exit_code)
        self.assertNotIn('before', result.output)
        self.assertIn('leader_silent        node=d2', result.output)
        self.assertIn('leader_followed      node=d2 epoch=1', result.output)
        del fields['job']
        for name, value in fields.items():
            self.assertIn(f'{name}={value}', result.output)

    def test_lines_that_were_not_written(self):
        """Guard against a missing line of a job that nothing tells of."""
        text = self.make_log(
            (1, 'lines_suppressed', {'of': 'submission_failed', 'lines': 3}),
            (2, 'lines_dropped', {'lines': 4}),
        )
        result = self.run_command('explain', _JOB, text=text)
        self.assertEqual(1, result.exit_code)
        self.assertIn('7 lines of the logs were not written', result.output)
        text += '\n' + self.make_log((0.5, 'one', {'job': _JOB}))
        result = self.run_command('explain', _JOB, text=text)
        self.assertEqual(0, result.exit_code)
        self.assertIn('7 lines of the logs were not written', result.output)

    def test_tasks_that_gave_way_are_shown(self):
        """Guard against a stop without a cause in the timeline."""
        fields = {'step': 'other.0.0', 'tasks': [f'{_JOB}.0.0.1', 7]}
        path = self.write('a.log', self.make_log((1, 'preempted', fields)))
        result = self.run_command('explain', _JOB, path)
        self.assertEqual(0, result.exit_code)
        self.assertIn('preempted', result.output)


class DelaysTest(FilesCase):
    """Test the parts of the time of jobs."""

    def make_line(self, at_s, name, **fields):
        time = f'2026-01-01T00:00:{at_s:06.3f}+00:00'
        return json.dumps({'time': time, 'event': 1, 'name': name, **fields})

    def make_job(self):
        """Return the lines of a job of two steps that takes 6.2 s."""
        line = self.make_line
        return [
            line(1.1, 'job_accepted', job=_JOB, queue='q', took_ms=100),
            line(1.4, 'advice_taken', step=f'{_JOB}.0.0', took_ms=300),
            line(1.4, 'step_waits', step=f'{_JOB}.0.0', reason='no_room'),
            line(2.4, 'task_started', task=f'{_JOB}.0.0.0'),
            line(2.6, 'task_started', task=f'{_JOB}.0.0.1'),
            line(4.6, 'task_ended', task=f'{_JOB}.0.0.0'),
            line(4.7, 'task_ended', task=f'{_JOB}.0.0.1'),
            line(5.0, 'advice_taken', step=f'{_JOB}.0.1', took_ms=300),
            line(5.1, 'task_started', task=f'{_JOB}.0.1.0'),
            line(7.1, 'task_ended', task=f'{_JOB}.0.1.0'),
            line(7.2, 'job_ended', job=_JOB),
        ]

    def test_the_parts_add_up_to_the_whole(self):
        """Guard against time that no part accounts for."""
        found = log_delays.collect(('d', line) for line in self.make_job())
        parts = {name: row[0] for name, row in found.parts_s['q'].items()}
        total_s = parts.pop('total')
        # Unix times in seconds have a resolution below 1 us.
        self.assertAlmostEqual(6.2, total_s, 5)
        self.assertAlmostEqual(total_s, sum(parts.values()), 5)
        self.assertAlmostEqual(0.6, parts['advice'], 5)
        self.assertAlmostEqual(1.1, parts['wait'], 5)
        self.assertAlmostEqual(4.1, parts['run'], 5)
        self.assertAlmostEqual(1.0, found.waits_s['q']['no_room'], 5)

    def test_incomplete_and_foreign_lines_are_counted(self):
        """Guard against one bad line that ends the command."""
        text = '\n'.join(
            (
                *self.make_job(),
                self.make_line(1.0, 'job_accepted', job='b', took_ms='x'),
                self.make_line(1.0, 'task_started', task=None),
                self.make_line(1.0, 'step_waits'),
                self.make_line(1.0, 'lines_suppressed', lines=3),
                '{"time":"2026-01-01T00:00:01',
                'another program',
            )
        )
        result = self.run_command('delays', self.write('a.log', text))
        self.assertEqual(0, result.exit_code, result.output)
        for expected in (
            'q: 1 jobs',
            'no_room',
            '1 jobs have a missing line',
            '3 lines were left out',
            '2 lines could not be read',
        ):
            self.assertIn(expected, result.output)

    def test_nothing_to_show(self):
        """Guard against exit code 0 without a result."""
        result = self.run_command('delays', text='noise')
        self.assertEqual(1, result.exit_code)


class SettingsTest(FilesCase):
    """Test the validation of settings files in both formats."""

    def test_platform_settings(self):
        """Guard against an error that does not name the invalid field."""
        path = self.write('s.toml', 'node = 7')
        result = self.run_command('settings', 'check', path)
        self.assertEqual(3, result.exit_code)
        self.assertIn('node', result.output)

    def test_json_settings(self):
        """Guard against reading JSON settings as platform settings."""
        path = self.write('s.json', '{}')
        result = self.run_command('settings', 'check', path)
        self.assertEqual(3, result.exit_code)
        example = pathlib.Path(__file__).parent.parent / 'examples'
        result = self.run_command(
            'settings', 'check', str(example / 'settings.json')
        )
        self.assertEqual(0, result.exit_code, result.output)


class ReportTest(FilesCase):
    """Test the metrics and plots of a report."""

    def make_line(self, at_s, name, **fields):
        time = f'2026-01-01T00:00:{at_s:06.3f}+00:00'
        return json.dumps({'time': time, 'event': 1, 'name': name, **fields})

    def make_lines(self):
        accepted = {'workspace': 'w', 'queue': 'q'}
        start = {'worker': 'x', 'run': 1, 'cpu_millicores': 500}
        return [
            self.make_line(
                0.0, 'worker_gained', worker='x', cpu_millicores=2000
            ),
            self.make_line(0.1, 'job_accepted', job='a', **accepted),
            self.make_line(0.1, 'job_accepted', job='b', **accepted),
            self.make_line(1.2, 'task_started', task='a.0.0.0', **start),
            self.make_line(1.3, 'job_refused', job='c', reason='overloaded'),
            self.make_line(2.1, 'task_started', task='b.0.0.0', **start),
            'a line of another program',
            self.make_line(3.1, 'task_ended', task='a.0.0.0', run=1),
            self.make_line(4.1, 'worker_lost', worker='x'),
        ]

    def collect(self, rows):
        return log_report.collect([('file', row) for row in rows], 1.0)

    def test_report_metrics(self):
        """Guard against wrong counts of jobs and cores."""
        report = self.collect(reversed(self.make_lines()))
        self.assertEqual([2, 1, 0, 0, 0], report.waiting_jobs.values_of('q'))
        self.assertEqual([0, 0.5, 1, 0.5, 0], report.used_cores.values_of('w'))
        self.assertEqual([2, 2, 2, 2, 0], report.capacity_cores)
        self.assertEqual(
            [0, 1, 0, 0, 0], report.refusals.values_of('overloaded')
        )
        self.assertEqual(1, report.unreadable_count)

    def make_answer(self, at_s, job, status):
        reason = {429: 'overloaded', 503: 'not_ready'}.get(status, 'unknown')
        return self.make_line(
            at_s, 'submission_failed', job=job, status=status, reason=reason
        )

    def test_refusals_are_those_that_callers_got(self):
        """Guard against refusals of copies counted as those of callers.

        A leader refuses copies that are sent again, and a daemon without a
        leader refuses by itself.
        """

        def refusal(at_s, job):
            return self.make_line(
                at_s, 'job_refused', job=job, reason='overloaded'
            )

        report = self.collect(
            [
                # Of a build without lines on answers.
                refusal(0.1, 'a'),
                refusal(1.1, 'b'),
                self.make_answer(1.2, 'b', 429),
                # Accepted from a later copy.
                refusal(2.1, 'c'),
                self.make_answer(3.1, 'd', 503),
                refusal(4.1, 'e'),
                self.make_answer(4.2, 'e', 504),
            ]
        )
        self.assertEqual(
            [1, 1, 0, 0, 0], report.refusals.values_of('overloaded')
        )
        self.assertEqual(
            [0, 0, 0, 1, 0], report.refusals.values_of('not_ready')
        )
        self.assertEqual({'overloaded', 'not_ready'}, report.refusals.names)

    def test_image_is_written(self):
        """Guard against a report without an image file."""
        log = self.write('a.log', '\n'.join(self.make_lines()))
        picture = str(self.folder / 'day.png')
        result = self.run_command('report', picture, log)
        self.assertEqual(0, result.exit_code, result.output)
        self.assertIn('at most 2 jobs waiting', result.output)
        head = pathlib.Path(picture).read_bytes()[:4]
        self.assertEqual(b'\x89PNG', head)

    def test_bad_input_is_reported(self):
        """Guard against a traceback instead of an error message."""
        result = self.run_command('report', 'day.txt', text='')
        self.assertIn('must end in .png', result.output)
        picture = str(self.folder / 'day.png')
        result = self.run_command('report', picture, text='noise')
        self.assertEqual(1, result.exit_code)
        self.assertIn('no log line can be parsed', result.output)
