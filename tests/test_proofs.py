"""Guard the page of proofs against tests that do not exist."""

import pathlib
import re
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_PAGE = _ROOT / 'docs' / 'PROOFS.md'
_FAULTS = 15
_INVARIANTS = 10


def _rows(text: str) -> list[list[str]]:
    lines = [line for line in text.splitlines() if line.startswith('|')]
    return [
        [cell.strip() for cell in line.strip('|').split('|')] for line in lines
    ]


class ProofsTest(unittest.TestCase):
    """Guard against a promise whose proof is gone or was never there."""

    def setUp(self):
        matrix, _, rest = _PAGE.read_text().partition('## Notes')
        notes, _, legend = rest.partition('## Tests')
        self.matrix = _rows(matrix)[2:]
        self.notes = re.findall(r'^(\d+)\. (.+)$', notes, re.M)
        self.legend = {row[0]: row[1].strip('`') for row in _rows(legend)[2:]}

    def test_every_named_test_exists(self):
        for code, name in self.legend.items():
            path, _, test = name.partition('::')
            with self.subTest(code=code):
                source = (_ROOT / path).read_text()
                self.assertIn(f'def {test}(', source)

    def test_every_cell_is_filled(self):
        self.assertEqual(_INVARIANTS, len(self.matrix))
        for row in self.matrix:
            self.assertEqual(_FAULTS + 1, len(row), row[0])
            for cell in row[1:]:
                with self.subTest(row=row[0], cell=cell):
                    self.check(cell)

    def check(self, cell: str) -> None:
        note = re.fullmatch(r'(n/a|no) \[(\d+)\]', cell)
        if note is None:
            codes = set(cell.split(', '))
            self.assertLessEqual(codes, set(self.legend))
            return
        kind, number = note.groups()
        text = dict(self.notes)[number]
        wanted = 'does not apply: ' if kind == 'n/a' else 'not proved: '
        self.assertTrue(text.startswith(wanted), text)

    def test_every_invariant_has_a_proof(self):
        for row in self.matrix:
            codes = {c for cell in row[1:] for c in cell.split(', ')}
            self.assertTrue(codes & set(self.legend), row[0])
