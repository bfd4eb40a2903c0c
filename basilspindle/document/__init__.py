"""Check JSON documents written by operators and report every fault."""

from basilspindle.document.fault import describe
from basilspindle.document.fault import Fault
from basilspindle.document.parse import parse
from basilspindle.document.pointer import join
from basilspindle.document.pointer import split
from basilspindle.document.shape import check
from basilspindle.document.words import DurationMs
from basilspindle.document.words import Name
from basilspindle.document.words import NAME_PATTERN
from basilspindle.document.words import Sha256

__all__ = [
    'DurationMs',
    'Fault',
    'NAME_PATTERN',
    'Name',
    'Sha256',
    'check',
    'describe',
    'join',
    'parse',
    'split',
]
