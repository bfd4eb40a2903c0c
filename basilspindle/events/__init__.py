"""Write numbered events to the process log; docs/events.md lists them.

Number ranges: below 100 logging itself, 1xx daemon, 2xx config, 3xx
journal, 4xx cluster, 5xx peer, 6xx fleet, 7xx coordinator, 8xx routing and
api, 9xx cell. Each package defines its events in its ``events`` module.
"""

from basilspindle.events.emit import configure_logging
from basilspindle.events.emit import emit
from basilspindle.events.emit import report_suppressed
from basilspindle.events.event import Event
from basilspindle.events.event import Level

__all__ = ['Event', 'Level', 'configure_logging', 'emit', 'report_suppressed']
