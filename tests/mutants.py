"""Remove one mechanism at a time and check that its test then fails.

``python -m tests.mutants [name ...]`` works on a copy of the tree and exits
with 1 if a test passes without the mechanism that it is meant for, or fails
with it.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile

import msgspec

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_TREES = ('basilspindle', 'tests', 'examples', 'docs', 'nose2.cfg')
_TIMEOUT_S = 60


class Mutant(msgspec.Struct, frozen=True):
    """One mechanism, how to remove it, and the test that must notice."""

    name: str
    path: str
    old: str
    new: str
    test: str


MUTANTS = (
    Mutant(
        'limit',
        'policy/workspace_state.py',
        'self.running_tasks + count > limit_tasks',
        'self.running_tasks + count > limit_tasks + 1',
        'tests.test_coordinator.LimitTest',
    ),
    Mutant(
        'adopted tasks count against the limit',
        'coordinator/recovery.py',
        'queue.add_running(task.workspace, task.resources)',
        'pass',
        'tests.test_coordinator.LimitTest',
    ),
    Mutant(
        'capacity check of the holder',
        'fleet/allocator.py',
        'if view is None or not order.resources.fits(view.free):',
        'if view is None:',
        'tests.test_fleet.PlaceTest',
    ),
    Mutant(
        'epoch rule of the journal',
        'journal/partition_state.py',
        'return batch.epoch == self.epoch and not self.released',
        'return not self.released',
        'tests.test_journal.OwnershipTest',
    ),
    Mutant(
        'duplicate batches are skipped',
        'journal/partition_state.py',
        'if batch.counter <= self.writers.get(batch.writer, 0):',
        'if False:',
        'tests.test_journal.AppendTest',
    ),
    Mutant(
        'fence',
        'cluster/fence_table.py',
        'if epoch < highest:',
        'if False:',
        'tests.test_ownership.FenceTest',
    ),
    Mutant(
        'assurance of the owner',
        'coordinator/dispatcher.py',
        'self._may_start = may_start',
        'self._may_start = lambda number: True',
        'tests.test_coordinator.RetryTest',
    ),
    Mutant(
        'starts wait for the inventories',
        'coordinator/dispatcher.py',
        'if not partition.dispatching or not self._may_start(',
        'if not self._may_start(',
        'tests.test_coordinator.RetryTest',
    ),
    Mutant(
        'intent before the start',
        'coordinator/dispatcher.py',
        'if not await self._record_intents(partition, held):',
        'if False:',
        'tests.test_coordinator.AtMostOnceTest',
    ),
    Mutant(
        'intents of an earlier owner',
        'coordinator/coordinator.py',
        'unresolved = recovery.find_unresolved_intents(partition)',
        'unresolved = []',
        'tests.test_coordinator.AtMostOnceTest',
    ),
    Mutant(
        'non-idempotent tasks are not repeated',
        'coordinator/outcome.py',
        'return _decide_non_idempotent(end)',
        'return Decision.RETRY',
        'tests.test_coordinator.AtMostOnceTest',
    ),
    Mutant(
        'an end belongs to one attempt',
        'coordinator/task_end_handler.py',
        'if task is not None and task.attempt == end.attempt:',
        'if task is not None:',
        'tests.test_coordinator.RetryTest',
    ),
    Mutant(
        'one job for one id',
        'coordinator/admission.py',
        'task = partition.accepting.get(job.job_id)',
        'task = None',
        'tests.test_coordinator.AcceptTest',
    ),
    Mutant(
        'jobs belong to their workspace',
        'coordinator/coordinator.py',
        'if tracked is None or tracked.job.workspace != workspace:',
        'if tracked is None:',
        'tests.test_coordinator.AcceptTest',
    ),
    Mutant(
        'a lost holder is waited for',
        'coordinator/sweeper.py',
        'now_ms - since_ms > self._timing.lost_after_ms',
        'now_ms - since_ms >= 0',
        'tests.test_coordinator.RetryTest',
    ),
    Mutant(
        'the key of a queued job is checked again',
        'coordinator/housekeeping.py',
        'if not self._key_valid(job):',
        'if False:',
        'tests.test_coordinator.CancelTest',
    ),
    Mutant(
        'no start after the lease',
        'fleet/starter.py',
        'if worker.epoch != allocation.epoch or not worker.has_valid_lease(',
        'if worker.epoch != allocation.epoch or False and '
        'not worker.has_valid_lease(',
        'tests.test_fleet_leases.TakeoverTest',
    ),
    Mutant(
        'the version order of publications',
        'config/history.py',
        'publication.from_offset == self.head.offset\n'
        '            and publication.from_version == self.head.version',
        'True',
        'tests.test_config_store',
    ),
    Mutant(
        'a stale configuration honours no key',
        'config/store.py',
        'if not self._is_fresh(max_age_ms):',
        'if False:',
        'tests.test_config_store',
    ),
    Mutant(
        'a suspect member must reply',
        'cluster/member_state.py',
        'return self not in _STOPPED',
        'return self.responsive',
        'tests.test_membership tests.test_ownership',
    ),
    Mutant(
        'a silent connection is replaced',
        'peer/client.py',
        'self._retire(address, connection)\n            reason',
        'reason',
        'tests.test_peer.SilentConnectionTest',
    ),
    Mutant(
        'leaving workers get nothing',
        'fleet/leased_worker.py',
        'self.info.leaving',
        'False',
        'tests.test_fleet_leases.WorkerFaultTest',
    ),
)


def _run(folder: pathlib.Path, test: str) -> bool:
    """Return whether the tests pass in a tree; a hang is a failure."""
    try:
        done = subprocess.run(
            [sys.executable, '-m', 'nose2', *test.split()],
            cwd=folder,
            capture_output=True,
            timeout=_TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def _try(mutant: Mutant, folder: pathlib.Path) -> str:
    path = folder / 'basilspindle' / mutant.path
    text = path.read_text()
    if text.count(mutant.old) < 1:
        return 'the code to remove is not there any more'
    try:
        path.write_text(text.replace(mutant.old, mutant.new, 1))
        if _run(folder, mutant.test):
            return 'the test passes without the mechanism'
    finally:
        path.write_text(text)
    if not _run(folder, mutant.test):
        return 'the test fails with the mechanism'
    return ''


def main() -> int:
    """Try the named mutants, or all."""
    names = sys.argv[1:]
    chosen = [m for m in MUTANTS if not names or m.name in names]
    bad = 0
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for tree in _TREES:
            source = _ROOT / tree
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, folder / tree)
        for mutant in chosen:
            fault = _try(mutant, folder)
            bad += bool(fault)
            print(f'{mutant.name}: {fault or "noticed"}', flush=True)
    print(f'{len(chosen) - bad} of {len(chosen)} noticed')
    return 1 if bad else 0


if __name__ == '__main__':
    sys.exit(main())
