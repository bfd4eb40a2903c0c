"""Write resources by name in the worker's JSON."""

import msgspec

from basilspindle import model


class Amounts(msgspec.Struct, frozen=True):
    """Resources as the worker's interface names them."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0

    @classmethod
    def from_resources(cls, resources: model.Resources) -> 'Amounts':
        """Convert from the form of the scheduler."""
        return cls(
            resources.cpu_millicores,
            resources.memory_mb,
            resources.accelerators,
            resources.slots,
        )

    def to_resources(self) -> model.Resources:
        """Convert to the form of the scheduler."""
        return model.Resources(
            self.cpu_millicores,
            self.memory_mb,
            self.accelerators,
            self.slots,
        )
