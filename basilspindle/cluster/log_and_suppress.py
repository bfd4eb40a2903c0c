"""Keep an unexpected exception from ending a loop."""

import collections.abc

from basilspindle.cluster import events as cluster_events
from basilspindle import events


class LogAndSuppress:
    """Log and suppress any ``Exception`` raised in the with block.

    ``step`` names the block in the log event.
    """

    __slots__ = ('_step',)

    def __init__(self, step: str) -> None:
        self._step = step

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
            cluster_events.STEP_FAILED, step=self._step, error=repr(error)
        )
        return True


def call_listeners(
    listeners: collections.abc.Iterable[collections.abc.Callable[[], None]],
) -> None:
    """Call every listener, even if one raises."""
    for listener in listeners:
        with LogAndSuppress('listener'):
            listener()
