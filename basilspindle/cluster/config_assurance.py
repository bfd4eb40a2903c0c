"""Tell since when the configuration is known to be the latest."""

from basilspindle.cluster import membership as membership_module
from basilspindle.peer import messages


class ConfigAssurance:
    """Derive the assurance of the configuration from heartbeats."""

    __slots__ = ('_membership',)

    def __init__(self, membership: membership_module.Membership) -> None:
        self._membership = membership

    def assured_at_ms(self, version: int) -> int | None:
        """Return the latest moment at which no newer version existed.

        Monotonic ms; None if no moment is known or a member knows a
        version above ``version``.
        """
        members = self._membership.members()
        if any(m.config_version > version for m in members):
            return None
        moments = [
            member.last_answered_send_ms - member.reply.config_age_ms
            for member in members
            if member.last_answered_send_ms is not None
            and member.reply is not None
            and member.reply.config_age_ms >= 0
        ]
        all_ms = self._membership.oldest_answered_send_ms(
            accept=lambda reply: _knows_none_above(reply, version)
        )
        if all_ms is not None:
            moments.append(all_ms)
        return max(moments, default=None)


def _knows_none_above(reply: messages.Heartbeat, version: int) -> bool:
    return reply.config_version <= version
