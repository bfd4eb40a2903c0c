"""Describe an entry of the platform's VM list."""

import enum

import msgspec


class Role(enum.StrEnum):
    """What a VM is used for."""

    ENTRY = 'entry'
    WORKER = 'worker'


class VmState(enum.StrEnum):
    """Whether a VM stays or is about to be removed."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VirtualMachine(msgspec.Struct, frozen=True, kw_only=True):
    """A VM; ``address`` is ``ip:port``, the peer port for entry VMs."""

    id: str
    address: str
    role: Role
    state: VmState = VmState.LIVE
    failure_domain: str = ''
    rack: str = ''
    region: str = ''
