"""Look up claims of partitions in the log."""

from basilspindle import decoding
from basilspindle import errors
from basilspindle import journal


class ClaimFinder:
    """Tell whether the log holds a claim of a partition with an epoch."""

    __slots__ = ('_log',)

    def __init__(self, log: journal.LogClient) -> None:
        self._log = log

    async def __call__(self, partition: int, epoch: int) -> bool:
        """Read the record at the offset that the epoch names.

        Returns True as well if the log no longer keeps the record or if it
        cannot be decoded: it may be a claim of another build. Raises
        ``LogUnavailable``.
        """
        if epoch > decoding.MAX_INTEGER:
            # Beyond the offsets that the log gives.
            return False
        try:
            chunk = await self._log.read(
                journal.stream_name(partition), epoch, 1, 0
            )
        except errors.LogTrimmed:
            return True
        if not chunk.records:
            return False
        record = chunk.records[0]
        if record.offset != epoch:
            return True
        try:
            batch = journal.decode(record.data)
        except decoding.FAULTS:
            return True
        return bool(batch.records) and isinstance(
            batch.records[0], journal.Claim
        )
