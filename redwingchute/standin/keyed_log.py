"""The keyed topics of the metadata store's stand-in, in memory.

They follow the rules of the users' metadata store: conditional appends,
producers with epochs and sequence numbers, and permanent retention of the
newest record of each key.
"""

import collections
import copy

import attrs

from redwingchute.process import shared_log

# The number of each producer's last appends whose repetition is recognized. A
# repetition gets the result of the original append.
_REMEMBERED_APPENDS = 5


@attrs.define
class _Producer:
    """The state of one producer.

    Attributes:
      epoch: The highest epoch seen.
      next_sequence: The required sequence number of the next append; None if
        any is allowed.
      ends: The topic's end after each of the last appends, by sequence number.
    """

    epoch: int
    next_sequence: int | None
    ends: collections.OrderedDict[int, shared_log.LogPosition]


class KeyedTopic:
    """One keyed topic.

    Attributes:
      first_offset: The oldest offset of the history; older records are deleted,
        except for the newest of each key.
      era: The era of the log.
    """

    def __init__(self, era: int = 0) -> None:
        """Starts empty."""
        self.first_offset = 0
        self.era = era
        self._records: list[shared_log.KeyedRecord] = []
        self._newest: dict[str, shared_log.KeyedRecord] = {}
        self._producers: dict[str, _Producer] = {}

    @property
    def end_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self._records)

    @property
    def end(self) -> shared_log.LogPosition:
        """The position of the next record."""
        return shared_log.LogPosition(self.era, self.end_offset)

    def append(
        self,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp | None = None,
        at_offset: int | None = None,
    ) -> shared_log.AppendResult:
        """Appends records atomically; see `shared_log.SharedLog`."""
        if stamp is not None:
            result = self._check_producer(stamp)
            if result is not None:
                return result
        if at_offset is not None and at_offset != self.end_offset:
            return shared_log.ConditionFailed(self.end)
        for record in records:
            stored = attrs.evolve(record, offset=self.end_offset)
            self._records.append(stored)
            self._newest.pop(record.key, None)
            if record.value is not None:
                self._newest[record.key] = stored
        if stamp is not None:
            self._record_append(stamp)
        return shared_log.Appended(self.end)

    def read(self, offset: int) -> shared_log.ReadResult:
        """Returns all records from an offset on."""
        if offset < self.first_offset or offset > self.end_offset:
            return shared_log.HistoryGone(self.era)
        records = tuple(self._records[offset - self.first_offset :])
        return shared_log.ReadRecords(records, self.end)

    def read_newest(self) -> shared_log.Newest:
        """Returns the newest record of each key."""
        return shared_log.Newest(tuple(self._newest.values()), self.end)

    def discard_history(self) -> None:
        """Deletes all records except the newest of each key."""
        self.first_offset = self.end_offset
        self._records.clear()

    def _check_producer(
        self, stamp: shared_log.ProducerStamp
    ) -> shared_log.AppendResult | None:
        """Checks the epoch and sequence number of an append.

        Returns:
          The result if the append is fenced, repeated or out of order; None if
          it is to be carried out.
        """
        producer = self._producers.get(stamp.producer)
        if producer is None or stamp.epoch > producer.epoch:
            return None
        if stamp.epoch < producer.epoch:
            return shared_log.Fenced(self.era)
        if stamp.sequence in producer.ends:
            return shared_log.Appended(producer.ends[stamp.sequence])
        if producer.next_sequence not in (None, stamp.sequence):
            return shared_log.WrongSequence(
                producer.next_sequence or 0, self.era
            )
        return None

    def _record_append(self, stamp: shared_log.ProducerStamp) -> None:
        """Records the result of an append."""
        producer = self._producers.get(stamp.producer)
        if producer is None or stamp.epoch > producer.epoch:
            producer = _Producer(stamp.epoch, None, collections.OrderedDict())
            self._producers[stamp.producer] = producer
        producer.next_sequence = stamp.sequence + 1
        producer.ends[stamp.sequence] = self.end
        while len(producer.ends) > _REMEMBERED_APPENDS:
            producer.ends.popitem(last=False)


class KeyedLog:
    """All keyed topics by name.

    Attributes:
      topics: The topics.
      era: Rises by one each time that the log is replaced by a copy.
    """

    def __init__(self, era: int = 0) -> None:
        """Starts without topics."""
        self.topics: dict[str, KeyedTopic] = {}
        self.era = era

    def take_copy(self) -> "KeyedLog":
        """Returns a copy of all topics and of the state of their producers."""
        return copy.deepcopy(self)

    def restore_copy(self, earlier: "KeyedLog") -> None:
        """Replaces the content by a copy; later records and epochs are lost.

        Args:
          earlier: The copy, which remains usable.
        """
        self.topics = earlier.take_copy().topics
        self.era += 1
        for topic in self.topics.values():
            topic.era = self.era

    def get_or_create_topic(self, name: str) -> KeyedTopic:
        """Returns a topic, created empty at its first use."""
        return self.topics.setdefault(name, KeyedTopic(self.era))
