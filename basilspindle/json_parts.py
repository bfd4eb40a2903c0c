"""Split JSON into its parts without decoding them.

For messages of which one part cannot be decoded, and any depth of nesting.
"""

import re

# Of the bytes between these, only those in strings may hold the others.
_TOKENS = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)
_OPENING = frozenset({b'[', b'{'})
_CLOSING = frozenset({b']', b'}'})


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the values of an object by name.

    Raises ``ValueError``. Members whose name cannot be decoded are left out.
    """
    members = {}
    for part in _split(data, b'{}'):
        name, colon, value = _split_member(part)
        if colon and value:
            members[name.decode(errors='replace')] = value
    return members


def split_list(data: bytes) -> list[bytes]:
    """Return the entries of a list; raises ``ValueError``."""
    return _split(data, b'[]')


def _split(data: bytes, brackets: bytes) -> list[bytes]:
    data = data.strip()
    if data[:1] != brackets[:1] or data[-1:] != brackets[1:]:
        raise ValueError(f'expected {brackets.decode()}')
    parts = []
    depth = 0
    begin = 1
    for found in _TOKENS.finditer(data):
        token = found.group()
        if token in _OPENING:
            depth += 1
        elif token in _CLOSING:
            depth -= 1
            if depth == 0 and found.end() != len(data):
                raise ValueError('text after the closing bracket')
        elif token == b',' and depth == 1:
            parts.append(data[begin : found.start()].strip())
            begin = found.end()
    if depth:
        raise ValueError('brackets that are not balanced')
    last = data[begin:-1].strip()
    return [*parts, last] if parts or last else []


def _split_member(part: bytes) -> tuple[bytes, bytes, bytes]:
    name = _TOKENS.match(part)
    if name is None or not name.group().startswith(b'"'):
        return b'', b'', b''
    _, colon, value = part[name.end() :].partition(b':')
    return name.group()[1:-1], colon, value.strip()
