"""Check that docs/PROOFS.md names tests that exist."""

import pathlib
import re
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PAGE = _ROOT / 'docs' / 'PROOFS.md'
_FAULT_COUNT = 15
_INVARIANT_COUNT = 10


def _parse_rows(text: str) -> list[list[str]]:
    lines = [line for line in text.splitlines() if line.startswith('|')]
    return [
        [cell.strip() for cell in line.strip('|').split('|')] for line in lines
    ]


class ProofsTest(unittest.TestCase):
    """Guard against an invariant listed as proved by a test that is missing.

    A table on the page has a row for each invariant and a column for each
    fault. A cell holds codes of tests or the number of a note.
    """

    def setUp(self):
        table, _, rest = _PAGE.read_text().partition('## Notes')
        notes, _, tests = rest.partition('## Tests')
        self.rows = _parse_rows(table)[2:]
        self.notes = re.findall(r'^(\d+)\. (.+)$', notes, re.M)
        self.test_names = {
            row[0]: row[1].strip('`') for row in _parse_rows(tests)[2:]
        }

    def test_every_named_test_exists(self):
        for code, name in self.test_names.items():
            path, _, test = name.partition('::')
            with self.subTest(code=code):
                source = (_ROOT / path).read_text()
                self.assertIn(f'def {test}(', source)

    def test_every_cell_is_filled(self):
        self.assertEqual(_INVARIANT_COUNT, len(self.rows))
        for row in self.rows:
            self.assertEqual(_FAULT_COUNT + 1, len(row), row[0])
            for cell in row[1:]:
                with self.subTest(row=row[0], cell=cell):
                    self.check_cell(cell)

    def check_cell(self, cell: str) -> None:
        note = re.fullmatch(r'(n/a|no) \[(\d+)\]', cell)
        if note is None:
            codes = set(cell.split(', '))
            self.assertLessEqual(codes, set(self.test_names))
            return
        kind, number = note.groups()
        text = dict(self.notes)[number]
        prefix = 'does not apply: ' if kind == 'n/a' else 'not proved: '
        self.assertTrue(text.startswith(prefix), text)

    def test_every_invariant_has_a_proof(self):
        for row in self.rows:
            codes = {c for cell in row[1:] for c in cell.split(', ')}
            self.assertTrue(codes & set(self.test_names), row[0])
