"""Policy of urgent work: start where least else runs."""


class Quick:
    """Least loaded worker among those equally healthy."""

    __slots__ = ()
