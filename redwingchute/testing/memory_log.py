"""A shared log with one topic in memory."""

from redwingchute.process import shared_log
from redwingchute.standin import keyed_log


class MemoryLog:
    """Implements `shared_log.SharedLog` with one topic, whatever its name.

    Attributes:
      topic: The topic.
      is_unavailable: Whether all calls fail.
    """

    def __init__(self) -> None:
        """Creates a log whose topic is empty."""
        self.topic = keyed_log.KeyedTopic()
        self.is_unavailable = False

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        """Appends records."""
        del topic
        if self.is_unavailable:
            return shared_log.LogUnavailable("no answer")
        return self.topic.append(
            records, stamp, None if at is None else at.offset
        )

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        """Reads records; does not wait for one."""
        del topic, wait_ms, response_timeout_ms
        if self.is_unavailable:
            return shared_log.LogUnavailable("no answer")
        return self.topic.read(position.offset)

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        """Reads the newest record of each key."""
        del topic
        if self.is_unavailable:
            return shared_log.LogUnavailable("no answer")
        return self.topic.read_newest()
