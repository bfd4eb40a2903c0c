"""Define a queue."""

import msgspec

from basilspindle import document


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A queue to submit work to; an open one requires no key.

    Work submitted without a key belongs to the ``workspace`` of the open
    queue. A queue that is not open only takes work of its ``workspace``;
    None means of any. ``kinds`` lists the kinds that a queue takes; None
    means all kinds of the workspace.
    """

    open: bool = False
    workspace: document.Name | None = None
    kinds: list[document.Name] | None = None
