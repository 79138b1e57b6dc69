"""The slot on an upstream that a handler holds during an attempt."""

from collections.abc import Callable

from redwingchute.request import pool


class Slot:
    """A slot on an upstream, held during one attempt.

    Attributes:
      upstream: The upstream that runs the attempt.
      ticket: The request.
      output_tokens: The size of the response in tokens, 1 for service calls.
        The handler sets it when the response is complete; None before.
    """

    def __init__(
        self,
        pool_of_slot: pool.Pool,
        assignment: pool.Assignment,
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates the slot of a request that its pool assigned.

        Args:
          pool_of_slot: The pool of the upstream.
          assignment: The request and its upstream.
          read_clock_ms: Returns the time in milliseconds since the epoch.
        """
        self.upstream = assignment.upstream
        self.ticket = assignment.ticket
        self.output_tokens: int | None = None
        self._has_output = False
        self._pool = pool_of_slot
        self._read_clock_ms = read_clock_ms

    def record_first_token(self) -> None:
        """Records the time of the first output; later calls do nothing."""
        if self._has_output:
            return
        self._has_output = True
        self._pool.record_first_token(
            self.ticket.ticket_id, self._read_clock_ms()
        )
