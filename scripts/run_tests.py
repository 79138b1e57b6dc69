"""Runs the tests in two stages, without those that KNOWN-RED.txt lists.

The tests of a process before a crowd of clients run after all others, so that
nothing else is running beside them.

An entry of KNOWN-RED.txt is a line with a pytest node id, the command and seed,
the failure that was seen, and the issue, separated by `|`. Every run prints the
entries, so that known failures stay visible.
"""

import pathlib
import subprocess
import sys

_STAGES = ("not crowd", "crowd")
_NO_TESTS_COLLECTED = 5
_KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")


def read_known_red() -> list[str]:
    """Returns the node ids listed in KNOWN-RED.txt, in file order."""
    if not _KNOWN_RED_PATH.exists():
        return []
    lines = _KNOWN_RED_PATH.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if "|" in line]


def main() -> int:
    """Runs pytest for each stage; returns the first status of a failure."""
    known_red = read_known_red()
    for node_id in known_red:
        print(f"KNOWN RED, passed over: {node_id}", flush=True)
    deselected = [f"--deselect={node_id}" for node_id in known_red]
    status = 0
    for stage in _STAGES:
        command = [sys.executable, "-m", "pytest", "-m", stage]
        command += [*deselected, *sys.argv[1:]]
        result = subprocess.run(command, check=False).returncode
        if result != _NO_TESTS_COLLECTED:
            status = status or result
    return status


if __name__ == "__main__":
    sys.exit(main())
