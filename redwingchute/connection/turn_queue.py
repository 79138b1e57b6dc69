"""Limits the share of the event loop that many small pieces of input take.

Whoever has more work than fits into a turn waits for its next turn here. One
waits in each iteration of the loop, in the order of arrival, so that all other
work goes on between two of them, however many wait.
"""

import asyncio


class TurnQueue:
    """The queue for turns; created before the event loop runs."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._lock = asyncio.Lock()

    async def wait_for_turn(self) -> None:
        """Returns when it is the caller's turn to go on."""
        async with self._lock:
            await asyncio.sleep(0)
