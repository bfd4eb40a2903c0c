"""Set how long the randomised tests run.

In CI they run the same examples every time. ``make soak`` runs twenty times
as many with a new seed, which hypothesis prints when a test fails.
"""

import os
import typing

import hypothesis

_SOAK = bool(os.environ.get('BASILSPINDLE_SOAK'))
_FACTOR = 20


def settings(max_examples: int, **more: typing.Any) -> hypothesis.settings:
    """Return the settings of a randomised test."""
    return hypothesis.settings(
        derandomize=not _SOAK,
        max_examples=max_examples * _FACTOR if _SOAK else max_examples,
        deadline=None,
        database=None,
        print_blob=True,
        **more,
    )
