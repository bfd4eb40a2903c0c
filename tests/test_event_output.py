"""Test that logging is bounded and never blocks the process."""

import io
import json
import os
import subprocess
import sys
import time
import unittest

import loguru

from basilspindle.cell import events as cell_events
from basilspindle.cli import log_timeline
from basilspindle import events
from basilspindle.events import rate_limiter

_JOB = '00000000000000aa'
# Writes more than a pipe holds, and less than the buffer.
_EXITING_PROGRAM = """
import sys
from basilspindle.cell import events as cell_events
from basilspindle import events
events.configure_logging(sys.stdout)
for _ in range(50):
    events.emit(cell_events.NODE_STOPPED, node='x' * 4_000)
sys.exit()
"""


class PipeCase(unittest.TestCase):
    """Log to a pipe that is read only when the test does so."""

    def setUp(self):
        read_fd, write_fd = os.pipe()
        self.reader = os.fdopen(read_fd, 'rb', buffering=0)
        self.writer = os.fdopen(write_fd, 'w')
        self.addCleanup(self.reader.close)
        self.addCleanup(self.writer.close)
        self.addCleanup(loguru.logger.remove)
        os.set_blocking(read_fd, False)
        events.configure_logging(self.writer)

    def read(self):
        data = b''
        while chunk := self.reader.read(1 << 20):
            data += chunk
        return data


class BlockedReaderTest(PipeCase):
    """Guard the process against a slow or stopped reader of its log."""

    def test_a_reader_that_stops_does_not_stop_the_process(self):
        """Guard against blocking on a full pipe and miscounting lines."""
        began_s = time.monotonic()
        for number in range(500):
            self.emit(number)
        self.assertLess(time.monotonic() - began_s, 5.0)
        data = b''
        number = 500
        # Once the reader resumes, the buffered lines arrive, followed by the
        # count of the dropped ones.
        while b'lines_dropped' not in data and number < 600:
            data += self.read()
            self.emit(number)
            number += 1
        for _ in range(20):
            data += self.read()
            self.emit(number)
            number += 1
        data += self.read()
        lines = [json.loads(row) for row in data.splitlines()]
        dropped = sum(
            row['lines'] for row in lines if row['name'] == 'lines_dropped'
        )
        written = sum(row['name'] != 'lines_dropped' for row in lines)
        self.assertGreater(dropped, 0)
        self.assertEqual(number, written + dropped)
        # The return value, which feeds a metric, includes the dropped lines.
        self.assertEqual(dropped, events.report_suppressed())

    def test_a_reader_that_never_catches_up(self):
        """Guard against a gap that no line reports.

        The report waited for an empty buffer, which a reader that is always
        too slow does not leave.
        """
        data = b''
        number = 0
        for _ in range(40):
            for _ in range(20):
                self.emit(number)
                number += 1
            data += self.reader.read(40_000) or b''
        while chunk := self.read():
            data += chunk
            events.report_suppressed()
        lines = [json.loads(row) for row in data.splitlines()]
        names = [line['name'] for line in lines]
        self.assertGreater(names.count('lines_dropped'), 5)
        dropped = sum(line.get('lines', 0) for line in lines)
        self.assertEqual(
            number, len(lines) - names.count('lines_dropped') + dropped
        )

    def test_a_line_that_is_longer_than_the_buffer(self):
        """Guard against one long line that takes any amount of memory."""
        events.emit(cell_events.STATE_DUMPED, state='x' * 1_000_000)
        self.emit(0)
        names = [json.loads(row)['name'] for row in self.read().splitlines()]
        self.assertEqual(['lines_dropped', 'leader_gained'], names)

    def test_lines_of_a_process_that_logs_nothing_more(self):
        """Guard against lines and a count that wait for the next event."""
        for number in range(500):
            self.emit(number)
        data = b''
        while chunk := self.read():
            data += chunk
            events.report_suppressed()
        lines = [json.loads(row) for row in data.splitlines()]
        self.assertEqual('lines_dropped', lines[-1]['name'])
        self.assertEqual(500, len(lines) - 1 + lines[-1]['lines'])

    def test_the_last_lines_before_the_exit(self):
        """Guard against buffered lines that a normal exit loses."""
        process = subprocess.Popen(
            [sys.executable, '-c', _EXITING_PROGRAM], stdout=subprocess.PIPE
        )
        time.sleep(0.2)
        output, _ = process.communicate(timeout=10.0)
        lines = [json.loads(row) for row in output.splitlines()]
        self.assertEqual(50, len(lines))
        self.assertEqual(0, process.returncode)

    def emit(self, number):
        # Alternate between events to stay below the rate limit of each.
        event = (
            cell_events.LEADER_GAINED,
            cell_events.LEADER_READY,
            cell_events.LEADER_LOST,
        )[number % 3]
        events.emit(event, text='x' * 4_000)


