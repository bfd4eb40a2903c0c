"""Define resource amounts of workers and tasks."""

import msgspec

from basilspindle import decoding


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """CPU in thousandths of a core, memory in MB, accelerators and slots."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def add(self, other: 'Resources') -> 'Resources':
        """Return the sum of each amount."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def subtract(self, other: 'Resources') -> 'Resources':
        """Return the difference of each amount, which may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def scale(self, factor: int) -> 'Resources':
        """Return each amount multiplied by an integer."""
        return Resources(
            self.cpu_millicores * factor,
            self.memory_mb * factor,
            self.accelerators * factor,
            self.slots * factor,
        )

    def fits(self, available: 'Resources') -> bool:
        """Tell whether no amount exceeds the available one."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
            and self.slots <= available.slots
        )

    @property
    def in_range(self) -> bool:
        """Tell whether each amount can be one of a task or a worker."""
        return all(
            0 <= amount <= decoding.MAX_INTEGER
            for amount in msgspec.structs.astuple(self)
        )

    def elementwise_max(self, other: 'Resources') -> 'Resources':
        """Return the larger of both values for each amount."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )
