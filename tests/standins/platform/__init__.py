"""Stand-ins for the services of the users' platform, on loopback."""

from tests.standins.platform.addresses import DeadAddresses
from tests.standins.platform.advice import StandinAdvice
from tests.standins.platform.network import Cut
from tests.standins.platform.network import Network
from tests.standins.platform.network import STORE
from tests.standins.platform.operator import make_configuration
from tests.standins.platform.server import Server
from tests.standins.platform.store import StandinStore
from tests.standins.platform.worker import StandinWorker

__all__ = [
    'STORE',
    'Cut',
    'DeadAddresses',
    'Network',
    'Server',
    'StandinAdvice',
    'StandinStore',
    'StandinWorker',
    'make_configuration',
]
