"""Keep copies of starts at the followers until the log has them.

The leader records each start before it sends the order, or has all followers
that the log names keep it until then. Any of them may be the next leader, and
then knows of these starts; a daemon that the log does not name reckons with
anything (docs/decisions/run-evidence.md).
"""

import asyncio
import collections.abc
import typing

from basilspindle.cell import journal as journal_module
from basilspindle.cell import link as link_module
from basilspindle.cell import messages
from basilspindle import errors

# A follower that takes longer to answer does not answer at all.
_TIMEOUT_MS = 500


class Start(typing.NamedTuple):
    """A run that may have been started on a worker."""

    worker_id: str
    task_name: str
    run: int


class StartCopies:
    """The starts that one daemon keeps for the leader of one epoch."""

    __slots__ = ('_epoch', '_number', '_starts', '_sealed_epoch')

    def __init__(self) -> None:
        self._epoch = 0
        # Of the latest copy; an earlier one may arrive after it.
        self._number = 0
        self._starts: tuple[Start, ...] = ()
        self._sealed_epoch = 0

    def keep(
        self, epoch: int, number: int, starts: collections.abc.Iterable[Start]
    ) -> bool:
        """Replace the copy; tell whether it is kept.

        The copy of a leader with a successor that has taken it is not.
        """
        if epoch < max(self._epoch, self._sealed_epoch):
            return False
        if epoch == self._epoch and number <= self._number:
            return False
        self._epoch, self._number = epoch, number
        self._starts = tuple(starts)
        return True

    def take(self, epoch: int, own_epoch: int) -> tuple[Start, ...]:
        """Return the starts of a leader, and keep no more for it.

        ``own_epoch`` is that of the leader which takes over.
        """
        self._sealed_epoch = max(self._sealed_epoch, own_epoch)
        return self._starts if epoch == self._epoch else ()


class CopyKeepers:
    """The daemons that keep the starts of this leader.

    Every daemon that the log names, or may name after the append in flight,
    has to keep a start before its order is sent.
    """

    __slots__ = (
        '_own',
        '_own_incarnation',
        '_epoch',
        '_links',
        '_confirmed_ids',
        '_pending_ids',
        '_number',
        '_starts',
        '_has_needless_copies',
        '_sends',
    )

    def __init__(
        self, own: StartCopies, own_incarnation: str, epoch: int
    ) -> None:
        self._own = own
        self._own_incarnation = own_incarnation
        self._epoch = epoch
        self._links: set[link_module.Link] = set()
        self._confirmed_ids: frozenset[str] | None = None
        self._pending_ids: frozenset[str] | None = None
        self._number = 0
        # What the log may not hold yet, with the number of the first copy.
        self._starts: dict[Start, int] = {}
        # The followers keep starts that the log has.
        self._has_needless_copies = False
        self._sends: set[asyncio.Task[bool]] = set()

    def add_link(self, link: link_module.Link) -> None:
        """Use a daemon that has connected to this one."""
        self._links.add(link)

    def remove_link(self, link: link_module.Link) -> None:
        """Stop using a daemon whose connection has ended."""
        self._links.discard(link)

    def collect(
        self, batch: journal_module.Batch, has_all_progress: bool
    ) -> None:
        """Add the names of the keepers to an append if they have changed.

        An append with the progress of all jobs tells of all starts so far.
        """
        incarnations = self._linked_ids()
        if incarnations:
            incarnations |= {self._own_incarnation}
        known = self._pending_ids
        if known is None:
            known = self._confirmed_ids
        if incarnations != known:
            self._pending_ids = incarnations
            journal_module.put_copy_keepers(
                batch,
                journal_module.CopyKeepersRecord(
                    self._epoch, tuple(sorted(incarnations))
                ),
            )
        batch.copy_keepers = self._pending_ids
        if has_all_progress:
            batch.covered_copies = self._number

    def apply(self, batch: journal_module.Batch) -> None:
        """Note that an append is confirmed."""
        if batch.copy_keepers is not None:
            self._confirmed_ids, self._pending_ids = batch.copy_keepers, None
        for start, number in list(self._starts.items()):
            if number <= batch.covered_copies:
                del self._starts[start]
                self._has_needless_copies = True

    def drop_needless(self) -> None:
        """Let the followers keep only what the log may not hold.

        What they keep beyond it, a successor reckons with for no reason.
        """
        if not self._has_needless_copies:
            return
        self._copy_locally()
        message = self._message()
        for link in self._find_links() or ():
            task = asyncio.ensure_future(self._send(link, message))
            self._sends.add(task)
            task.add_done_callback(self._sends.discard)

    @property
    def count(self) -> int:
        """Return how many daemons have to keep a start."""
        return len(self._required_ids)

    @property
    def can_keep(self) -> bool:
        """Tell whether all keepers are connected."""
        return bool(self._required_ids) and self._find_links() is not None

    async def keep(self, starts: list[Start]) -> bool:
        """Have all keepers keep these starts as well; tell whether they do."""
        links = self._find_links()
        if links is None or not self._required_ids:
            return False
        required = self._required_ids
        for start in starts:
            self._starts.setdefault(start, self._number + 1)
        if not self._copy_locally():
            return False
        message = self._message()
        answers = await asyncio.gather(
            *(self._send(link, message) for link in links)
        )
        # An append that names more daemons may have begun meanwhile.
        return all(answers) and self._required_ids <= required

    @property
    def _required_ids(self) -> frozenset[str]:
        return (self._confirmed_ids or frozenset()) | (
            self._pending_ids or frozenset()
        )

    def _linked_ids(self) -> frozenset[str]:
        return frozenset(
            link.incarnation for link in self._links if link.keeps_starts
        )

    def _find_links(self) -> list[link_module.Link] | None:
        # None if one of them is missing.
        if self._confirmed_ids is None:
            return None
        newest: dict[str, link_module.Link] = {}
        for link in self._links:
            known = newest.get(link.incarnation)
            if known is None or known.number < link.number:
                newest[link.incarnation] = link
        needed = self._required_ids - {self._own_incarnation}
        if not needed <= newest.keys():
            return None
        return [newest[incarnation] for incarnation in sorted(needed)]

    def _copy_locally(self) -> bool:
        self._number += 1
        self._has_needless_copies = False
        return self._own.keep(self._epoch, self._number, self._starts)

    def _message(self) -> messages.KeepStarts:
        return messages.KeepStarts(
            self._epoch,
            self._number,
            tuple(tuple(start) for start in self._starts),
        )

    async def _send(
        self, link: link_module.Link, message: messages.KeepStarts
    ) -> bool:
        try:
            reply = await link.call(message, _TIMEOUT_MS)
        except errors.PeerError:
            # The starts go on waiting for the log.
            return False
        return isinstance(reply, messages.Accepted)
