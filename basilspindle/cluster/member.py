"""Hold what this daemon knows about one member."""

from basilspindle.cluster import member_state
from basilspindle.cluster import virtual_machine
from basilspindle.peer import messages


_LEAVING = virtual_machine.VmState.LEAVING


class Member:
    """A daemon at an address; read-only outside this package.

    ``member_id`` is the id on the VM list until the daemon reports its own,
    and empty while only the address is known. ``heartbeat`` is the newest
    one, from a call or a reply; ``reply`` is the newest reply only.
    ``last_answered_send_ms`` is when the request for that reply was sent.
    ``confirmed`` is true once two heartbeats of the process had the same id
    and address, and ``disputed_identity`` is the id and address of the last
    heartbeat of the process that differed, None once one agrees.
    ``last_call_ms`` is when the member last called this daemon.
    Times are monotonic ms of this process; None means never.
    """

    __slots__ = (
        'address',
        'confirmed',
        'disputed_identity',
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
        self.confirmed = False
        self.disputed_identity: tuple[str, str] | None = None
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
        """Return the address of the member's API, '' if unknown."""
        return self.heartbeat.api_address if self.heartbeat else ''

    @property
    def configured(self) -> bool:
        """Tell whether the member has a configuration."""
        return bool(self.heartbeat and self.heartbeat.config_version)

    @property
    def config_version(self) -> int:
        """Return the configuration version that the member last reported."""
        return self.heartbeat.config_version if self.heartbeat else 0

    @property
    def claims(self) -> list[messages.Claim]:
        """Return the claims that the member last reported."""
        return self.heartbeat.claims if self.heartbeat else []

    @property
    def leaving(self) -> bool:
        """Tell whether the member or the VM list reports it as leaving."""
        if self.vm is not None and self.vm.state is _LEAVING:
            return True
        return bool(self.heartbeat and self.heartbeat.leaving)

    def update(self, heartbeat: messages.Heartbeat, now_ms: int) -> None:
        """Update the member from its own heartbeat."""
        identity = (self.member_id, self.incarnation)
        self.confirmed = identity == (
            heartbeat.member_id,
            heartbeat.incarnation,
        )
        self.disputed_identity = None
        self.member_id = heartbeat.member_id
        self.incarnation = heartbeat.incarnation
        self.failure_domain = heartbeat.failure_domain
        self.region = heartbeat.region
        self.heartbeat = heartbeat
        self.last_heard_ms = now_ms
        self.last_refused_ms = None
        self.refused_since_ms = None

    def record_reply(self, reply: messages.Heartbeat, sent_ms: int) -> None:
        """Record the reply to a heartbeat that was sent at ``sent_ms``."""
        self.reply = reply
        self.last_answered_send_ms = sent_ms

    def update_vm(self, vm: virtual_machine.VirtualMachine) -> None:
        """Update the member from its entry on the VM list."""
        self.vm = vm
        if self.heartbeat is None:
            self.member_id = vm.id
            self.failure_domain = vm.failure_domain
            self.region = vm.region

    def record_refusal(self, now_ms: int, max_gap_ms: int) -> None:
        """Record a refused connection; a longer gap starts a new series."""
        last_ms = self.last_refused_ms
        if last_ms is None or now_ms - last_ms > max_gap_ms:
            self.refused_since_ms = now_ms
        self.last_refused_ms = now_ms

    def refused_for_ms(self, now_ms: int, max_gap_ms: int) -> int:
        """Return the length of the current series of refusals, 0 if none.

        A series is over once the last refusal is older than ``max_gap_ms``.
        """
        if self.last_refused_ms is None or self.refused_since_ms is None:
            return 0
        if now_ms - self.last_refused_ms > max_gap_ms:
            return 0
        return self.last_refused_ms - self.refused_since_ms

    def clear_refusals(self) -> None:
        """End the series of refusals after a call that was not refused."""
        self.last_refused_ms = None
        self.refused_since_ms = None
