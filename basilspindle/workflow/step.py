"""Describe one step of a job."""

import msgspec

from basilspindle.workflow import need as need_module


class Step(msgspec.Struct, frozen=True, array_like=True):
    """Equal tasks of a job and what they ask of their workers.

    ``after`` are the numbers of earlier steps that must be done first. The
    tasks of a gang run only together. ``data_rack`` is the rack where the
    tasks are fast. ``max_per_worker`` 0 means no limit; ``target_ms`` is
    the bound on the response times of a service.
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
        """Return what a task counts against the capacity of a worker."""
        if self.fills:
            return need_module.Need(
                0, self.need.memory_mb, self.need.accelerators
            )
        return self.need
