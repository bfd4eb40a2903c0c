"""Test the catalogue of events and the format of log lines."""

import io
import json
import pathlib
import unittest

import loguru

from basilspindle import events
from basilspindle.events import catalogue

_PAGE = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'events.md'


class CatalogueTest(unittest.TestCase):
    """Guard against events that operators cannot look up."""

    def test_page_lists_every_event_as_in_the_code(self):
        self.assertEqual(catalogue.render(), _PAGE.read_text())

    def test_a_number_is_defined_once(self):
        first = catalogue.load()[0]
        with self.assertRaises(ValueError):
            events.Event(first.number, 'x', events.Level.INFO, 'x', 'x')


class EmitTest(unittest.TestCase):
    """Guard against log lines that a parser cannot read."""

    def setUp(self):
        self.stream = io.StringIO()
        events.configure_logging(self.stream)
        self.addCleanup(loguru.logger.remove)

    def test_line_is_json_also_with_braces_and_markup(self):
        for text in (
            '{not a field} <red>not markup</red>',
            'Expected `int` <= 9 (soak seed 1002)',
            r'a \< b \\<c> \d <',
            '\x00"\\',
        ):
            with self.subTest(text=text):
                self.stream.seek(0)
                self.stream.truncate()
                events.emit(catalogue.load()[0], reason=text)
                line = json.loads(self.stream.getvalue())
                self.assertEqual(text, line['reason'])
                self.assertEqual(catalogue.load()[0].number, line['event'])
