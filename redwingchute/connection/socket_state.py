"""Reads what the kernel knows of a TCP connection."""

import contextlib
import fcntl
import select
import socket
import struct
import termios

_INT = struct.Struct("=i")


def count_unacknowledged(found: socket.socket) -> int:
    """Returns how many written bytes the other side has not acknowledged.

    Returns 0 where the kernel does not tell.
    """
    with contextlib.suppress(OSError):
        raw = fcntl.ioctl(found, termios.TIOCOUTQ, bytes(_INT.size))
        (count,) = _INT.unpack(raw)
        return max(0, int(count))
    return 0


def is_reset(found: socket.socket) -> bool:
    """Returns whether the connection has ended in both directions."""
    state = select.poll()
    state.register(found.fileno(), 0)
    return bool(state.poll(0))
