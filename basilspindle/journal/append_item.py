"""Hold records that wait to be appended together."""

import asyncio
import collections.abc

from basilspindle.journal import batch as batch_module
from basilspindle.journal import records


class AppendItem:
    """Records of one caller.

    ``confirmed`` gets the offset of the batch; a caller that gives up
    cancels it. ``sent`` is True while the records may have had an effect.
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
        """Tell whether the offset is known."""
        done = self.confirmed.done() and not self.confirmed.cancelled()
        return done and self.confirmed.exception() is None

    def confirm(self, offset: int) -> bool:
        """Answer the caller; return False if it has given up."""
        if self.confirmed.done():
            return False
        self.confirmed.set_result(offset)
        return True

    def fail(self, error: Exception) -> None:
        """Refuse the caller."""
        if not self.confirmed.done():
            self.confirmed.set_exception(error)
            # A caller that goes away at the same time reads no result.
            self.confirmed.exception()
