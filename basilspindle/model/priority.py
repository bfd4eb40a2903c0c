"""Define the priority classes."""

import enum


class Priority(enum.IntEnum):
    """Priority class of a kind; lower numbers are scheduled first."""

    URGENT = 0
    SERVICE = 1
    BATCH = 2
