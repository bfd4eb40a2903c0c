"""Define the messages between daemons."""

import msgspec

from basilspindle.peer.messages.cancel import Cancel
from basilspindle.peer.messages.cancel import Cancelled
from basilspindle.peer.messages.claim import Claim
from basilspindle.peer.messages.commit import Commit
from basilspindle.peer.messages.commit import Committed
from basilspindle.peer.messages.commit import Drop
from basilspindle.peer.messages.commit import Dropped
from basilspindle.peer.messages.fault import Fault
from basilspindle.peer.messages.fence import Fence
from basilspindle.peer.messages.fence import Fenced
from basilspindle.peer.messages.get_configuration import Configuration
from basilspindle.peer.messages.get_configuration import GetConfiguration
from basilspindle.peer.messages.heartbeat import Heartbeat
from basilspindle.peer.messages.inventory import Inventoried
from basilspindle.peer.messages.inventory import Inventory
from basilspindle.peer.messages.list_jobs import JobList
from basilspindle.peer.messages.list_jobs import ListJobs
from basilspindle.peer.messages.place import Place
from basilspindle.peer.messages.place import Placed
from basilspindle.peer.messages.place import Placement
from basilspindle.peer.messages.report import Report
from basilspindle.peer.messages.report import Reported
from basilspindle.peer.messages.room import Room
from basilspindle.peer.messages.stop import Stop
from basilspindle.peer.messages.stop import Stopping
from basilspindle.peer.messages.submit import Submit
from basilspindle.peer.messages.submit import Submitted
from basilspindle.peer.messages.view import View
from basilspindle.peer.messages.view import Viewed

# Reply type by request type. The gRPC method is named after the request type.
REPLIES: dict[type[msgspec.Struct], type[msgspec.Struct]] = {
    Heartbeat: Heartbeat,
    GetConfiguration: Configuration,
    Fence: Fenced,
    Submit: Submitted,
    View: Viewed,
    ListJobs: JobList,
    Cancel: Cancelled,
    Place: Placed,
    Commit: Committed,
    Drop: Dropped,
    Stop: Stopping,
    Inventory: Inventoried,
    Report: Reported,
}

__all__ = [
    'Cancel',
    'Cancelled',
    'Claim',
    'Commit',
    'Committed',
    'Configuration',
    'Drop',
    'Dropped',
    'Fault',
    'Fence',
    'Fenced',
    'GetConfiguration',
    'Heartbeat',
    'Inventoried',
    'Inventory',
    'JobList',
    'ListJobs',
    'Place',
    'Placed',
    'Placement',
    'REPLIES',
    'Report',
    'Reported',
    'Room',
    'Stop',
    'Stopping',
    'Submit',
    'Submitted',
    'View',
    'Viewed',
]
