"""Ask the owner of a partition for the jobs of a team."""

import msgspec

from basilspindle import model


class ListJobs(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a page of a team's jobs with ids above ``after``."""

    partition: int
    team: str
    after: str = ''
    limit: int = 100


class JobList(msgspec.Struct, frozen=True, kw_only=True):
    """One page, ordered by id; ``more`` tells whether more follow."""

    views: list[model.JobView]
    more: bool
