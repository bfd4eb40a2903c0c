"""Provide the hypothesis settings of the randomised tests.

A normal run uses the same examples every time. ``make soak`` runs twenty
times as many from a new seed, and hypothesis prints how to reproduce a
failure.
"""

import os
import typing

import hypothesis

_IS_SOAK = bool(os.environ.get('BASILSPINDLE_SOAK'))
_SOAK_FACTOR = 20


def settings(max_examples: int, **options: typing.Any) -> hypothesis.settings:
    """Return the settings of a test that runs ``max_examples`` in CI."""
    return hypothesis.settings(
        derandomize=not _IS_SOAK,
        max_examples=max_examples * _SOAK_FACTOR if _IS_SOAK else max_examples,
        deadline=None,
        database=None,
        print_blob=True,
        **options,
    )
