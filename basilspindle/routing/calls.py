"""Record what became of the calls that a router made for one request."""

from basilspindle import clock as clock_module
from basilspindle import errors

# Stands for this daemon in place of the address of another one.
LOCAL = 'local'
ACCEPTED = 'accepted'
# A longer list is cut in log lines; the newest calls stay.
_MAX_LOGGED_CALLS = 8


class Calls:
    """Calls to owners for one request, in the order in which they were made.

    ``refused_by`` is the address of the owner whose error was raised last, or
    ``LOCAL`` if this daemon raised it itself.
    """

    __slots__ = ('refused_by', '_clock', '_begun_ms', '_rows')

    def __init__(self, clock: clock_module.Clock) -> None:
        self.refused_by = LOCAL
        self._clock = clock
        self._begun_ms = clock.now_ms()
        # Address of the owner, when it was called and the outcome.
        self._rows: list[tuple[str, int, str]] = []

    @property
    def count(self) -> int:
        """Return how many calls there were."""
        return len(self._rows)

    @property
    def spent_ms(self) -> int:
        """Return the time since the request came."""
        return self._clock.now_ms() - self._begun_ms

    def note_answer(self, address: str, sent_ms: int) -> None:
        """Record a call that was answered."""
        self._add(address, sent_ms, ACCEPTED)

    def note_error(
        self, address: str, sent_ms: int, error: errors.BasilspindleError
    ) -> None:
        """Record the error of a call."""
        self._add(address, sent_ms, f'{error.kind}, ran {error.ran}')

    def note_refusal(
        self, address: str, sent_ms: int, error: errors.BasilspindleError
    ) -> None:
        """Record the error of an owner after which no other call is made."""
        self.note_error(address, sent_ms, error)
        self.refused_by = address or LOCAL

    def _add(self, address: str, sent_ms: int, outcome: str) -> None:
        self.refused_by = LOCAL
        self._rows.append(
            (address or LOCAL, sent_ms - self._begun_ms, outcome)
        )

    def describe(self) -> list[str]:
        """Return a text for each of the newest calls."""
        return [
            f'{address} after {after_ms} ms: {outcome}'
            for address, after_ms, outcome in self._rows[-_MAX_LOGGED_CALLS:]
        ]
