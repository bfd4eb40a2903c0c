"""Name the remote procedures of the daemons."""

import msgspec

_SERVICE = 'basilspindle.Peer'


def path_of(request_type: type[msgspec.Struct]) -> str:
    """Return the HTTP/2 path of the call for a request type."""
    return f'/{_SERVICE}/{request_type.__name__}'
