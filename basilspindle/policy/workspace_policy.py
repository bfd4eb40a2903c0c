"""Define the share and the limits of a workspace."""

import msgspec

from basilspindle import model


class WorkspacePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Share and upper limits of one workspace.

    ``share`` is a weight relative to the other workspaces. ``limit`` holds
    an upper limit on each amount in use by running tasks; 0 allows none, -1
    means no limit. ``limit_tasks`` limits the running tasks and
    ``max_queued_tasks`` the waiting ones; -1 means no limit.
    """

    share: float = 1.0
    limit: model.Resources | None = None
    limit_tasks: int = -1
    max_queued_tasks: int = -1
