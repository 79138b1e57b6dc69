"""A log service in memory, with outages and lost responses.

`FakeLog` holds streams and is synchronous, for decision code. `FakeLogClient`
offers it to asyncio code in place of the HTTP client.
"""

import asyncio

import attrs

from redwingchute.process.ledger import log_outcomes


@attrs.define
class FakeStream:
    """One stream of records.

    Attributes:
      first: The oldest offset that is stored.
      bodies: The records from `first` on.
    """

    first: int = 0
    bodies: list[bytes] = attrs.field(factory=list)

    @property
    def next(self) -> int:
        """The offset of the next append."""
        return self.first + len(self.bodies)


class FakeLog:
    """Append-only streams in memory.

    Attributes:
      append_count: The number of appends to all streams.
    """

    def __init__(self) -> None:
        """Builds a log without streams."""
        self._streams: dict[str, FakeStream] = {}
        self.append_count = 0

    def append(self, stream: str, body: bytes) -> log_outcomes.Appended:
        """Appends one record."""
        self.append_count += 1
        target = self._get_or_create(stream)
        target.bodies.append(body)
        return log_outcomes.Appended(target.next - 1)

    def read(
        self, stream: str, from_offset: int, limit: int = 1_000
    ) -> log_outcomes.Page | log_outcomes.Trimmed:
        """Reads records from an offset on."""
        source = self._get_or_create(stream)
        if from_offset < source.first:
            return log_outcomes.Trimmed(source.first, source.next)
        start = from_offset - source.first
        records = tuple(
            log_outcomes.LogRecord(from_offset + index, body)
            for index, body in enumerate(source.bodies[start : start + limit])
        )
        return log_outcomes.Page(source.first, source.next, records)

    def trim(self, stream: str, first: int) -> None:
        """Removes the records before an offset."""
        target = self._get_or_create(stream)
        target.bodies = target.bodies[first - target.first :]
        target.first = first

    def _get_or_create(self, stream: str) -> FakeStream:
        """Returns a stream; creates it if it does not exist."""
        return self._streams.setdefault(stream, FakeStream())


class FakeLogClient:
    """Offers a `FakeLog` to asyncio code.

    Attributes:
      is_down: Whether the log is unreachable.
      responses_to_lose: The number of next appends that take effect but get
        no response.
    """

    def __init__(self, log: FakeLog) -> None:
        """Binds the client to a log."""
        self._log = log
        self.is_down = False
        self.responses_to_lose = 0
        self._appended = asyncio.Event()

    async def append(
        self, stream: str, body: bytes
    ) -> log_outcomes.AppendOutcome:
        """Appends one record, unless the log is down."""
        await asyncio.sleep(0)
        if self.is_down:
            return log_outcomes.LogUnreachable("the log is down")
        outcome = self._log.append(stream, body)
        self._appended.set()
        if self.responses_to_lose > 0:
            self.responses_to_lose -= 1
            return log_outcomes.AppendUnknown("the response was lost")
        return outcome

    async def read(
        self, stream: str, from_offset: int, limit: int, wait_ms: int
    ) -> log_outcomes.ReadOutcome:
        """Reads records; waits for one if there is none and `wait_ms` > 0."""
        await asyncio.sleep(0)
        if self.is_down:
            return log_outcomes.LogUnreachable("the log is down")
        outcome = self._log.read(stream, from_offset, limit)
        is_empty = (
            isinstance(outcome, log_outcomes.Page) and not outcome.records
        )
        if is_empty and wait_ms > 0:
            await self._wait_for_append()
            outcome = self._log.read(stream, from_offset, limit)
        return outcome

    async def _wait_for_append(self) -> None:
        """Waits at most 20 ms, whatever `wait_ms` is, for an append.

        Only appends by this client end the wait.
        """
        self._appended.clear()
        try:
            async with asyncio.timeout(0.02):
                await self._appended.wait()
        except TimeoutError:
            return
