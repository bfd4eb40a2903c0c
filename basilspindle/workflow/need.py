"""Describe the resources that one task occupies on a worker."""

import msgspec


class Need(msgspec.Struct, frozen=True, array_like=True):
    """Resource amounts: millicores, MB and whole accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, available: 'Need') -> bool:
        """Tell whether every amount is at most the available one."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: 'Need', times: int = 1) -> 'Need':
        """Return the sum of the amounts and ``times`` the other ones."""
        return Need(
            self.cpu_millicores + times * other.cpu_millicores,
            self.memory_mb + times * other.memory_mb,
            self.accelerators + times * other.accelerators,
        )
