"""Fetch the configuration from other daemons."""

from basilspindle import cluster
from basilspindle import errors
from basilspindle.peer import messages

_CALL_TIMEOUT_MS = 1_500


class ConfigurationFetcher:
    """Fetch a newer configuration from the members that report one."""

    __slots__ = ('_client', '_membership')

    def __init__(self, client: cluster.membership.PeerCaller) -> None:
        self._client = client
        self._membership: cluster.Membership | None = None

    def set_membership(self, membership: cluster.Membership) -> None:
        """Set the membership whose members are asked.

        Set after construction, since the configuration store needs the
        fetcher and the membership needs the store.
        """
        self._membership = membership

    async def fetch_configuration(self, above_version: int) -> bytes:
        """Return the encoded record of a newer version, b'' if there is none.

        The member with the newest version is asked first; the next one is
        asked if it does not answer.
        """
        if self._membership is None:
            return b''
        members = sorted(
            self._membership.members(),
            key=lambda member: -member.config_version,
        )
        for member in members:
            if member.config_version <= above_version:
                break
            try:
                reply = await self._client.call(
                    member.address,
                    messages.GetConfiguration(above_version=above_version),
                    _CALL_TIMEOUT_MS,
                )
            except errors.BasilspindleError:
                continue
            if reply.record:
                return reply.record
        return b''
