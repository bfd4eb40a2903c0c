"""Encode resources in the JSON of the worker interface."""

import msgspec

from basilspindle import decoding
from basilspindle import model


class Amounts(msgspec.Struct, frozen=True):
    """Resources, with the field names of the worker interface."""

    cpu_millicores: decoding.Count = 0
    memory_mb: decoding.Count = 0
    accelerators: decoding.Count = 0
    slots: decoding.Count = 0

    @classmethod
    def from_resources(cls, resources: model.Resources) -> 'Amounts':
        """Convert from the resources of the scheduler."""
        return cls(
            resources.cpu_millicores,
            resources.memory_mb,
            resources.accelerators,
            resources.slots,
        )

    def to_resources(self) -> model.Resources:
        """Convert to the resources of the scheduler."""
        return model.Resources(
            self.cpu_millicores,
            self.memory_mb,
            self.accelerators,
            self.slots,
        )
