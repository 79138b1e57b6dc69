#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10: they are Python
# modules of the standard library, so that only their syntax is checked. The
# routers are built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - harness2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PYTHON'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, "exec")
PYTHON
