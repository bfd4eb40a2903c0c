"""Hold the steps with tasks ready to start and note which have changed."""

import typing

from basilspindle.workflow import step_run as step_run_module


class ReadySteps(dict[str, step_run_module.StepRun]):
    """Ready steps by key.

    ``changed_keys`` are the steps that were added, added again or removed
    since they were last taken from it. Only item assignment, ``del`` and
    ``pop`` change the table.
    """

    __slots__ = ('changed_keys',)

    def __init__(self) -> None:
        super().__init__()
        self.changed_keys: set[str] = set()

    def __setitem__(self, key: str, run: step_run_module.StepRun) -> None:
        super().__setitem__(key, run)
        self.changed_keys.add(key)

    def __delitem__(self, key: str) -> None:
        super().__delitem__(key)
        self.changed_keys.add(key)

    def pop(self, key: str, *default: typing.Any) -> typing.Any:
        """Remove a step and return it, or the default."""
        self.changed_keys.add(key)
        return super().pop(key, *default)
