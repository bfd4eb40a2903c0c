"""Describe the terms of the advice service."""

import msgspec


class AdviceTerms(msgspec.Struct, frozen=True, array_like=True):
    """Time that the advice service takes and how long a ticket holds."""

    decide_ms: float
    each_ms: float
    valid_ms: float

    def call_ms(self, workers: int) -> float:
        """Return the time of a call that names so many workers."""
        return self.decide_ms + self.each_ms * workers
