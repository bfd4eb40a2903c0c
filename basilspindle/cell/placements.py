"""Record which runs may be on each worker, before they are started.

A leader writes the runs of a worker to the log before it sends a start order,
so that its successor knows what a worker that does not answer may run. All
other tasks can start at once (docs/decisions/run-evidence.md).
"""

import collections.abc

from basilspindle.cell import journal as journal_module
from basilspindle.cell import orders as orders_module
from basilspindle.cell import start_copies
from basilspindle.cell import state as state_module
from basilspindle.cell import worker as worker_module
from basilspindle.workflow import task as task_module
from basilspindle.workflow import task_state


class Placements:
    """What the log tells, or will tell, of the runs on each worker.

    A worker without a record may run anything that earlier leaders knew of.
    """

    __slots__ = (
        '_state',
        '_term',
        '_runs',
        '_copies',
        '_removed_ids',
        '_held_starts',
        '_recording_starts',
    )

    def __init__(self, state: state_module.CellState, term: int) -> None:
        self._state = state
        self._term = term
        # Run numbers by task name, by worker id.
        self._runs: dict[str, dict[str, int]] = {}
        # Starts that the log may not hold.
        self._copies: list[start_copies.Start] = []
        # Ids of workers whose records are to be removed.
        self._removed_ids: set[str] = set()
        # Orders that wait for a record of their runs.
        self._held_starts: list[orders_module.StartOrder] = []
        # Those whose runs are part of the append in flight.
        self._recording_starts: list[orders_module.StartOrder] = []

    def __contains__(self, worker_id: str) -> bool:
        return worker_id in self._runs

    def recover(
        self,
        records: dict[str, journal_module.PlacementRecord],
        worker_ids: collections.abc.Container[str],
        first_term: int | None,
        copies: collections.abc.Iterable[start_copies.Start] = (),
    ) -> None:
        """Take over the records of earlier leaders.

        Those before ``first_term`` may be out of date, as a leader of an
        older build has led since; all are if it is None. Only workers in
        ``worker_ids`` may have runs. ``copies`` are starts that the log may
        not hold.
        """
        for worker_id, record in records.items():
            is_current = first_term is not None and record.term >= first_term
            if is_current and worker_id in worker_ids:
                self._runs[worker_id] = dict(record.runs)
            else:
                self._removed_ids.add(worker_id)
        self._copies = [
            start for start in copies if start.worker_id in self._runs
        ]

    def restore(self, now_ms: int) -> None:
        """Assign the known runs to their workers."""
        places: dict[str, set[tuple[int, str]]] = {}
        for worker_id, runs in self._runs.items():
            for name, run in runs.items():
                places.setdefault(name, set()).add((run, worker_id))
        for worker_id, name, run in self._copies:
            places.setdefault(name, set()).add((run, worker_id))
        self._copies = []
        for name, found in places.items():
            task = self._state.table.tasks.get(name)
            if task is not None:
                self._restore_task(task, sorted(found, reverse=True), now_ms)

    def _restore_task(
        self,
        task: task_module.Task,
        places: list[tuple[int, str]],
        now_ms: int,
    ) -> None:
        for run, worker_id in places:
            worker = self._state.workers.get(worker_id)
            if worker is None or run <= task.ended_run:
                continue
            if task.state is not task_state.TaskState.WAITING:
                # The step waits until this run has ended as well.
                worker.unexpected_runs[task.name] = run
                continue
            self._state.adopt(task, worker, run)
            task.is_restored = True
            # Any report shows whether the run is there.
            task.started_ms = max(1, now_ms - 1)

    def hold(self, order: orders_module.StartOrder) -> None:
        """Hold a start order until its run is recorded."""
        self._held_starts.append(order)

    @property
    def waiting_starts(self) -> list[orders_module.StartOrder]:
        """Return the orders of recorded jobs that wait for a record."""
        return [
            order
            for order in (*self._recording_starts, *self._held_starts)
            if not order.is_released
            and order.task.step_run.job.is_recorded(order.task.step_run)
        ]

    def forget(self, worker: worker_module.Worker) -> None:
        """Remove the record of a worker that has no runs."""
        if self._runs.pop(worker.worker_id, None) is not None:
            self._removed_ids.add(worker.worker_id)
        # It is recorded anew if it reports again.
        worker.has_changed_runs = True

    def collect(
        self, batch: journal_module.Batch, has_all_progress: bool
    ) -> None:
        """Add the changed records, and the orders that they allow to send.

        Unless the batch has the progress of all jobs, a run that has ended
        stays in the record: the log may not tell of its end yet.
        """
        for worker in self._state.workers.values():
            if worker.has_changed_runs:
                self._collect_worker(batch, worker, has_all_progress)
        for worker_id in self._removed_ids:
            if worker_id not in self._runs:
                journal_module.put_placement(batch, worker_id, None)
        self._removed_ids.clear()
        held, self._held_starts = self._held_starts, []
        for order in held:
            runs = self._runs.get(order.worker_id, {})
            if runs.get(order.task.name) == order.run:
                batch.starts.append(order)
        self._recording_starts = batch.starts

    def _collect_worker(
        self,
        batch: journal_module.Batch,
        worker: worker_module.Worker,
        has_all_progress: bool,
    ) -> None:
        known = self._runs.get(worker.worker_id)
        if known is None and not worker.reported:
            # What earlier leaders have started there is not known yet.
            return
        runs = worker.placed_runs()
        if known and not has_all_progress:
            runs = {**known, **runs}
        else:
            worker.has_changed_runs = False
        if runs == known:
            return
        self._runs[worker.worker_id] = runs
        journal_module.put_placement(
            batch,
            worker.worker_id,
            journal_module.PlacementRecord(self._term, runs),
        )
