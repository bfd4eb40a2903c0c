"""Run a background task of the daemon and report if it fails."""

import collections.abc
import typing

from basilspindle.cell import events as cell_events
from basilspindle import errors
from basilspindle import events

Work = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


async def run(
    work: Work, on_fault: collections.abc.Callable[[Exception], None]
) -> None:
    """Run until cancelled; log an unexpected error and call ``on_fault``.

    ``Deposed`` is raised to the caller, since it is not a fault.
    """
    try:
        await work()
    except errors.Deposed:
        raise
    except Exception as error:
        events.emit(
            cell_events.INTERNAL_FAULT,
            part=getattr(work, '__qualname__', repr(work)),
            error=repr(error),
        )
        on_fault(error)
