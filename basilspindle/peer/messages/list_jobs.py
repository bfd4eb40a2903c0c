"""Ask the owner of a partition for the jobs of a workspace."""

import msgspec

from basilspindle import model


class ListJobs(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a page of a workspace's jobs with ids above ``after``."""

    partition: int
    workspace: str
    after: str = ''
    limit: int = 100


class JobList(msgspec.Struct, frozen=True, kw_only=True):
    """One page, ordered by id; ``more`` tells whether more follow."""

    views: list[model.JobView]
    more: bool
