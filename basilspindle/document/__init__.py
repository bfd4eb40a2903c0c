"""Parse and check JSON documents of operators, reporting all faults."""

from basilspindle.document.fault import Fault
from basilspindle.document.fault import format_faults
from basilspindle.document.parse import parse
from basilspindle.document.pointer import join_pointer
from basilspindle.document.pointer import split_pointer
from basilspindle.document.schema import check
from basilspindle.document.value_types import DurationMs
from basilspindle.document.value_types import Name
from basilspindle.document.value_types import NAME_PATTERN
from basilspindle.document.value_types import Sha256

__all__ = [
    'DurationMs',
    'Fault',
    'NAME_PATTERN',
    'Name',
    'Sha256',
    'check',
    'format_faults',
    'join_pointer',
    'parse',
    'split_pointer',
]
