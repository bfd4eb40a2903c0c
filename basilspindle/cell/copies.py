"""Record what became of the copies of a request that a daemon has sent."""

import collections

from basilspindle import clock as clock_module

# Outcomes of copies that no leader refused. Only the first had no effect.
NOT_SENT = 'not_sent'
NO_REPLY = 'no_reply'
NOT_LEADING = 'not_leading'
# Of a longer list only the newest copies are logged.
_MAX_LOGGED_COPIES = 8


class Copies:
    """Copies of one request, in the order in which they were sent.

    ``count`` is how many there are. ``refused_by`` is the node that sent the
    last refusal, '' if there is none.
    """

    __slots__ = (
        'count',
        'refused_by',
        '_clock',
        '_begun_ms',
        '_rows',
        '_open_epoch',
    )

    def __init__(self, clock: clock_module.Clock) -> None:
        self.count = 0
        self.refused_by = ''
        self._clock = clock
        self._begun_ms = clock.now_ms()
        # Leader, its epoch, when the copy was sent and its outcome.
        self._rows: collections.deque[tuple[str, int, int, str]] = (
            collections.deque(maxlen=_MAX_LOGGED_COPIES)
        )
        # Highest epoch of the copies that may still have an effect.
        self._open_epoch: int | None = None

    @property
    def may_have_effect(self) -> bool:
        """Tell whether a copy may have had an effect or may have one yet."""
        return self._open_epoch is not None

    @property
    def spent_ms(self) -> int:
        """Return the time since the request came."""
        return self._clock.now_ms() - self._begun_ms

    def note(self, node: str, epoch: int, sent_ms: int, outcome: str) -> None:
        """Record what became of a copy that no leader refused."""
        self._add(node, epoch, sent_ms, outcome)
        if outcome != NOT_SENT:
            self._open_epoch = max(epoch, self._open_epoch or 0)

    def note_refusal(
        self,
        node: str,
        epoch: int,
        sent_ms: int,
        kind: str,
        covered_epoch: int = 0,
    ) -> None:
        """Record that a leader refused a copy.

        With it, it refused all copies to leaders of epochs up to
        ``covered_epoch``: it has read what those could record, and they can
        record no more. With 0, it spoke for this copy only.
        """
        self.refused_by = node
        self._add(node, epoch, sent_ms, kind)
        if covered_epoch and covered_epoch >= (self._open_epoch or 0):
            self._open_epoch = None

    def _add(self, node: str, epoch: int, sent_ms: int, outcome: str) -> None:
        self.count += 1
        self._rows.append((node, epoch, sent_ms - self._begun_ms, outcome))

    def describe(self) -> list[str]:
        """Return a text for each of the newest copies."""
        return [
            f'{node} epoch {epoch} after {after_ms} ms: {outcome}'
            for node, epoch, after_ms, outcome in self._rows
        ]
