"""Numbers process starts and the holders within them.

The upper bits name the process start, the lower ones count the holders that
it made, so that a process declared dead can be told from each holder's number.
"""

from collections.abc import Callable
import itertools

from redwingchute.core import data

_HOLDER_BITS = 16
_PROCESS_BITS = 47


def make_process_incarnation(
    draw_bits: Callable[[int], int],
) -> data.Incarnation:
    """Returns a random number for a process start.

    Args:
      draw_bits: Returns that many random bits.
    """
    return (draw_bits(_PROCESS_BITS) or 1) << _HOLDER_BITS


def find_process(incarnation: data.Incarnation) -> data.Incarnation:
    """Returns the process start that a holder's number belongs to."""
    return incarnation >> _HOLDER_BITS << _HOLDER_BITS


class HolderNumbers:
    """Hands out the numbers of one process start's holders."""

    def __init__(self, process: data.Incarnation) -> None:
        """Starts to count at 1."""
        self._process = process
        self._counter = itertools.count(1)

    def make_incarnation(self) -> data.Incarnation:
        """Returns a number that was not handed out before.

        Raises:
          OverflowError: More holders were made than the bits can count.
        """
        number = next(self._counter)
        if number >= 1 << _HOLDER_BITS:
            raise OverflowError("too many holders in one process start")
        return self._process | number
