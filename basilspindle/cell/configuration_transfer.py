"""Transfer a payload of the configuration in parts."""

import math

from basilspindle.cell import messages

# A ping waits behind at most one part: 26 ms on a link of 5 Mbit/s.
_PART_BYTES = 16_384


class ConfigurationTransfer:
    """Parts received so far of the payload between two versions.

    ``target`` is 0 until the first part has told which versions these are.
    """

    __slots__ = ('base_version', 'target', 'begun_ms', '_parts')

    def __init__(self, base_version: int, target: int, begun_ms: int) -> None:
        self.base_version = base_version
        self.target = target
        self.begun_ms = begun_ms
        self._parts: list[bytes] = []

    @property
    def next_number(self) -> int:
        """Return the number of the part to request next."""
        return len(self._parts)

    @property
    def size_bytes(self) -> int:
        """Return the number of bytes received."""
        return sum(map(len, self._parts))

    def expects(self, part: messages.ConfigurationPart) -> bool:
        """Tell whether a part continues this transfer."""
        return (part.base_version, part.version, part.number) == (
            self.base_version,
            self.target,
            self.next_number,
        )

    def add(self, part: messages.ConfigurationPart) -> bytes | None:
        """Add the next part; return the payload if it is complete."""
        self._parts.append(part.data)
        if len(self._parts) < part.part_count:
            return None
        return b''.join(self._parts)


def cut(payload: bytes, number: int) -> tuple[bytes, int]:
    """Return one part of a payload and the number of all its parts."""
    start = number * _PART_BYTES
    return (
        payload[start : start + _PART_BYTES],
        math.ceil(len(payload) / _PART_BYTES),
    )
