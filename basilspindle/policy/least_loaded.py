"""Policy of urgent work: start where least else runs."""


class LeastLoaded:
    """Least loaded worker among those equally healthy."""

    __slots__ = ()
