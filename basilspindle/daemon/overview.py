"""Report the state of a daemon to operators."""

import typing

import msgspec

import basilspindle
from basilspindle import api
from basilspindle.daemon import components as components_module
from basilspindle import errors


class Overview:
    """Report the members, workers, readiness and state of a daemon."""

    __slots__ = ('_components',)

    def __init__(self, components: components_module.Components) -> None:
        self._components = components

    def not_ready_reason(self) -> str:
        """Return why this daemon is not ready, '' if it is ready."""
        if self._components.stopping:
            return 'stopping'
        if not self._components.store.version:
            return 'no configuration'
        if self._components.ownership is None:
            return 'starting'
        try:
            self._components.store.check_fresh()
        except errors.BasilspindleError as error:
            return error.kind
        return ''

    def members(self) -> list[api.MemberBody]:
        """Return all members with the version and age of their configuration.

        The age is the time since the version was confirmed as current, -1 if
        it never was.
        """
        now_ms = self._components.clock.now_ms()
        own = self._components.membership.own
        bodies = []
        for member in [own, *self._components.membership.members()]:
            heartbeat = member.heartbeat
            age_ms = heartbeat.config_age_ms if heartbeat else -1
            if member is own:
                age_ms = self._components.config_age_ms()
            elif age_ms >= 0 and member.last_heard_ms is not None:
                age_ms += now_ms - member.last_heard_ms
            version = member.config_version
            bodies.append(
                api.MemberBody(
                    member_id=member.member_id,
                    state=member.state.value,
                    version=self._components.store.version
                    if member is own
                    else version,
                    age_ms=age_ms,
                    failure_domain=member.failure_domain,
                    region=member.region,
                )
            )
        return sorted(bodies, key=lambda body: body.member_id)

    def workers(self) -> list[api.WorkerBody]:
        """Return the workers of the VM list and what this daemon holds."""
        drained = self._components.drained()
        held = set()
        if self._components.fleet is not None:
            held = {
                status.info.worker_id
                for status in self._components.fleet.workers()
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
                self._components.vm_list.workers(), key=lambda vm: vm.id
            )
        ]

    def dump(self) -> dict[str, typing.Any]:
        """Return the state of all components for debugging."""
        state: dict[str, typing.Any] = {
            'member_id': self._components.settings.member_id,
            'incarnation': self._components.incarnation,
            'version': basilspindle.__version__,
            'unready': self.not_ready_reason(),
            'log_down': self._components.log.is_down,
            'configuration': self._components.store.dump(),
            'members': msgspec.to_builtins(self.members()),
        }
        if self._components.ownership is not None:
            state['ownership'] = self._components.ownership.dump()
            state['coordinator'] = self._components.coordinator.dump()
            state['fleet'] = self._components.fleet.dump()
        return state
