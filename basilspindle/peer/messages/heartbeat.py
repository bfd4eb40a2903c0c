"""Exchange liveness, ownership and free capacity between daemons."""

import msgspec

from basilspindle.peer.messages import claim
from basilspindle.peer.messages import room as room_module


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State of a daemon, sent to every other one; also used as the reply.

    ``config_age_ms`` is the time since the sender's configuration was last
    confirmed as current, ``log_age_ms`` the time since the log last answered
    a read; -1 means never. ``waiting_shares`` is the lowest normalised share
    among waiting workspaces by priority class; -1.0 means that none waits.
    ``fenced`` is set in replies only. It lists the fences with a higher epoch
    than the claims of the receiver, so that any member tells a superseded
    owner. ``sent_at_ms`` is the monotonic time of the sender, returned to it
    in ``Place``. New fields are appended and need a default, since the wire
    format encodes fields by position.
    """

    member_id: str
    incarnation: str
    address: str
    api_address: str
    failure_domain: str
    region: str
    leaving: bool = False
    sent_at_ms: int = 0
    config_version: int = 0
    config_age_ms: int = -1
    log_age_ms: int = -1
    claims: list[claim.Claim] = []
    room: room_module.Room = room_module.Room()
    waiting_shares: list[float] = msgspec.field(
        default_factory=lambda: [-1.0, -1.0, -1.0]
    )
    fenced: list[claim.Claim] = []
