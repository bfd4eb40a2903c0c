"""Describe a key."""

import typing

import msgspec

from basilspindle import document


class Key(msgspec.Struct, frozen=True, kw_only=True):
    """Hash of a key and whom it speaks for; operators have no workspace."""

    role: typing.Literal['caller', 'operator']
    sha256: document.Sha256
    workspace: document.Name | None = None
