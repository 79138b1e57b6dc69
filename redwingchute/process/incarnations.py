"""Creates the incarnation numbers of processes and of their holders.

The upper bits identify the process start and the lower bits count the holders
that it created, so that the process can be derived from a holder's incarnation
when the process is declared dead.
"""

from collections.abc import Callable
import itertools

from redwingchute.core import data

_HOLDER_BITS = 16
_PROCESS_BITS = 47


def make_process_incarnation(
    draw_bits: Callable[[int], int],
) -> data.Incarnation:
    """Returns a random incarnation for a process start.

    It is never 0, which stands for an unknown incarnation.

    Args:
      draw_bits: Returns an integer of the given number of random bits.
    """
    return (draw_bits(_PROCESS_BITS) or 1) << _HOLDER_BITS


def find_process_incarnation(incarnation: data.Incarnation) -> data.Incarnation:
    """Returns the process incarnation that a holder's incarnation contains."""
    return incarnation >> _HOLDER_BITS << _HOLDER_BITS


class HolderIncarnations:
    """Creates the incarnations of the holders of one process."""

    def __init__(self, process: data.Incarnation) -> None:
        """Initializes the counter.

        The first holder has number 1; the process itself has number 0.

        Args:
          process: The incarnation of the process.
        """
        self._process = process
        self._counter = itertools.count(1)

    def make_incarnation(self) -> data.Incarnation:
        """Returns a new incarnation.

        Raises:
          OverflowError: The process has created too many holders.
        """
        number = next(self._counter)
        if number >= 1 << _HOLDER_BITS:
            raise OverflowError("too many holders in one process start")
        return self._process | number
