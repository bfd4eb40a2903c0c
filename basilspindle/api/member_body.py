"""Show a daemon to operators."""

import msgspec


class MemberBody(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon and the configuration that it has in force.

    ``age_ms`` is how long ago that configuration was known to be the
    latest; -1 means never.
    """

    member_id: str
    state: str
    version: int
    age_ms: int
    failure_domain: str
    region: str


class MembersBody(msgspec.Struct, frozen=True):
    """All daemons that this one knows of."""

    members: list[MemberBody]
