"""Hold the records that one caller appends together."""

import asyncio
import collections.abc

from basilspindle.journal import batch as batch_module
from basilspindle.journal import records


class AppendItem:
    """Records of one caller, which go into one batch.

    ``confirmed`` is set to the offset of the batch; a caller that stops
    waiting cancels it. ``sent`` is True once the records may have taken
    effect, and False again when it turns out that they have not.
    """

    __slots__ = (
        'records',
        'encoded_records',
        'size_bytes',
        'confirmed',
        'sent',
    )

    def __init__(
        self, new_records: collections.abc.Sequence[records.Record]
    ) -> None:
        self.records = new_records
        self.encoded_records = [
            batch_module.encode_record(record) for record in new_records
        ]
        self.size_bytes = sum(len(data) for data in self.encoded_records)
        self.confirmed: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )
        self.sent = False

    @property
    def is_claim(self) -> bool:
        """Tell whether this claims the partition."""
        return isinstance(self.records[0], records.Claim)

    @property
    def is_confirmed(self) -> bool:
        """Tell whether the records took effect."""
        done = self.confirmed.done() and not self.confirmed.cancelled()
        return done and self.confirmed.exception() is None

    def confirm(self, offset: int) -> bool:
        """Give the caller the offset; return False if it stopped waiting."""
        if self.confirmed.done():
            return False
        self.confirmed.set_result(offset)
        return True

    def fail(self, error: Exception) -> None:
        """Raise an error in the caller, unless it stopped waiting."""
        if not self.confirmed.done():
            self.confirmed.set_exception(error)
            # Marks the error as retrieved: asyncio would log it if the
            # caller is cancelled before it reads the result.
            self.confirmed.exception()
