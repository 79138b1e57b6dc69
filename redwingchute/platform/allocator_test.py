"""Tests that memory of large blocks goes back to the system."""

import pathlib
import re
import subprocess
import sys

_PROGRAM = """
from redwingchute.platform import allocator
allocator.return_large_blocks()
import io
# The bodies of a crowd grow beside each other, and every second one ends.
for _ in range(4):
    bodies = [io.BytesIO() for _ in range(64)]
    kept = []
    for _ in range(16):
        for body in bodies:
            body.write(bytes(64 * 1024))
            kept.append(bytes(2_000))
    bodies.clear()
print(open("/proc/self/status").read())
"""
_MAX_HELD_MB = 40


# What the bodies of a crowd took was kept after they had gone.
def test_the_memory_of_a_crowd_goes_back() -> None:
    status = subprocess.run(
        [sys.executable, "-c", _PROGRAM],
        capture_output=True,
        check=True,
        cwd=pathlib.Path(__file__).parents[2],
    ).stdout.decode()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert found
    assert int(found[1]) / 1024 <= _MAX_HELD_MB
