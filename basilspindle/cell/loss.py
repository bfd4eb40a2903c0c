"""Tell on which evidence the tasks of a worker are released."""

import enum


class Evidence(enum.StrEnum):
    """Why the runs of a worker count as ended although it lists no ends."""

    # The longest lease that it can have taken has run out.
    LEASE = 'lease'
    # Another id answers at the address at which it last answered.
    REPLACED = 'replaced'
    # It reports a later start time.
    RESTARTED = 'restarted'
