"""Policy for services: anti-affinity between the tasks of a job."""


class Spread:
    """Choose by fewest siblings in failure domain, rack and worker."""

    __slots__ = ()
