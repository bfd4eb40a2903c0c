"""Keep a fault in one step from ending a loop."""

import collections.abc

from basilspindle.cluster import events as cluster_events
from basilspindle import events


class LogAndSuppress:
    """Log an unexpected exception of the block and go on after it."""

    __slots__ = ('_name',)

    def __init__(self, name: str) -> None:
        self._name = name

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
            cluster_events.STEP_FAILED, step=self._name, error=repr(error)
        )
        return True


def notify(
    listeners: collections.abc.Iterable[collections.abc.Callable[[], None]],
) -> None:
    """Call every listener, also if one fails."""
    for listener in listeners:
        with LogAndSuppress('listener'):
            listener()
