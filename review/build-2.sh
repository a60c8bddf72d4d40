#!/bin/sh
# Builds what the scripts of the second review start beside the daemons. Their
# stand-ins need Python's standard library only, so it is checked that they
# compile. The daemons come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - review/support2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
CHECK
