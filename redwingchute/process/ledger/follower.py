"""Follows the stream of one shard: recovers its fold and keeps it current.

If the stream is complete from its first record, the follower starts from an
empty fold. If the log has removed records, it needs a checkpoint after whose
offset it has read all records. It never starts from an empty fold in the middle
of a stream: without a usable checkpoint, the shard's state counts as lost and
calls to it are refused.
"""

import enum

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import checkpoint
from redwingchute.process.ledger import fold
from redwingchute.process.ledger import log_outcomes
from redwingchute.wire import codec


class FollowState(enum.Enum):
    """The state of a follower.

    Attributes:
      RECOVERING: The end of the stream has not been read yet.
      CURRENT: The fold was current when the stream was last read.
      STATE_LOST: The log removed records that no checkpoint covers.
      NEWER_RELEASE: The stream has a record of an unknown kind, written by a
        newer release. This release cannot apply it and stops.
    """

    RECOVERING = 0
    CURRENT = 1
    STATE_LOST = 2
    NEWER_RELEASE = 3


@attrs.frozen
class AppliedRecord:
    """An applied record and its verdicts."""

    offset: int
    record: fold.Record
    verdicts: tuple[data.Verdict, ...]


class ShardFollower:
    """Applies the pages of one shard's stream.

    Attributes:
      state: The state of the follower.
      shard_fold: The fold; valid in the state `CURRENT` only.
      next_offset: The offset to read from next.
      unreadable_count: The number of records skipped because they are not
        records of a shard.
    """

    def __init__(self, wire_codec: codec.Codec) -> None:
        """Creates a follower that reads the stream from its beginning."""
        self._codec = wire_codec
        self.unreadable_count = 0
        self.state = FollowState.RECOVERING
        self.next_offset = 0
        self.shard_fold = fold.ShardFold()
        self._first_offset = 0
        self._has_fold = True
        self._queued_records: list[tuple[int, fold.Record]] = []
        self._assembler = checkpoint.SnapshotAssembler(wire_codec)

    def apply_page(self, page: log_outcomes.Page) -> list[AppliedRecord]:
        """Applies the records of a page that was read from `next_offset`."""
        applied: list[AppliedRecord] = []
        for log_record in page.records:
            if log_record.offset < self.next_offset:
                continue
            if self.state is FollowState.NEWER_RELEASE:
                return applied
            self.next_offset = log_record.offset + 1
            record = self._decode(log_record.body)
            if record is not None:
                applied += self._apply_record(log_record.offset, record)
        if self.next_offset >= page.next:
            self._handle_end()
        return applied

    def handle_trimmed(self, trimmed: log_outcomes.Trimmed) -> None:
        """Restarts from the oldest record that the log keeps."""
        self._restart(trimmed.first)
        if self.next_offset >= trimmed.next:
            self._handle_end()

    def _restart(self, first_offset: int) -> None:
        """Discards the fold and reads again from an offset."""
        self.state = FollowState.RECOVERING
        self.next_offset = first_offset
        self.shard_fold = fold.ShardFold()
        self._first_offset = first_offset
        self._has_fold = first_offset == 0
        self._queued_records = []
        self._assembler = checkpoint.SnapshotAssembler(self._codec)

    def _decode(self, body: bytes) -> fold.Record | None:
        """Returns the decoded record, or None if it is not for this fold."""
        decoded = self._codec.decode(body)
        match decoded:
            case codec.UnknownKind():
                self.state = FollowState.NEWER_RELEASE
                return None
            case codec.Decoded(
                record=data.Takeover()
                | data.Batch()
                | data.Checkpoint() as record
            ):
                return record
            case _:
                self.unreadable_count += 1
                return None

    def _apply_record(
        self, offset: int, record: fold.Record
    ) -> list[AppliedRecord]:
        """Applies a record, or queues it until a checkpoint is complete."""
        if self._has_fold:
            verdicts = self.shard_fold.apply(offset, record)
            return [AppliedRecord(offset, record, verdicts)]
        self._queued_records.append((offset, record))
        if not isinstance(record, data.Checkpoint):
            return []
        loaded = self._assembler.add(record)
        if loaded is None or loaded.offset + 1 < self._first_offset:
            return []
        return self._load_checkpoint(loaded)

    def _load_checkpoint(self, loaded: fold.ShardFold) -> list[AppliedRecord]:
        """Sets a checkpoint's fold and applies the queued later records."""
        self.shard_fold = loaded
        self._has_fold = True
        later_records = [
            each for each in self._queued_records if each[0] > loaded.offset
        ]
        self._queued_records = []
        return [
            AppliedRecord(offset, record, self.shard_fold.apply(offset, record))
            for offset, record in later_records
        ]

    def _handle_end(self) -> None:
        """Updates the state when the end of the stream is reached."""
        if self.state in (FollowState.RECOVERING, FollowState.STATE_LOST):
            self.state = (
                FollowState.CURRENT
                if self._has_fold
                else FollowState.STATE_LOST
            )
