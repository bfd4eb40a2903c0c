"""Exchange requests and replies with other daemons over gRPC."""

from basilspindle.peer.client import PeerClient
from basilspindle.peer.codec import Codec
from basilspindle.peer.server import Handler
from basilspindle.peer.server import PeerServer
from basilspindle.peer.service import path_of

__all__ = ['Codec', 'Handler', 'PeerClient', 'PeerServer', 'path_of']
