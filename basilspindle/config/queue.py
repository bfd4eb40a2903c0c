"""Describe a queue."""

import msgspec

from basilspindle import document


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """An entry for work; an open one takes it without a key.

    ``workspace`` of a queue that is not open restricts it to that workspace.
    ``kinds`` restricts it to these kinds; None means all of the workspace's.
    """

    open: bool = False
    workspace: document.Name | None = None
    kinds: list[document.Name] | None = None
