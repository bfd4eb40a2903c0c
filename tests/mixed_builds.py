"""Test that this build and another one work together.

``python -m tests.mixed_builds PATH`` runs ``tests.test_mixed_builds`` against
the source tree at PATH and exits with the status of the tests.
"""

import os
import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).resolve().parent.parent


def main() -> None:
    """Run the mixed-build tests against the source tree given as argument."""
    if len(sys.argv) != 2 or not pathlib.Path(sys.argv[1]).is_dir():
        print('usage: python -m tests.mixed_builds PATH', file=sys.stderr)
        sys.exit(2)
    variables = {**os.environ, 'BASILSPINDLE_OTHER_BUILD': sys.argv[1]}
    command = [sys.executable, '-m', 'nose2', '-v', 'tests.test_mixed_builds']
    sys.exit(subprocess.run(command, cwd=_ROOT, env=variables).returncode)


if __name__ == '__main__':
    main()
