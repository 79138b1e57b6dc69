"""Counts the responses that a process holds as a whole, over all connections.

A response is held while it is read, and again while a client that reads slowly
takes it.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import attrs

# A body of this size is always held: small ones, which nearly all are, must not
# wait for large ones, and connections bound their number.
SMALL_BODY_BYTES = 64 * 1024
_DEFAULT_LIMIT_BYTES = 32 * 1024 * 1024


def _free_nothing() -> bool:
    """Returns that no client gives way."""
    return False


@attrs.define
class BufferedBodies:
    """The bodies that are held as a whole.

    Attributes:
      limit_bytes: How much is held before large bodies are given up.
      make_room: Has a client give way that does not read its response; returns
        whether there is one.
      size_bytes: Their size now.
      max_bytes: The greatest size so far.
      refused_count: How many bodies were given up.
    """

    limit_bytes: int = _DEFAULT_LIMIT_BYTES
    make_room: Callable[[], bool] = _free_nothing
    size_bytes: int = 0
    max_bytes: int = 0
    refused_count: int = 0

    def add(self, count: int, body_bytes: int) -> bool:
        """Adds bytes; returns whether there is room for more.

        Args:
          count: How many bytes are added.
          body_bytes: The size of their body so far, with them.
        """
        self.size_bytes += count
        self.max_bytes = max(self.max_bytes, self.size_bytes)
        if (
            self.size_bytes <= self.limit_bytes
            or body_bytes <= SMALL_BODY_BYTES
            or self.make_room()
        ):
            return True
        self.refused_count += 1
        return False

    def remove(self, count: int) -> None:
        """Removes bytes that are no longer held."""
        self.size_bytes -= count

    @contextlib.contextmanager
    def hold(self, count: int) -> Iterator[None]:
        """Counts a complete body while a client takes it."""
        self.size_bytes += count
        self.max_bytes = max(self.max_bytes, self.size_bytes)
        try:
            yield
        finally:
            self.size_bytes -= count
