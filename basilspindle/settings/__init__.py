"""Read the settings file of a daemon."""

from basilspindle.settings.bounds import Bounds
from basilspindle.settings.load import load
from basilspindle.settings.load import parse
from basilspindle.settings.settings import Settings
from basilspindle.settings.tls import ApiTls
from basilspindle.settings.tls import PeerTls
from basilspindle.settings.tls import Tls

__all__ = [
    'ApiTls',
    'Bounds',
    'PeerTls',
    'Settings',
    'Tls',
    'load',
    'parse',
]
