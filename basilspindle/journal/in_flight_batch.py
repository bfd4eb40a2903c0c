"""Hold the one batch that is being appended."""

import asyncio

from basilspindle.journal import append_item
from basilspindle.journal import batch as batch_module


class InFlightBatch:
    """Batch whose outcome is not known yet, or has just been settled."""

    __slots__ = ('batch', 'data', 'items', 'settled')

    def __init__(
        self,
        batch: batch_module.Batch,
        items: list[append_item.AppendItem],
    ) -> None:
        self.batch = batch
        self.items = items
        encoded_records = [
            data for item in items for data in item.encoded_records
        ]
        self.data = batch_module.encode_joined(batch, encoded_records)
        self.settled: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        for item in items:
            item.sent = True

    @property
    def is_claim(self) -> bool:
        """Tell whether the batch claims the partition."""
        return self.items[0].is_claim

    @property
    def is_settled(self) -> bool:
        """Tell whether the outcome is known."""
        return self.settled.done()

    @property
    def all_callers_gone(self) -> bool:
        """Tell whether all callers have stopped waiting."""
        return all(item.confirmed.cancelled() for item in self.items)

    def settle(self) -> None:
        """Mark the outcome as known."""
        if not self.settled.done():
            self.settled.set_result(None)
