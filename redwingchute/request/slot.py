"""A request's place on an upstream, as handlers hold it."""

from collections.abc import Callable

from redwingchute.request import pool


class Slot:
    """A request's place on an upstream, held while an attempt runs.

    Attributes:
      upstream: Where the attempt goes.
      ticket: The request.
      output_tokens: Set to the answer's size once it ended whole.
    """

    def __init__(
        self,
        pool_of_slot: pool.Pool,
        start: pool.Start,
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Binds the slot to its pool."""
        self.upstream = start.upstream
        self.ticket = start.ticket
        self.output_tokens: int | None = None
        self._has_output = False
        self._pool = pool_of_slot
        self._read_clock_ms = read_clock_ms

    def note_first_token(self) -> None:
        """Records that output arrives; only the first call counts."""
        if self._has_output:
            return
        self._has_output = True
        self._pool.note_first_token(
            self.ticket.ticket_id, self._read_clock_ms()
        )
