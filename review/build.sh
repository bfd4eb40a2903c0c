#!/usr/bin/env bash
# Checks that the stand-ins and the cases compile. They need nothing but
# Python and the packages that the build of the deploy file puts into target/.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path('review').rglob('*.py')):
    compile(path.read_text(), str(path), 'exec')
PYTHON
