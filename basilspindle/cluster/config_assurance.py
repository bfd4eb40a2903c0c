"""Determine when the configuration was last known to be current."""

from basilspindle.cluster import membership as membership_module
from basilspindle.peer import messages


class ConfigAssurance:
    """Derive from heartbeats when a configuration was last current."""

    __slots__ = ('_membership',)

    def __init__(self, membership: membership_module.Membership) -> None:
        self._membership = membership

    def assured_at_ms(self, version: int) -> int | None:
        """Return the latest time at which ``version`` was the newest.

        Monotonic ms; None if no such time is known or a member reports a
        newer version. A member that read the log recently vouches for the
        time of that read; without the log, the replies of all members do.
        """
        members = self._membership.members()
        if any(m.config_version > version for m in members):
            return None
        times_ms = [
            member.last_answered_send_ms - member.reply.config_age_ms
            for member in members
            if member.last_answered_send_ms is not None
            and member.reply is not None
            and member.reply.config_age_ms >= 0
        ]
        all_answered_ms = self._membership.oldest_answered_send_ms(
            accept=lambda reply: _reports_no_newer(reply, version)
        )
        if all_answered_ms is not None:
            times_ms.append(all_answered_ms)
        return max(times_ms, default=None)


def _reports_no_newer(reply: messages.Heartbeat, version: int) -> bool:
    return reply.config_version <= version
