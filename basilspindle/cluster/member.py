"""Keep what is known of one member."""

from basilspindle.cluster import member_state
from basilspindle.cluster import virtual_machine
from basilspindle.peer import messages


_LEAVING = virtual_machine.VmState.LEAVING


class Member:
    """One daemon at one address; read-only outside this package.

    ``member_id`` is the id on the VM list until the daemon states its own,
    and empty for an address of which nothing else is known. Times are
    monotonic ms of this process; None means never.
    """

    __slots__ = (
        'address',
        'failure_domain',
        'heartbeat',
        'incarnation',
        'last_answered_send_ms',
        'last_call_ms',
        'last_heard_ms',
        'last_refused_ms',
        'member_id',
        'refused_since_ms',
        'region',
        'reply',
        'state',
        'vm',
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.member_id = ''
        self.incarnation = ''
        self.failure_domain = ''
        self.region = ''
        self.state = member_state.MemberState.SUSPECT
        self.vm: virtual_machine.VirtualMachine | None = None
        self.heartbeat: messages.Heartbeat | None = None
        self.last_heard_ms: int | None = None
        self.last_call_ms: int | None = None
        self.reply: messages.Heartbeat | None = None
        self.last_answered_send_ms: int | None = None
        self.last_refused_ms: int | None = None
        self.refused_since_ms: int | None = None

    @property
    def api_address(self) -> str:
        """Return the address for callers, or '' if not known."""
        return self.heartbeat.api_address if self.heartbeat else ''

    @property
    def configured(self) -> bool:
        """Tell whether the member has a configuration."""
        return bool(self.heartbeat and self.heartbeat.config_version)

    @property
    def config_version(self) -> int:
        """Return the configuration version that the member last stated."""
        return self.heartbeat.config_version if self.heartbeat else 0

    @property
    def claims(self) -> list[messages.Claim]:
        """Return the partitions that the member last said it owns."""
        return self.heartbeat.claims if self.heartbeat else []

    @property
    def leaving(self) -> bool:
        """Tell whether the member or the VM list says that it leaves."""
        if self.vm is not None and self.vm.state is _LEAVING:
            return True
        return bool(self.heartbeat and self.heartbeat.leaving)

    def update(self, heartbeat: messages.Heartbeat, now_ms: int) -> None:
        """Take over what the member says of itself."""
        self.member_id = heartbeat.member_id
        self.incarnation = heartbeat.incarnation
        self.failure_domain = heartbeat.failure_domain
        self.region = heartbeat.region
        self.heartbeat = heartbeat
        self.last_heard_ms = now_ms
        self.last_refused_ms = None
        self.refused_since_ms = None

    def record_reply(self, reply: messages.Heartbeat, sent_ms: int) -> None:
        """Take the reply to a heartbeat that was sent at ``sent_ms``."""
        self.reply = reply
        self.last_answered_send_ms = sent_ms

    def update_vm(self, vm: virtual_machine.VirtualMachine) -> None:
        """Take over what the VM list says of the member."""
        self.vm = vm
        if self.heartbeat is None:
            self.member_id = vm.id
            self.failure_domain = vm.failure_domain
            self.region = vm.region

    def record_refusal(self, now_ms: int, gap_ms: int) -> None:
        """Note a refused connection; a longer gap starts a new series."""
        last_ms = self.last_refused_ms
        if last_ms is None or now_ms - last_ms > gap_ms:
            self.refused_since_ms = now_ms
        self.last_refused_ms = now_ms

    def refused_for_ms(self, now_ms: int, gap_ms: int) -> int:
        """Return how long connections are refused, 0 if not lately."""
        if self.last_refused_ms is None or self.refused_since_ms is None:
            return 0
        if now_ms - self.last_refused_ms > gap_ms:
            return 0
        return self.last_refused_ms - self.refused_since_ms

    def clear_refusals(self) -> None:
        """Note a call without answer, which ends a series of refusals."""
        self.last_refused_ms = None
        self.refused_since_ms = None
