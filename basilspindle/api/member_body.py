"""Define the JSON bodies that list daemons to operators."""

import msgspec


class MemberBody(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon and the ``version`` of its configuration in force.

    ``age_ms`` is the time since the daemon last confirmed that this version
    is the latest one; -1 if it never has.
    """

    member_id: str
    state: str
    version: int
    age_ms: int
    failure_domain: str
    region: str


class MembersBody(msgspec.Struct, frozen=True):
    """All daemons that the answering daemon knows of."""

    members: list[MemberBody]
