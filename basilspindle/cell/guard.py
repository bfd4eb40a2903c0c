"""Run a part of the daemon and tell of its fault."""

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
    """Run until cancelled; a fault is logged and handed on.

    Passes ``Deposed`` on, which is no fault.
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
