"""Order the waiting work of teams by priority class and share."""

import collections.abc
import heapq
import itertools

from basilspindle import errors
from basilspindle import model
from basilspindle.policy import amounts as amounts_module
from basilspindle.policy import entry as entry_module
from basilspindle.policy import expected_ends
from basilspindle.policy import lazy_heap
from basilspindle.policy import pick
from basilspindle.policy import reservation as reservation_module
from basilspindle.policy import selection as selection_module
from basilspindle.policy import step_count
from basilspindle.policy import team_policy
from basilspindle.policy import team_state

FAIRNESS_MARGIN = 0.05
GANG_WAIT_MS = 30_000
# A gang that found no room in this time gives others a turn for as long.
GANG_RESERVE_MS = 300_000
RECALL_MS = 60_000
_RESERVE_CHECK_MS = 250
_RETRY_MIN_MS = 100
_RETRY_MAX_MS = 30_000
_RETRY_UNKNOWN_MS = 1_000
_NOBODY = -1.0


def _never(resources: model.Resources) -> bool:
    return False


def _expires(key: int, entry: entry_module.Entry) -> bool:
    return entry.count > 0 and entry.expires_ms == key


class FairQueue:
    """Waiting and running work of many teams; time is passed in as ms.

    The normalised share of a team is its dominant share of the fleet
    divided by its part of all weights: 1.0 is exactly its share. Strict
    order of classes; in a class the team with the lowest share is next.
    """

    __slots__ = (
        '_teams',
        '_entries',
        '_popped',
        '_classes',
        '_total',
        '_weights',
        '_sequence',
        '_turn',
        '_deadlines',
        '_ends',
        '_gangs',
        '_reservation',
        '_checked_ms',
        '_margin',
        '_gang_wait_ms',
        '_gang_reserve_ms',
        '_recall_ms',
        '_steps',
    )

    def __init__(
        self,
        *,
        margin: float = FAIRNESS_MARGIN,
        gang_wait_ms: int = GANG_WAIT_MS,
        gang_reserve_ms: int = GANG_RESERVE_MS,
        recall_ms: int = RECALL_MS,
    ) -> None:
        self._steps = step_count.StepCount()
        self._teams: dict[str, team_state.TeamState] = {}
        # A job has a second entry if it is queued with another shape.
        self._entries: dict[str, list[entry_module.Entry]] = {}
        # Entries with tasks in flight and none waiting, by their last pop.
        self._popped: dict[entry_module.Entry, None] = {}
        self._classes: list[dict[str, team_state.TeamState]] = [
            {} for _ in model.Priority
        ]
        self._total = (0, 0, 0, 0)
        self._weights = 0.0
        self._sequence = itertools.count(1)
        self._turn = itertools.count(1)
        self._deadlines = lazy_heap.LazyHeap(_expires, self._steps)
        self._ends = expected_ends.ExpectedEnds()
        self._gangs: dict[entry_module.Entry, None] = {}
        self._reservation: reservation_module.Reservation | None = None
        self._checked_ms = 0
        self._margin = margin
        self._gang_wait_ms = gang_wait_ms
        self._gang_reserve_ms = gang_reserve_ms
        self._recall_ms = recall_ms

    @property
    def steps(self) -> int:
        """Return the entries touched by removals and expiry so far."""
        return self._steps.count

    # Settings

    def set_teams(
        self, teams: collections.abc.Mapping[str, team_policy.TeamPolicy]
    ) -> None:
        """Replace the policies of all teams of the cell.

        A team that is no longer named keeps its last policy as long as
        it has work. Nothing that runs is affected by a lower limit.
        """
        self._weights = sum(policy.share for policy in teams.values())
        for name, policy in teams.items():
            self._team(name).set_policy(policy)
        for name in [n for n in self._teams if n not in teams]:
            team = self._teams[name]
            if not team.running_tasks and not sum(team.waiting):
                del self._teams[name]
        self._measure_all()

    def set_total(self, resources: model.Resources) -> None:
        """Set what the whole fleet has, the base of dominant shares."""
        total = amounts_module.split(resources)
        if total != self._total:
            self._total = total
            self._measure_all()

    # Waiting work

    def push(
        self,
        job_id: str,
        team: str,
        priority: model.Priority,
        resources: model.Resources,
        count: int,
        gang: bool,
        now_ms: int,
        deadline_ms: int,
        *,
        run_time_ms: int = 0,
        accepted: bool = False,
    ) -> None:
        """Add waiting tasks of a job.

        ``resources`` are for one task; ``deadline_ms`` counts from
        ``now_ms``, 0 means none; ``run_time_ms`` 0 means unknown. Work
        that was ``accepted`` before is never refused. A known job takes
        its earlier turn and the new deadline if shape and class are the
        same. Raises ``QueueFull`` (not run).
        """
        state = self._team(team)
        if not accepted:
            self._check_bound(state, count)
        entry = self._known(job_id, priority, resources, gang)
        if entry is None:
            entry = self._enter(job_id, team, priority, resources, now_ms)
            entry.gang_tasks = count if gang else 0
        entry.run_time_ms = run_time_ms
        entry.expires_ms = now_ms + deadline_ms if deadline_ms > 0 else 0
        self._queue(state, entry, count)

    def check_room(self, team: str, count: int) -> None:
        """Raise ``QueueFull`` if so many more tasks may not wait."""
        self._check_bound(self._team(team), count)

    def give_back(
        self,
        job_id: str,
        count: int,
        now_ms: int,
        *,
        resources: model.Resources | None = None,
        wait_ms: int = 0,
    ) -> int:
        """Return popped tasks that were not placed to their earlier turn.

        They no longer count as running and are not picked for
        ``wait_ms``. The rest of a gang waits as single tasks.
        ``resources`` tells the picks of a job apart that was queued with
        several shapes. Returns the tasks that wait again: 0 if the job
        was removed. Raises ``NotFound`` if they are not in flight.
        """
        entry = self._in_flight(job_id, count, resources)
        team = self._team(entry.team)
        entry.in_flight -= count
        self._run(team, entry.amounts, -count)
        if entry.run_time_ms:
            self._ends.take_back(entry.amounts, count)
        if entry.removed:
            self._forget(entry)
            return 0
        if entry.gang_tasks and count != entry.gang_tasks:
            entry = self._split(entry)
        if wait_ms > 0:
            entry.not_before_ms = now_ms + wait_ms
        self._queue(team, entry, count)
        return count

    def confirm(
        self,
        job_id: str,
        count: int = 1,
        *,
        resources: model.Resources | None = None,
    ) -> None:
        """Note that popped tasks were placed and will not be given back.

        Optional: it frees their memory before ``recall_ms`` has passed.
        """
        for entry in tuple(self._entries.get(job_id, ())):
            if resources is None or entry.resources == resources:
                taken = min(count, entry.in_flight)
                entry.in_flight -= taken
                count -= taken
                self._forget(entry)

    def remove(self, job_id: str) -> int:
        """Remove the waiting tasks of a job; return their number.

        Popped tasks stay counted as running until they are given back or
        ended.
        """
        self._steps.count += 1
        removed = 0
        for entry in tuple(self._entries.get(job_id, ())):
            removed += self._unqueue(entry, entry.count)
            entry.removed = True
            self._forget(entry)
        return removed

    def expired(self, now_ms: int) -> list[tuple[str, int]]:
        """Remove the waiting tasks past their deadline and return them."""
        found = []
        while (first := self._deadlines.first()) is not None:
            expires_ms, entry = first
            if expires_ms > now_ms:
                break
            found.append((entry.job_id, self._unqueue(entry, entry.count)))
            self._forget(entry)
        return found

    def waiting(self, team: str | None = None) -> int:
        """Return the number of waiting tasks, of one team or of all."""
        if team is not None:
            state = self._teams.get(team)
            return 0 if state is None else sum(state.waiting)
        return sum(sum(state.waiting) for state in self._teams.values())

    # Next tasks

    def pop(
        self,
        now_ms: int,
        max_tasks: int,
        *,
        blocked: selection_module.Blocked = _never,
        floors: collections.abc.Sequence[float] | None = None,
        room_for: selection_module.RoomFor | None = None,
    ) -> list[pick.Pick]:
        """Pick the next tasks and count them as running.

        A gang is picked as a whole and may exceed ``max_tasks``.
        ``blocked`` passes over a shape. ``room_for`` returns how many
        tasks of a shape fit the fleet now; without it a gang with a
        reservation is assumed to have no room beside it. ``floors`` holds
        the lowest waiting share elsewhere for each class, -1.0 for none.
        """
        kept = self._reserve(now_ms, room_for)
        found = selection_module.Selection(
            now_ms, max_tasks, blocked, room_for, kept
        )
        ceiling = float('inf')
        for priority in model.Priority:
            if floors is not None and floors[priority] >= 0:
                ceiling = min(ceiling, floors[priority] + self._margin)
            if found.left <= 0:
                break
            self._start_gang(found, priority)
            self._pop_class(found, priority, ceiling)
        self._expire_popped(now_ms)
        return found.picks

    def _pop_class(
        self,
        found: selection_module.Selection,
        priority: model.Priority,
        ceiling: float,
    ) -> None:
        order = [
            (team.share, team.turn, team)
            for team in self._classes[priority].values()
        ]
        heapq.heapify(order)
        while order and found.left > 0:
            share, _, team = order[0]
            if share > ceiling:
                return
            entry = found.next(team, priority)
            if entry is None:
                heapq.heappop(order)
                continue
            self._start(found, team, entry)
            if team.waiting[priority]:
                heapq.heapreplace(order, (team.share, team.turn, team))
            else:
                heapq.heappop(order)

    def _start_gang(
        self, found: selection_module.Selection, priority: model.Priority
    ) -> None:
        kept = found.reservation
        if kept is None or kept.entry.priority != priority:
            return
        team = self._teams[kept.entry.team]
        if kept.ready and found.admits(team, kept.entry):
            self._start(found, team, kept.entry)

    def _start(
        self,
        found: selection_module.Selection,
        team: team_state.TeamState,
        entry: entry_module.Entry,
    ) -> None:
        count = entry.gang_tasks or 1
        self._unqueue(entry, count)
        entry.in_flight += count
        entry.popped_ms = found.now_ms
        self._popped.pop(entry, None)
        if not entry.count:
            self._popped[entry] = None
        self._run(team, entry.amounts, count)
        if entry.run_time_ms:
            end_ms = found.now_ms + entry.run_time_ms
            self._ends.add(entry.amounts, end_ms, count)
        team.turn = next(self._turn)
        team.drained(count, found.now_ms)
        found.take(entry, count)

    # Gangs

    def _reserve(
        self, now_ms: int, room_for: selection_module.RoomFor | None
    ) -> reservation_module.Reservation | None:
        kept = self._reservation
        if kept is not None and not self._holds(kept, now_ms):
            kept = self._reservation = None
        if now_ms - self._checked_ms >= _RESERVE_CHECK_MS:
            self._checked_ms = now_ms
            if kept is None:
                kept = self._reservation = self._oldest_gang(now_ms)
        if kept is not None:
            room = 0
            if room_for is not None:
                room = room_for(kept.entry.resources)
            kept.update(room, self._ends)
            kept.ready = kept.ready or room_for is None
        return kept

    def _holds(
        self, kept: reservation_module.Reservation, now_ms: int
    ) -> bool:
        entry = kept.entry
        if not entry.count:
            return False
        if now_ms - kept.since_ms >= self._gang_reserve_ms:
            entry.pushed_ms = now_ms + self._gang_reserve_ms
            return False
        team = self._teams[entry.team]
        return team.allows(entry.amounts, entry.gang_tasks)

    def _oldest_gang(
        self, now_ms: int
    ) -> reservation_module.Reservation | None:
        due = [
            (entry.pushed_ms, entry.sequence, entry)
            for entry in self._gangs
            if now_ms - entry.pushed_ms >= self._gang_wait_ms
            and self._teams[entry.team].allows(entry.amounts, entry.gang_tasks)
        ]
        if not due:
            return None
        return reservation_module.Reservation(min(due)[2], now_ms)

    # Running work

    def add_running(
        self,
        team: str,
        resources: model.Resources,
        count: int = 1,
        *,
        end_ms: int = 0,
    ) -> None:
        """Count adopted tasks as running, also above the upper limit.

        ``end_ms`` is when they are expected to end, 0 if unknown.
        """
        amounts = amounts_module.split(resources)
        self._run(self._team(team), amounts, count)
        if end_ms:
            self._ends.add(amounts, end_ms, count)

    def end_running(
        self, team: str, resources: model.Resources, count: int = 1
    ) -> None:
        """Count tasks as ended.

        Raises ``ValueError`` if more end than run.
        """
        amounts = amounts_module.split(resources)
        self._run(self._team(team), amounts, -count)
        self._ends.end(amounts, count)

    def running(self, team: str) -> model.Resources:
        """Return the resources of the running tasks of a team."""
        state = self._teams.get(team)
        return model.Resources(*state.running) if state else model.Resources()

    def running_tasks(self, team: str) -> int:
        """Return the number of running tasks of a team."""
        state = self._teams.get(team)
        return state.running_tasks if state else 0

    def limits_ok(
        self,
        team: str,
        resources: model.Resources = model.Resources(),
        count: int = 1,
    ) -> bool:
        """Tell whether so many more tasks stay within the team's limits."""
        amounts = amounts_module.split(resources)
        return self._team(team).allows(amounts, count)

    # Shares

    def share(self, team: str) -> float:
        """Return the normalised share of a team; 1.0 is its part."""
        state = self._teams.get(team)
        return state.share if state else 0.0

    def waiting_shares(self) -> list[float]:
        """Return the lowest share of waiting teams by class, -1.0 if none.

        Teams at their limit, and gangs without a reservation, are left
        out: others need not make way for them.
        """
        return [self._lowest(priority) for priority in model.Priority]

    def _lowest(self, priority: model.Priority) -> float:
        return min(
            (
                team.share
                for team in self._classes[priority].values()
                if self._startable(team, priority)
            ),
            default=_NOBODY,
        )

    def _startable(
        self, team: team_state.TeamState, priority: model.Priority
    ) -> bool:
        kept = self._reservation
        for lane in team.lanes[priority].values():
            entry = lane.head()
            if entry is None:
                continue
            if entry.gang_tasks:
                if kept is not None and kept.entry is entry:
                    return True
            elif team.allows(entry.amounts, 1):
                return True
        return False

    def _measure_all(self) -> None:
        for team in self._teams.values():
            weight = team.policy.share if team.policy is not None else 0.0
            # A team without a weight yields to every other.
            part = weight / self._weights if self._weights else 1.0
            team.weight = max(part, 1e-9)
            self._measure(team)

    def _measure(self, team: team_state.TeamState) -> None:
        dominant = max(
            running / total if total else 0.0
            for running, total in zip(team.running, self._total, strict=True)
        )
        team.share = dominant / team.weight

    # Bookkeeping

    def _team(self, name: str) -> team_state.TeamState:
        team = self._teams.get(name)
        if team is None:
            team = team_state.TeamState(name, next(self._turn), self._steps)
            self._teams[name] = team
        return team

    def _run(
        self,
        team: team_state.TeamState,
        amounts: amounts_module.Amounts,
        count: int,
    ) -> None:
        team.run(amounts, count)
        self._measure(team)

    def _known(
        self,
        job_id: str,
        priority: model.Priority,
        resources: model.Resources,
        gang: bool,
    ) -> entry_module.Entry | None:
        for entry in self._entries.get(job_id, ()):
            if (
                not gang
                and not entry.gang_tasks
                and not entry.removed
                and entry.priority == priority
                and entry.resources == resources
            ):
                return entry
        return None

    def _in_flight(
        self, job_id: str, count: int, resources: model.Resources | None
    ) -> entry_module.Entry:
        for entry in reversed(self._entries.get(job_id, ())):
            if entry.in_flight >= count and (
                resources is None or entry.resources == resources
            ):
                return entry
        raise errors.NotFound(
            f'{count} tasks of job {job_id!r} are not in flight; give back '
            f'what was popped, once, within {self._recall_ms} ms'
        )

    def _enter(
        self,
        job_id: str,
        team: str,
        priority: model.Priority,
        resources: model.Resources,
        now_ms: int,
    ) -> entry_module.Entry:
        entry = entry_module.Entry(
            job_id, team, resources, priority, next(self._sequence), now_ms
        )
        self._entries.setdefault(job_id, []).append(entry)
        return entry

    def _split(self, gang: entry_module.Entry) -> entry_module.Entry:
        for entry in self._entries[gang.job_id]:
            if not entry.gang_tasks and entry.resources == gang.resources:
                return entry
        entry = self._enter(
            gang.job_id,
            gang.team,
            gang.priority,
            gang.resources,
            gang.pushed_ms,
        )
        entry.sequence = gang.sequence
        entry.run_time_ms = gang.run_time_ms
        entry.expires_ms = gang.expires_ms
        return entry

    def _queue(
        self,
        team: team_state.TeamState,
        entry: entry_module.Entry,
        count: int,
    ) -> None:
        team.queue(entry, count)
        self._classes[entry.priority][team.name] = team
        self._popped.pop(entry, None)
        if entry.gang_tasks:
            self._gangs[entry] = None
        if entry.expires_ms:
            self._deadlines.add(entry.expires_ms, entry)

    def _unqueue(self, entry: entry_module.Entry, count: int) -> int:
        if not count:
            return 0
        team = self._team(entry.team)
        team.unqueue(entry, count)
        if not team.waiting[entry.priority]:
            self._classes[entry.priority].pop(entry.team, None)
        if not entry.count:
            self._gangs.pop(entry, None)
            if entry.in_flight:
                self._popped[entry] = None
            if entry.expires_ms:
                self._deadlines.mark_dead()
        return count

    def _forget(self, entry: entry_module.Entry) -> None:
        if entry.count or entry.in_flight:
            return
        self._popped.pop(entry, None)
        entries = self._entries.get(entry.job_id, [])
        if entry in entries:
            entries.remove(entry)
        if not entries:
            self._entries.pop(entry.job_id, None)

    def _expire_popped(self, now_ms: int) -> None:
        while self._popped:
            entry = next(iter(self._popped))
            if now_ms - entry.popped_ms < self._recall_ms:
                return
            entry.in_flight = 0
            self._forget(entry)

    def _check_bound(self, team: team_state.TeamState, count: int) -> None:
        if team.policy is None or team.policy.max_queued_tasks < 0:
            return
        bound = team.policy.max_queued_tasks
        waiting = sum(team.waiting)
        if waiting + count <= bound:
            return
        if count > bound:
            raise errors.QueueFull(
                f'a job of {count} tasks is above the {bound} that team '
                f'{team.name!r} may queue; submit smaller jobs or have '
                'max_queued_tasks raised'
            )
        drain_ms = team.drain_ms(waiting + count - bound)
        retry_ms = drain_ms or _RETRY_UNKNOWN_MS
        retry_ms = min(max(retry_ms, _RETRY_MIN_MS), _RETRY_MAX_MS)
        raise errors.QueueFull(
            f'team {team.name!r} has {waiting} tasks waiting of at most '
            f'{bound}; try again in {retry_ms} ms or have '
            'max_queued_tasks raised',
            retry_after_ms=retry_ms,
        )
