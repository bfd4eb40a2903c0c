"""Run the soak test with the seeds from FIRST, COUNT of them.

Usage: ``python -m tests.soak_platform [FIRST [COUNT [ROOT]]]``. FIRST is by
default the current Unix time and COUNT 10. ROOT is the source tree of the
daemons, by default this one. Logs of seeds that fail are copied to the folder
in BASILSPINDLE_SOAK_LOGS, if that is set.
"""

import pathlib
import sys
import time
import unittest

from tests import soak_case


def _make_case(seed: int) -> unittest.TestCase:
    class Seed(soak_case.SoakCase):
        ages_workers = seed % 3 != 0

        async def test(self) -> None:
            await self.soak(seed)

        def id(self) -> str:
            return f'seed {seed}'

    return Seed('test')


def main() -> None:
    """Run the seeds one after the other; exit with 1 if one failed."""
    first = int(sys.argv[1]) if len(sys.argv) > 1 else int(time.time())
    count = int(sys.argv[2]) if len(sys.argv) > 2 else 10
    if len(sys.argv) > 3:
        soak_case.SoakCase.root = pathlib.Path(sys.argv[3]).resolve()
    failed = []
    for seed in range(first, first + count):
        result = unittest.TextTestRunner(verbosity=0).run(_make_case(seed))
        print(f'seed {seed}: {"ok" if result.wasSuccessful() else "FAILED"}')
        sys.stdout.flush()
        if not result.wasSuccessful():
            failed.append(seed)
    print(f'{count - len(failed)} of {count} seeds passed; failed: {failed}')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
