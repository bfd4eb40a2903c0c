"""Policy for batch work: bin packing, best fit."""


class Pack:
    """Choose by the smallest free fraction left over, best fit."""

    __slots__ = ()
