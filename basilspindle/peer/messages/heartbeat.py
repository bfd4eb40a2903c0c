"""Tell another daemon that this one is live, and what it owns."""

import msgspec

from basilspindle.peer.messages import claim
from basilspindle.peer.messages import room as room_module


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State that a daemon shares with every other; also the reply.

    ``config_age_ms`` and ``log_age_ms`` are the ages of the sender's
    assurance for the configuration and of its last answered log read; -1
    means never. ``waiting_shares`` is the lowest normalised share among
    waiting workspaces, by priority class; -1.0 means none waits. ``fenced`` is
    set in replies only: the fences above claims of the receiver, so that a
    superseded owner learns of it from any member. ``sent_at_ms`` is the
    sender's monotonic time, returned to it in ``Place``. New fields go to
    the end, with a default, since the wire format names no fields.
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