class LimiterTest(unittest.TestCase):
    """Guard the limit on lines of one event."""

    def test_the_first_lines_are_written_and_the_rest_counted(self):
        """Guard against one event flooding the log."""
        limiter = rate_limiter.RateLimiter(max_lines=3)
        allowed = [limiter.allows(1, now_s=7.5) for _ in range(10)]
        self.assertEqual([True] * 3 + [False] * 7, allowed)
        self.assertTrue(limiter.allows(2, now_s=7.5))
        self.assertTrue(limiter.allows(1, now_s=8.0))
        self.assertEqual({1: 7}, limiter.take_suppressed())
        self.assertEqual({}, limiter.take_suppressed())

    def test_counts_are_reported(self):
        """Guard against suppressed lines that are not reported."""
        stream = io.StringIO()
        events.configure_logging(stream)
        self.addCleanup(loguru.logger.remove)
        for _ in range(3_000):
            events.emit(cell_events.TASK_STARTED, task='t')
        returned = events.report_suppressed()
        lines = [json.loads(row) for row in stream.getvalue().splitlines()]
        written = sum(row['name'] == 'task_started' for row in lines)
        counted = sum(
            row['lines'] for row in lines if row['name'] == 'lines_suppressed'
        )
        self.assertEqual(3_000, written + counted)
        self.assertEqual(counted, returned)
        self.assertEqual(0, events.report_suppressed())
        self.assertLess(written, 3_000)


class TimelineTest(unittest.TestCase):
    """Guard the collection of the log lines of one job."""

    def line(self, at, name, **fields):
        value = {
            'time': f'2026-01-01T00:00:{at:06.3f}+00:00',
            'event': 1,
            'name': name,
            **fields,
        }
        return json.dumps(value)

    def collect(self, *texts):
        return log_timeline.collect(_JOB, [('file', text) for text in texts])

    def test_lines_of_several_daemons_are_put_in_order(self):
        """Guard against lines that are not in order of time."""
        story = self.collect(
            '  3.0 d2 ' + self.line(3, 'task_ended', task=f'{_JOB}.0.0.1'),
            '  1.0 d1 ' + self.line(1, 'job_accepted', job=_JOB),
            '  2.0 d1 ' + self.line(2, 'leader_lost', reason='r'),
            '  2.5 d1 ' + self.line(2.5, 'job_accepted', job='other'),
            '  9.0 d1 ' + self.line(9, 'leader_lost', reason='later'),
        )
        names = [line.name for line in story.lines]
        self.assertEqual(['job_accepted', 'leader_lost', 'task_ended'], names)
        texts = list(log_timeline.describe(story))
        self.assertIn('+  1000 ms  d1', texts[1])

    def test_bad_lines_are_counted(self):
        """Guard against one bad line that makes a whole log unreadable."""
        story = self.collect(
            'Traceback', '{"time":', '{"a":1}', '[1]', '', self.line(1, 'x')
        )
        self.assertEqual(4, story.unreadable_count)
