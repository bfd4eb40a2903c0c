"""Show operators what a daemon knows and does."""

import typing

import msgspec

import basilspindle
from basilspindle import api
from basilspindle.daemon import parts as parts_module
from basilspindle import errors


class Overview:
    """Views of one daemon: members, workers, readiness and state."""

    __slots__ = ('_parts',)

    def __init__(self, parts: parts_module.Parts) -> None:
        self._parts = parts

    def unready(self) -> str:
        """Return why callers should not be sent here, '' if they should."""
        if self._parts.stopping:
            return 'stopping'
        if not self._parts.store.version:
            return 'no configuration'
        if self._parts.ownership is None:
            return 'starting'
        try:
            self._parts.store.check_fresh()
        except errors.BasilspindleError as error:
            return error.kind
        return ''

    def members(self) -> list[api.MemberBody]:
        """Return all daemons with the configuration they have in force."""
        now_ms = self._parts.clock.now_ms()
        own = self._parts.membership.own
        bodies = []
        for member in [own, *self._parts.membership.members()]:
            heartbeat = member.heartbeat
            age_ms = heartbeat.config_age_ms if heartbeat else -1
            if member is own:
                age_ms = self._parts.config_age_ms()
            elif age_ms >= 0 and member.last_heard_ms is not None:
                age_ms += now_ms - member.last_heard_ms
            version = member.config_version
            bodies.append(
                api.MemberBody(
                    member_id=member.member_id,
                    state=member.state.value,
                    version=self._parts.store.version
                    if member is own
                    else version,
                    age_ms=age_ms,
                    failure_domain=member.failure_domain,
                    region=member.region,
                )
            )
        return sorted(bodies, key=lambda body: body.member_id)

    def workers(self) -> list[api.WorkerBody]:
        """Return the workers of the VM list."""
        drained = self._parts.drained()
        held = set()
        if self._parts.fleet is not None:
            held = {
                status.info.worker_id
                for status in self._parts.fleet.workers()
                if status.ready
            }
        return [
            api.WorkerBody(
                worker_id=vm.id,
                address=vm.address,
                failure_domain=vm.failure_domain,
                rack=vm.rack,
                state=vm.state.value,
                drained=vm.id in drained,
                held=vm.id in held,
            )
            for vm in sorted(
                self._parts.vm_list.workers(), key=lambda vm: vm.id
            )
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of the whole process."""
        state: dict[str, typing.Any] = {
            'member_id': self._parts.settings.member_id,
            'incarnation': self._parts.incarnation,
            'version': basilspindle.__version__,
            'unready': self.unready(),
            'log_down': self._parts.log.is_down,
            'configuration': self._parts.store.dump(),
            'members': msgspec.to_builtins(self.members()),
        }
        if self._parts.ownership is not None:
            state['ownership'] = self._parts.ownership.dump()
            state['coordinator'] = self._parts.coordinator.dump()
            state['fleet'] = self._parts.fleet.dump()
        return state
