"""Policy of batch work: fill the fullest worker that fits."""


class Pack:
    """Best fit over the dominant remaining amount."""

    __slots__ = ()
