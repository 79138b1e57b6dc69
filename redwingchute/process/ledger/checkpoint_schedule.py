"""Decides when an owner writes the next part of a checkpoint."""

from redwingchute.core import data
from redwingchute.process.ledger import checkpoint
from redwingchute.process.ledger import fold
from redwingchute.wire import codec


class CheckpointSchedule:
    """Returns the parts of checkpoints as they become due.

    A new owner cannot tell how old the last checkpoint is, so it writes one at
    once.
    """

    def __init__(
        self, every_ms: int, every_records: int, wire_codec: codec.Codec
    ) -> None:
        """Creates a schedule whose first checkpoint is due at once.

        Args:
          every_ms: The longest time between checkpoints.
          every_records: The most records between checkpoints.
          wire_codec: Encodes the snapshot.
        """
        self._every_ms = every_ms
        self._every_records = every_records
        self._codec = wire_codec
        self._parts: list[data.Checkpoint] = []
        self._taken_at_ms: int | None = None
        self._taken_at_offset = -1

    def reset(self) -> None:
        """Discards the remaining parts; a new checkpoint is due at once."""
        self._parts = []
        self._taken_at_ms = None

    def is_due(self, now_ms: int, offset: int) -> bool:
        """Returns whether a part should be written now.

        Args:
          now_ms: The time.
          offset: The offset of the last record that the fold applied.
        """
        if self._parts or self._taken_at_ms is None:
            return True
        return (
            now_ms - self._taken_at_ms >= self._every_ms
            or offset - self._taken_at_offset >= self._every_records
        )

    def next_part(
        self, now_ms: int, shard_fold: fold.ShardFold, checkpoint_id: bytes
    ) -> data.Checkpoint:
        """Returns the next part, of a new snapshot if none is under way."""
        if not self._parts:
            self._parts = list(
                checkpoint.split_fold(shard_fold, checkpoint_id, self._codec)
            )
            self._taken_at_ms = now_ms
            self._taken_at_offset = shard_fold.offset
        return self._parts.pop(0)

    def requeue_part(self, part: data.Checkpoint) -> None:
        """Queues a part that was not appended as the next part again."""
        self._parts.insert(0, part)
