"""Describe the timing of the advice service."""

import msgspec


class AdviceTerms(msgspec.Struct, frozen=True, array_like=True):
    """Duration of a call for advice and validity of its tickets.

    A call takes ``decide_ms`` and ``each_ms`` more for every worker that it
    names; a ticket is valid for ``valid_ms``.
    """

    decide_ms: float
    each_ms: float
    valid_ms: float

    def call_ms(self, workers: int) -> float:
        """Return the duration of a call that names ``workers`` workers."""
        return self.decide_ms + self.each_ms * workers
