"""Count operations, so that tests can bound their cost without a clock."""


class OperationCount:
    """Number of entries handled by removal, expiry and compaction."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count = 0
