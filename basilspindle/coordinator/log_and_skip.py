"""Keep an entry that cannot be applied from hiding those after it."""

from basilspindle.coordinator import events as coordinator_events
from basilspindle import events


class LogAndSkip:
    """Log and suppress any ``Exception`` raised in the with block.

    ``step`` names what is done and ``entry`` the id of the job or task.
    """

    __slots__ = ('_step', '_entry')

    def __init__(self, step: str, entry: str) -> None:
        self._step = step
        self._entry = entry

    def __enter__(self) -> None:
        return None

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: object,
    ) -> bool:
        if not isinstance(error, Exception):
            return False
        events.emit(
            coordinator_events.ENTRY_SKIPPED,
            step=self._step,
            entry=self._entry,
            error=repr(error),
        )
        return True
