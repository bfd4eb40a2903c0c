"""Define the gRPC paths of the requests between daemons."""

import msgspec

_SERVICE = 'basilspindle.Peer'


def path_of(request_type: type[msgspec.Struct]) -> str:
    """Return the gRPC method path of a request type."""
    return f'/{_SERVICE}/{request_type.__name__}'
