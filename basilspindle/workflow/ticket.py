"""Describe the permission to run a step on a worker."""


class Ticket:
    """Ticket of the advice service, valid until ``expires_ms``."""

    __slots__ = ('value', 'expires_ms')

    def __init__(self, value: str, expires_ms: int) -> None:
        self.value = value
        self.expires_ms = expires_ms
