"""Policy of services: keep tasks of one job apart."""


class Spread:
    """Fewest siblings in the failure domain, the rack and the worker."""

    __slots__ = ()
