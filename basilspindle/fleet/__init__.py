"""Lease workers, place tasks on them and report how the tasks end."""

from basilspindle.fleet.choose_worker import ChooseWorker
from basilspindle.fleet.client import WorkerClient
from basilspindle.fleet.connection import TransportFactory
from basilspindle.fleet.event_page import EventPage
from basilspindle.fleet.fleet import Fleet
from basilspindle.fleet.health import Health
from basilspindle.fleet.lease_grant import LeaseGrant
from basilspindle.fleet.leased_worker import LeasedWorker
from basilspindle.fleet.settings import FleetSettings
from basilspindle.fleet.task_spec import TaskSpec
from basilspindle.fleet.worker_event import Outcome
from basilspindle.fleet.worker_event import WorkerEvent
from basilspindle.fleet.worker_info import WorkerInfo
from basilspindle.fleet.worker_inventory import WorkerInventory
from basilspindle.fleet.worker_status import WorkerStatus

__all__ = [
    'ChooseWorker',
    'EventPage',
    'Fleet',
    'FleetSettings',
    'Health',
    'LeaseGrant',
    'LeasedWorker',
    'Outcome',
    'TaskSpec',
    'TransportFactory',
    'WorkerClient',
    'WorkerEvent',
    'WorkerInfo',
    'WorkerInventory',
    'WorkerStatus',
]
