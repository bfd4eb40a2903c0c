"""Represent the authenticated owner of an API key."""

import msgspec


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Key id, role (``caller`` or ``operator``) and workspace.

    An operator has no workspace.
    """

    key_id: str
    role: str
    workspace: str | None = None
