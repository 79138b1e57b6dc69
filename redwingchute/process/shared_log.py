"""The interface of the shared log through which routers coordinate.

The log holds keyed topics; it retains at least the newest record of each key.
An append may state the offset at which it expects the topic to end, and takes
effect only if that holds (compare-and-append). It also carries its producer's
epoch and sequence number, so that repeating it is safe and an earlier process
of the producer is fenced.

The log may be replaced by an earlier copy of itself. Its era then rises, and
what was appended since the copy, with its offsets and the state of producers,
is gone. Each result of a call that got a response names the era.
"""

import dataclasses
from typing import Protocol
from typing import TypeAlias

import attrs


@attrs.frozen(order=True)
class LogPosition:
    """A position in a topic; a later one is greater.

    Attributes:
      era: The era of the log; offsets of different eras are unrelated.
      offset: The offset in the topic.
    """

    era: int
    offset: int


@attrs.frozen
class KeyedRecord:
    """A record of a keyed topic.

    Attributes:
      key: The key.
      value: The value; None removes the key.
      offset: The offset in the topic; -1 before the record is appended.
    """

    key: str
    value: bytes | None
    offset: int = -1


@attrs.frozen
class ProducerStamp:
    """Orders the appends of one producer.

    Attributes:
      producer: The name of the producer.
      epoch: The number of its process start; a higher epoch fences lower ones.
      sequence: The number of the append within the epoch.
    """

    producer: str
    epoch: int
    sequence: int


@dataclasses.dataclass(frozen=True)
class Appended:
    """The records are in the log; their topic ends at `end` then."""

    end: LogPosition

    @property
    def era(self) -> int:
        """The era of the log."""
        return self.end.era


@dataclasses.dataclass(frozen=True)
class ConditionFailed:
    """Nothing was appended: the topic ends at `end` instead."""

    end: LogPosition

    @property
    def era(self) -> int:
        """The era of the log."""
        return self.end.era


@dataclasses.dataclass(frozen=True)
class Fenced:
    """Nothing was appended: the producer has appended with a later epoch."""

    era: int = 0


@dataclasses.dataclass(frozen=True)
class WrongSequence:
    """Nothing was appended: the log expects another sequence number."""

    expected: int
    era: int = 0


@dataclasses.dataclass(frozen=True)
class LogUnavailable:
    """The call had no usable reply: none, or an error.

    Attributes:
      message: The cause.
      may_have_run: Whether the call may have taken effect or may still do so.
      era: The era of the log; None if there was no response.
      received_bytes: What was received of a response and discarded.
    """

    message: str
    may_have_run: bool = False
    era: int | None = None
    received_bytes: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True)
class ReadRecords:
    """Records from an offset on; may be empty.

    Attributes:
      records: The records in order.
      next_position: The position of the next read.
      records_left: How many further records the topic had at that time.
      received_bytes: The size of the response.
    """

    records: tuple[KeyedRecord, ...]
    next_position: LogPosition
    records_left: int = 0
    received_bytes: int = dataclasses.field(default=0, compare=False)

    @property
    def era(self) -> int:
        """The era of the log."""
        return self.next_position.era


@dataclasses.dataclass(frozen=True)
class HistoryGone:
    """The log has no records at the offset; the newest of each key remain.

    They were deleted, or the log has returned from an earlier copy.
    """

    era: int = 0


@dataclasses.dataclass(frozen=True)
class Newest:
    """The newest record of each key.

    Attributes:
      records: One record per key.
      next_position: The position from which reading continues without a gap.
      received_bytes: The size of all pages.
    """

    records: tuple[KeyedRecord, ...]
    next_position: LogPosition
    received_bytes: int = dataclasses.field(default=0, compare=False)

    @property
    def era(self) -> int:
        """The era of the log."""
        return self.next_position.era


AppendResult: TypeAlias = (
    Appended | ConditionFailed | Fenced | WrongSequence | LogUnavailable
)
ReadResult: TypeAlias = ReadRecords | HistoryGone | LogUnavailable
Result: TypeAlias = AppendResult | ReadResult | Newest


class SharedLog(Protocol):
    """The shared log, as routers use it."""

    async def append(
        self,
        topic: str,
        records: tuple[KeyedRecord, ...],
        stamp: ProducerStamp,
        at: LogPosition | None = None,
    ) -> AppendResult:
        """Appends records atomically.

        Args:
          topic: The keyed topic.
          records: The records; empty to set the epoch only.
          stamp: The producer's epoch and sequence number.
          at: The required end of the topic; None for any.
        """

    async def read(
        self,
        topic: str,
        position: LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> ReadResult:
        """Reads records from a position on.

        Args:
          topic: The keyed topic.
          position: The position of the first record.
          wait_ms: How long to wait if there is no record yet.
          response_timeout_ms: How long after the wait the read counts as
            lost if no response has begun, and how long one may then pause;
            None for the limit of all calls.
        """

    async def read_newest(self, topic: str) -> Newest | LogUnavailable:
        """Reads the newest record of each key of a topic."""
