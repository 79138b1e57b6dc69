"""The keyed topics of the metadata store's stand-in, in memory.

They follow the rules of the users' metadata store: conditional appends,
producers with epochs and sequence numbers, and permanent retention of the
newest record of each key.
"""

import collections

import attrs

from redwingchute.process import shared_log

# The number of a producer's last appends whose repetition is recognized and
# gets the original result.
_REMEMBERED_APPENDS = 5


@attrs.define
class _Producer:
    """The state of one producer.

    Attributes:
      epoch: The highest epoch seen.
      next_sequence: The required number of the next append; None if any is
        allowed.
      answers: The topic's end offset after each of the last appends, by
        sequence number.
    """

    epoch: int
    next_sequence: int | None
    answers: collections.OrderedDict[int, int]


class KeyedTopic:
    """One keyed topic.

    Attributes:
      first: The oldest offset of the history; older records are deleted,
        except for the newest of each key.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.first = 0
        self._records: list[shared_log.KeyedRecord] = []
        self._newest: dict[str, shared_log.KeyedRecord] = {}
        self._producers: dict[str, _Producer] = {}

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self._records)

    def append(
        self,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp | None = None,
        at_offset: int | None = None,
    ) -> shared_log.AppendResult:
        """Appends records atomically; see `shared_log.SharedLog`."""
        if stamp is not None:
            refused = self._check_producer(stamp)
            if refused is not None:
                return refused
        if at_offset is not None and at_offset != self.end:
            return shared_log.ConditionFailed(self.end)
        for record in records:
            placed = attrs.evolve(record, offset=self.end)
            self._records.append(placed)
            self._newest.pop(record.key, None)
            if record.value is not None:
                self._newest[record.key] = placed
        if stamp is not None:
            self._note_append(stamp)
        return shared_log.Appended(self.end)

    def read(self, offset: int) -> shared_log.ReadResult:
        """Returns all records from an offset on."""
        if offset < self.first:
            return shared_log.HistoryGone()
        records = tuple(self._records[offset - self.first :])
        return shared_log.ReadRecords(records, max(offset, self.end))

    def read_newest(self) -> shared_log.Newest:
        """Returns the newest record of each key."""
        return shared_log.Newest(tuple(self._newest.values()), self.end)

    def forget_history(self) -> None:
        """Deletes all records except the newest of each key."""
        self.first = self.end
        self._records.clear()

    def _check_producer(
        self, stamp: shared_log.ProducerStamp
    ) -> shared_log.AppendResult | None:
        """Returns the result of a fenced, repeated or out-of-order append.

        Returns:
          The result, or None if the append is to be carried out.
        """
        known = self._producers.get(stamp.producer)
        if known is None or stamp.epoch > known.epoch:
            return None
        if stamp.epoch < known.epoch:
            return shared_log.Fenced()
        if stamp.sequence in known.answers:
            return shared_log.Appended(known.answers[stamp.sequence])
        if known.next_sequence not in (None, stamp.sequence):
            return shared_log.WrongSequence(known.next_sequence or 0)
        return None

    def _note_append(self, stamp: shared_log.ProducerStamp) -> None:
        """Records the result of an append."""
        known = self._producers.get(stamp.producer)
        if known is None or stamp.epoch > known.epoch:
            known = _Producer(stamp.epoch, None, collections.OrderedDict())
            self._producers[stamp.producer] = known
        known.next_sequence = stamp.sequence + 1
        known.answers[stamp.sequence] = self.end
        while len(known.answers) > _REMEMBERED_APPENDS:
            known.answers.popitem(last=False)


class KeyedLog:
    """All keyed topics by name."""

    def __init__(self) -> None:
        """Starts without topics."""
        self.topics: dict[str, KeyedTopic] = {}

    def open(self, name: str) -> KeyedTopic:
        """Returns a topic, created empty at its first use."""
        return self.topics.setdefault(name, KeyedTopic())
