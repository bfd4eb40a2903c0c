"""Represent a fault in a document."""

import collections.abc

import msgspec


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A fault at a JSON pointer in a file, and how to correct it.

    An empty pointer is the whole document.
    """

    file: str
    pointer: str
    fault: str
    remedy: str

    def __str__(self) -> str:
        place = self.pointer or '(whole document)'
        return f'{self.file} {place}: {self.fault}; {self.remedy}'


def format_faults(faults: collections.abc.Iterable[Fault]) -> str:
    """Return a text with one line for each fault."""
    return '\n'.join(str(fault) for fault in faults)
