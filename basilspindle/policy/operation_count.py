"""Count steps of work, so that tests can bound a cost without a clock."""


class OperationCount:
    """Number of entries touched by removals, expiry and compaction."""

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count = 0
