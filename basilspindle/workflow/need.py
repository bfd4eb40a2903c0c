"""Describe what one task takes of a worker."""

import msgspec


class Need(msgspec.Struct, frozen=True, array_like=True):
    """Amounts: thousandths of a core, MB and whole accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, room: 'Need') -> bool:
        """Tell whether every amount is within the room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def plus(self, other: 'Need', times: int = 1) -> 'Need':
        """Return the sum with ``times`` the other amounts."""
        return Need(
            self.cpu_millicores + times * other.cpu_millicores,
            self.memory_mb + times * other.memory_mb,
            self.accelerators + times * other.accelerators,
        )
