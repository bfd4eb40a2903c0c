"""Guard the orders that a session sends to its worker."""

import asyncio
import unittest

from basilspindle.cell import session as session_module
from basilspindle.cell import start_outcome
from basilspindle import clock as clock_module
from basilspindle import errors
from tests import cell_case

_Outcome = start_outcome.StartOutcome
_JOB = '00000000000000aa'
_UNKNOWN = errors.WorkerOutcomeUnknown('no answer; ask again')
_NOT_SENT = errors.WorkerUnavailable('no connection; try again')


class _Worker:
    """Answers starts as it is told, one after the other."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def start(self, *values):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Owner:
    def __init__(self):
        self.outcomes = []

    def handle_start_outcome(self, order, outcome):
        self.outcomes.append(outcome)


class StartTest(unittest.TestCase):
    """Guard what the answers to several tries of a start mean together."""

    def outcome(self, *answers):
        """Return the outcome that the owner is told."""
        case = cell_case.CellCase()
        case.setUp()
        worker = case.add_worker('w1')
        case.submit(cell_case.make_definition(_JOB, cell_case.make_step()))
        [order] = case.plan().starts
        owner = _Owner()
        session = session_module.Session(
            worker,
            _Worker(*answers, *[_UNKNOWN] * 100_000),
            owner,
            _FastClock(),
            1,
            10_000,
        )
        session._lease.observe(0, 0)
        asyncio.run(session._start(order))
        return owner.outcomes[0]

    def test_a_try_without_an_answer_may_have_started_the_run(self):
        """Guard against a second run beside the first.

        The first try was carried out and not answered, the second found no
        connection (sweep of kwpa-refunds at 300 machines: TWICE).
        """
        for later in (
            _NOT_SENT,
            _Outcome.UNHEALTHY,
            _Outcome.NO_ROOM,
            _Outcome.TICKET_REFUSED,
            _Outcome.DEADLINE_PASSED,
        ):
            with self.subTest(later=later):
                self.assertIs(_Outcome.UNKNOWN, self.outcome(_UNKNOWN, later))

    def test_a_repeat_that_is_answered_decides(self):
        """Guard against starts that stay undecided."""
        for later in (_Outcome.RUNS, _Outcome.RUN_TOO_LOW):
            with self.subTest(later=later):
                self.assertIs(later, self.outcome(_UNKNOWN, later))

    def test_a_first_answer_decides(self):
        """Guard against room that stays taken by what never ran."""
        self.assertIs(_Outcome.NOT_SENT, self.outcome(_NOT_SENT))
        self.assertIs(_Outcome.NO_ROOM, self.outcome(_Outcome.NO_ROOM))


class _FastClock(clock_module.Clock):
    """Pass 100 ms at each look."""

    __slots__ = ('now',)

    def __init__(self):
        self.now = 0

    def now_ms(self):
        self.now += 100
        return self.now

    async def sleep_ms(self, duration_ms):
        return
