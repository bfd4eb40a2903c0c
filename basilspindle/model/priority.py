"""Order the classes of work."""

import enum


class Priority(enum.IntEnum):
    """Class of a kind of work; the lowest number goes first."""

    URGENT = 0
    SERVICE = 1
    BATCH = 2
