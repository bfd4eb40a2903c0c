"""Describe amounts of what a worker has and a task needs."""

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Amounts: thousandths of a core, MB, whole accelerators and slots."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    def add(self, other: 'Resources') -> 'Resources':
        """Return the sum."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def subtract(self, other: 'Resources') -> 'Resources':
        """Return the difference; it may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def scale(self, factor: int) -> 'Resources':
        """Return the amounts multiplied by a whole number."""
        return Resources(
            self.cpu_millicores * factor,
            self.memory_mb * factor,
            self.accelerators * factor,
            self.slots * factor,
        )

    def fits(self, room: 'Resources') -> bool:
        """Tell whether every amount is within the room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
            and self.slots <= room.slots
        )

    def elementwise_max(self, other: 'Resources') -> 'Resources':
        """Return the larger of both for each amount."""
        return Resources(
            max(self.cpu_millicores, other.cpu_millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )
