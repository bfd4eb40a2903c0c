"""Define an API key in the configuration."""

import typing

import msgspec

from basilspindle import document


class Key(msgspec.Struct, frozen=True, kw_only=True):
    """Hash, role and workspace of a key; operators have no workspace."""

    role: typing.Literal['caller', 'operator']
    sha256: document.Sha256
    workspace: document.Name | None = None
