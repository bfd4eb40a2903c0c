"""Name whom a key speaks for."""

import msgspec


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Key id, role (``caller`` or ``operator``) and workspace of a key."""

    key_id: str
    role: str
    workspace: str | None = None
