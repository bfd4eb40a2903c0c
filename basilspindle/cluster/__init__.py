"""Track the other daemons and share out the partitions with them."""

from basilspindle.cluster.config_assurance import ConfigAssurance
from basilspindle.cluster.fence_table import FenceTable
from basilspindle.cluster.journal import Journal
from basilspindle.cluster.member import Member
from basilspindle.cluster.member_state import MemberState
from basilspindle.cluster.membership import Membership
from basilspindle.cluster.ownership import Ownership
from basilspindle.cluster.partition import home_region
from basilspindle.cluster.partition import partition_of
from basilspindle.cluster.partition_host import PartitionHost
from basilspindle.cluster.rendezvous import rendezvous
from basilspindle.cluster.timing import Timing
from basilspindle.cluster.virtual_machine import Role
from basilspindle.cluster.virtual_machine import VirtualMachine
from basilspindle.cluster.virtual_machine import VmState
from basilspindle.cluster.vm_list import VmList
from basilspindle.cluster.vm_list_client import VmListClient

__all__ = [
    'ConfigAssurance',
    'FenceTable',
    'Journal',
    'Member',
    'MemberState',
    'Membership',
    'Ownership',
    'PartitionHost',
    'Role',
    'Timing',
    'VirtualMachine',
    'VmList',
    'VmListClient',
    'VmState',
    'home_region',
    'partition_of',
    'rendezvous',
]
