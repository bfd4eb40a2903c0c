"""Record what became of the copies of a request that a daemon has sent."""

from basilspindle import clock as clock_module

# Outcomes of copies that no leader refused.
NO_REPLY = 'no_reply'
NOT_LEADING = 'not_leading'
# A longer list is cut in log lines; the newest copies stay.
_MAX_LOGGED_COPIES = 8


class Copies:
    """Copies of one request, in the order in which they were sent.

    ``refused_by`` is the node that sent the last refusal, '' if there is
    none.
    """

    __slots__ = ('refused_by', '_clock', '_begun_ms', '_rows')

    def __init__(self, clock: clock_module.Clock) -> None:
        self.refused_by = ''
        self._clock = clock
        self._begun_ms = clock.now_ms()
        # Leader, its epoch, when the copy was sent and its outcome.
        self._rows: list[tuple[str, int, int, str]] = []

    @property
    def spent_ms(self) -> int:
        """Return the time since the request came."""
        return self._clock.now_ms() - self._begun_ms

    @property
    def count(self) -> int:
        """Return how many copies there are."""
        return len(self._rows)

    def note(self, node: str, epoch: int, sent_ms: int, outcome: str) -> None:
        """Record what became of a copy that no leader refused."""
        self._rows.append((node, epoch, sent_ms - self._begun_ms, outcome))

    def note_refusal(
        self, node: str, epoch: int, sent_ms: int, kind: str
    ) -> None:
        """Record that a leader refused a copy."""
        self.refused_by = node
        self.note(node, epoch, sent_ms, kind)

    def describe(self) -> list[str]:
        """Return a text for each of the newest copies."""
        return [
            f'{node} epoch {epoch} after {after_ms} ms: {outcome}'
            for node, epoch, after_ms, outcome in self._rows[
                -_MAX_LOGGED_COPIES:
            ]
        ]
