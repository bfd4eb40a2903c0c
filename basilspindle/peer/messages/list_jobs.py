"""List the jobs of a workspace at the owner of its partition."""

import msgspec

from basilspindle import model


class ListJobs(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for a page of a workspace's jobs with ids above ``after``."""

    partition: int
    workspace: str
    after: str = ''
    limit: int = 100


class JobList(msgspec.Struct, frozen=True, kw_only=True):
    """One page of jobs, ordered by id; ``more`` if there is another."""

    views: list[model.JobView]
    more: bool
