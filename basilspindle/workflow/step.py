"""Describe one step of a job."""

import msgspec

from basilspindle.workflow import need as need_module


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Identical tasks of a job and their requirements.

    ``count`` is the number of tasks and ``need`` the resources of one.
    ``estimate_ms`` is the declared duration of a task. ``after`` are the
    indexes of the earlier steps that must be done first. The tasks of a
    ``gang`` run only together. ``data_rack`` is the rack where the tasks run
    fast. ``max_per_worker`` 0 means no limit; ``target_ms`` is the upper
    bound on the response time of a service. Tasks of a step that ``fills``
    use idle CPU and reserve none.
    """

    count: int
    need: need_module.Need
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    service: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0

    @property
    def reserved(self) -> need_module.Need:
        """Return the amounts that a task reserves on its worker."""
        if self.fills:
            return need_module.Need(
                0, self.need.memory_mb, self.need.accelerators
            )
        return self.need
