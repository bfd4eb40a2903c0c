"""Policy for urgent work: start on the least loaded worker."""


class LeastLoaded:
    """Choose the least loaded among equally healthy workers."""

    __slots__ = ()
