"""Convert between JSON pointers (RFC 6901) and paths.

A path is a sequence of steps: member names and list indexes.
"""

import collections.abc


def join_pointer(steps: collections.abc.Iterable[str | int]) -> str:
    """Return the pointer of a path; '' for the whole document."""
    return ''.join(f'/{_escape(str(step))}' for step in steps)


def split_pointer(pointer: str) -> tuple[str, ...]:
    """Return the path of a pointer; raises ``ValueError``."""
    if not pointer:
        return ()
    if not pointer.startswith('/'):
        raise ValueError('a JSON pointer must start with "/"')
    return tuple(_unescape(step) for step in pointer[1:].split('/'))


def _escape(step: str) -> str:
    return step.replace('~', '~0').replace('/', '~1')


def _unescape(step: str) -> str:
    if '~' in step.replace('~0', '').replace('~1', ''):
        raise ValueError(
            'in a JSON pointer, "~" in a name is written "~0" and "/" "~1"'
        )
    return step.replace('~1', '/').replace('~0', '~')
