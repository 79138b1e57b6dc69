#!/bin/sh
# Builds the stand-ins of the review: Python sources that need no library.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins.py trial-header.py */case.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(), name, "exec")
CHECK
