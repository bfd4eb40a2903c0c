"""Read and check the settings file of a daemon."""

from basilspindle.settings.load import load
from basilspindle.settings.load import parse
from basilspindle.settings.request_limits import RequestLimits
from basilspindle.settings.settings import Settings
from basilspindle.settings.tls import ApiTls
from basilspindle.settings.tls import PeerTls
from basilspindle.settings.tls import Tls

__all__ = [
    'ApiTls',
    'PeerTls',
    'RequestLimits',
    'Settings',
    'Tls',
    'load',
    'parse',
]
