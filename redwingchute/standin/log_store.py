"""The streams and rate limits of the platform's stand-in, in memory."""

import attrs


@attrs.frozen
class StoredRecord:
    """One record of a stream.

    Attributes:
      offset: The offset in the stream.
      data: The encoded record.
      appended_at_ms: The time of the append, since the Unix epoch.
    """

    offset: int
    data: bytes
    appended_at_ms: int


class LogStream:
    """An append-only stream whose oldest records may be trimmed.

    Attributes:
      first: The oldest offset that is retained.
    """

    def __init__(self) -> None:
        """Starts empty, at offset 0."""
        self.first = 0
        self._records: list[StoredRecord] = []

    @property
    def next(self) -> int:
        """The offset of the next append."""
        return self.first + len(self._records)

    def append(self, data: bytes, now_ms: int) -> int:
        """Appends a record and returns its offset."""
        offset = self.next
        self._records.append(StoredRecord(offset, data, now_ms))
        return offset

    def read(self, start: int, limit: int) -> list[StoredRecord] | None:
        """Returns at most `limit` records from an offset on.

        The result is None if the record at the offset was trimmed.
        """
        if start < self.first:
            return None
        index = start - self.first
        return self._records[index : index + limit]

    def trim(self, before: int) -> None:
        """Deletes the records below an offset."""
        count = max(0, min(before, self.next) - self.first)
        del self._records[:count]
        self.first += count

    def trim_older_than(self, cutoff_ms: int) -> None:
        """Deletes the records that were appended before a time."""
        count = 0
        for record in self._records:
            if record.appended_at_ms >= cutoff_ms:
                break
            count += 1
        self.trim(self.first + count)


class LogStore:
    """All streams by name."""

    def __init__(self) -> None:
        """Starts without streams."""
        self.streams: dict[str, LogStream] = {}

    def get_or_create_stream(self, name: str) -> LogStream:
        """Returns a stream, created empty at its first use."""
        return self.streams.setdefault(name, LogStream())


class RateLimiter:
    """A token bucket whose capacity is one second's permits, at least one."""

    def __init__(self) -> None:
        """Prepares the bucket; it is full at the first use."""
        self._permits = 0.0
        self._updated_at_ms: int | None = None

    def acquire_permit(self, rate_per_s: float, now_ms: int) -> bool:
        """Acquires a permit if there is one; a rate of 0 means no limit."""
        if rate_per_s <= 0:
            self._updated_at_ms = None
            return True
        size = max(1.0, rate_per_s)
        if self._updated_at_ms is None:
            self._permits = size
        else:
            elapsed_ms = max(0, now_ms - self._updated_at_ms)
            earned = elapsed_ms * rate_per_s / 1000
            self._permits = min(size, self._permits + earned)
        self._updated_at_ms = now_ms
        if self._permits < 1:
            return False
        self._permits -= 1
        return True
