"""Describe what a workspace may use."""

import msgspec

from basilspindle import model


class WorkspacePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Share and upper limits of one workspace.

    ``share`` is a weight relative to the other workspaces. In ``limit`` each
    amount is an upper limit on what runs: 0 allows none, -1 has no limit.
    ``limit_tasks`` and ``max_queued_tasks`` count tasks; -1 has no limit.
    """

    share: float = 1.0
    limit: model.Resources | None = None
    limit_tasks: int = -1
    max_queued_tasks: int = -1
