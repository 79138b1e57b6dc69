"""Runs the unit tests without those that KNOWN-RED.txt lists.

An entry of KNOWN-RED.txt is a line with a pytest node id, the command and seed,
the failure that was seen, and the issue, separated by `|`. Every run prints the
entries, so that known failures stay visible.
"""

import pathlib
import subprocess
import sys

_KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")


def read_known_red() -> list[str]:
    """Returns the node ids listed in KNOWN-RED.txt, in file order."""
    if not _KNOWN_RED_PATH.exists():
        return []
    lines = _KNOWN_RED_PATH.read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if "|" in line]


def main() -> int:
    """Runs pytest without the listed tests and returns its exit status."""
    known_red = read_known_red()
    for node_id in known_red:
        print(f"KNOWN RED, passed over: {node_id}")
    deselected = [f"--deselect={node_id}" for node_id in known_red]
    command = [sys.executable, "-m", "pytest", *deselected, *sys.argv[1:]]
    return subprocess.run(command, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
