"""Run mutation tests: disable one mechanism and check that its test fails.

``python -m tests.mutants [name ...]`` mutates a copy of the tree. It exits
with 1 if a test passes on a mutant or fails on the unchanged code.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile

import msgspec

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_COPIED_PATHS = ('basilspindle', 'tests', 'examples', 'docs', 'nose2.cfg')
_TEST_TIMEOUT_S = 60


class Mutant(msgspec.Struct, frozen=True):
    """A change that disables a mechanism, and the tests that must detect it.

    The first occurrence of ``old`` in the module at ``path`` is replaced by
    ``new``. ``test`` holds the names of tests, separated by spaces.
    """

    name: str
    path: str
    old: str
    new: str
    test: str


MUTANTS = (
    Mutant(
        'workspace task limit',
        'policy/workspace_state.py',
        'self.running_tasks + count > limit_tasks',
        'self.running_tasks + count > limit_tasks + 1',
        'tests.test_coordinator.LimitTest',
    ),
    Mutant(
        'recovered running tasks count against the limit',
        'coordinator/recovery.py',
        'queue.add_running(task.workspace, task.resources)',
        'pass',
        'tests.test_coordinator.LimitTest',
    ),
    Mutant(
        'capacity check of the lease holder',
        'fleet/allocator.py',
        'if view is None or not order.resources.fits(view.free):',
        'if view is None:',
        'tests.test_fleet.PlaceTest',
    ),
    Mutant(
        'journal rejects batches of an old epoch',
        'journal/partition_state.py',
        'return batch.epoch == self.epoch and not self.released',
        'return not self.released',
        'tests.test_journal.OwnershipTest',
    ),
    Mutant(
        'journal skips duplicate batches',
        'journal/partition_state.py',
        'if batch.counter <= self.writers.get(batch.writer, 0):',
        'if False:',
        'tests.test_journal.AppendTest',
    ),
    Mutant(
        'fencing of older epochs',
        'cluster/fence_table.py',
        'if epoch < highest:',
        'if False:',
        'tests.test_ownership.FenceTest',
    ),
    Mutant(
        'starts require assured ownership',
        'coordinator/dispatcher.py',
        'self._may_start = may_start',
        'self._may_start = lambda number: True',
        'tests.test_coordinator.RetryTest',
    ),
    Mutant(
        'starts wait for worker inventories',
        'coordinator/dispatcher.py',
        'if not partition.dispatching or not self._may_start(',
        'if not self._may_start(',
        'tests.test_coordinator.RetryTest',
    ),
    Mutant(
        'start intent is recorded before the start',
        'coordinator/dispatcher.py',
        'if not await self._record_intents(partition, held):',
        'if False:',
        'tests.test_coordinator.AtMostOnceTest',
    ),
    Mutant(
        'unresolved start intents of a previous owner',
        'coordinator/coordinator.py',
        'unresolved = recovery.find_unresolved_intents(partition)',
        'unresolved = []',
        'tests.test_coordinator.AtMostOnceTest',
    ),
    Mutant(
        'non-idempotent tasks are not retried',
        'coordinator/outcome.py',
        'return _decide_non_idempotent(end)',
        'return Decision.RETRY',
        'tests.test_coordinator.AtMostOnceTest',
    ),
    Mutant(
        'task end must match the attempt',
        'coordinator/task_end_handler.py',
        'if task is not None and task.attempt == end.attempt:',
        'if task is not None:',
        'tests.test_coordinator.RetryTest',
    ),
    Mutant(
        'one job per job id',
        'coordinator/admission.py',
        'task = partition.accepting.get(job.job_id)',
        'task = None',
        'tests.test_coordinator.AcceptTest',
    ),
    Mutant(
        'jobs are visible only in their workspace',
        'coordinator/coordinator.py',
        'if tracked is None or tracked.job.workspace != workspace:',
        'if tracked is None:',
        'tests.test_coordinator.AcceptTest',
    ),
    Mutant(
        'grace period before a lease holder is lost',
        'coordinator/sweeper.py',
        'now_ms - since_ms > self._timing.lost_after_ms',
        'now_ms - since_ms >= 0',
        'tests.test_coordinator.RetryTest',
    ),
    Mutant(
        'key of a queued job is checked again',
        'coordinator/housekeeping.py',
        'if not self._key_valid(job):',
        'if False:',
        'tests.test_coordinator.CancelTest',
    ),
    Mutant(
        'no start after the lease expires',
        'fleet/starter.py',
        'if worker.epoch != allocation.epoch or not worker.has_valid_lease(',
        'if worker.epoch != allocation.epoch or False and '
        'not worker.has_valid_lease(',
        'tests.test_fleet_leases.TakeoverTest',
    ),
    Mutant(
        'publication must follow the current version',
        'config/history.py',
        'publication.from_offset == self.head.offset\n'
        '            and publication.from_version == self.head.version',
        'True',
        'tests.test_config_store',
    ),
    Mutant(
        'no key is accepted on a stale configuration',
        'config/store.py',
        'if not self._is_fresh(max_age_ms):',
        'if False:',
        'tests.test_config_store',
    ),
    Mutant(
        'reply of a suspect member is required',
        'cluster/member_state.py',
        'return self not in _STOPPED',
        'return self.responsive',
        'tests.test_membership tests.test_ownership',
    ),
    Mutant(
        'silent peer connection is replaced',
        'peer/client.py',
        'self._retire(address, connection)\n            reason',
        'reason',
        'tests.test_peer.SilentConnectionTest',
    ),
    Mutant(
        'no tasks for leaving workers',
        'fleet/leased_worker.py',
        'self.info.leaving',
        'False',
        'tests.test_fleet_leases.WorkerFaultTest',
    ),
)


def _tests_pass(folder: pathlib.Path, tests: str) -> bool:
    """Return whether the tests pass in a tree; a timeout is a failure."""
    try:
        result = subprocess.run(
            [sys.executable, '-m', 'nose2', *tests.split()],
            cwd=folder,
            capture_output=True,
            timeout=_TEST_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return False
    return result.returncode == 0


def _check_mutant(mutant: Mutant, folder: pathlib.Path) -> str:
    """Return why a mutant counts as a failure, '' if it is detected."""
    path = folder / 'basilspindle' / mutant.path
    text = path.read_text()
    if text.count(mutant.old) < 1:
        return 'the code to replace was not found'
    try:
        path.write_text(text.replace(mutant.old, mutant.new, 1))
        if _tests_pass(folder, mutant.test):
            return 'the test passes on the mutant'
    finally:
        path.write_text(text)
    if not _tests_pass(folder, mutant.test):
        return 'the test fails on the unchanged code'
    return ''


def main() -> int:
    """Check the named mutants, or all; return the exit status."""
    names = sys.argv[1:]
    chosen = [m for m in MUTANTS if not names or m.name in names]
    failure_count = 0
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for path in _COPIED_PATHS:
            source = _ROOT / path
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, folder / path)
        for mutant in chosen:
            failure = _check_mutant(mutant, folder)
            failure_count += bool(failure)
            print(f'{mutant.name}: {failure or "detected"}', flush=True)
    print(f'{len(chosen) - failure_count} of {len(chosen)} detected')
    return 1 if failure_count else 0


if __name__ == '__main__':
    sys.exit(main())
