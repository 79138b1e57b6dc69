#!/bin/sh
# Checks that what the scripts of review/11 to review/15 start is there, after
# the build of deploy/system.toml. Their stand-ins are in review/harness3.py,
# which needs no library.
set -eu
cd "$(dirname "$0")/.."
python3 - review/harness3.py review/1[1-5]/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    try:
        with open(path) as file:
            compile(file.read(), path, "exec")
    except FileNotFoundError:
        pass
CHECK
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 -c "import redwingchute.platform.main"
