"""Check the fields of a heartbeat that identify its sender."""

import re

# Longer than any host name or id of a VM.
MAX_CHARACTERS = 255
_MAX_PORT = 65_535
# Start of the process in wall-clock ms, and random characters. Incarnations
# are compared as text, so that one without the digits would outlast all
# others at its address.
_INCARNATION = re.compile(r'[0-9]{13}-[!-~]{1,100}')
_ADDRESS = re.compile(r'[!-~]{1,249}:([0-9]{1,5})')


def check(member_id: str, incarnation: str, address: str) -> str:
    """Return what is wrong with the identity of a process; '' if valid."""
    if not 0 < len(member_id) <= MAX_CHARACTERS or '@' in member_id:
        return 'the member id is empty, too long or contains "@"'
    if not _INCARNATION.fullmatch(incarnation):
        return 'the incarnation does not start with 13 digits and "-"'
    found = _ADDRESS.fullmatch(address)
    if found is None or not 0 < int(found[1]) <= _MAX_PORT:
        return 'the address is not of the form ip:port'
    return ''
