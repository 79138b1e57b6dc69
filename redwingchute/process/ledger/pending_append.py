"""Tracks the one record that an owner is appending to the log.

If the outcome of an append is unknown, the record may be in the log. It is sent
again only after a read that began later has reached the end of the stream
without finding it.
"""

import enum
from typing import TypeAlias

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import batch_builder
from redwingchute.process.ledger import log_outcomes

LoggedRecord: TypeAlias = data.Takeover | data.Batch | data.Checkpoint


class AppendState(enum.Enum):
    """The state of the append under way.

    Attributes:
      READY: The record may be sent.
      SENT: The record was sent and its outcome is awaited.
      UNKNOWN: The outcome is unknown; the stream must be searched.
      IN_LOG: The record was appended and must be read back.
    """

    READY = 0
    SENT = 1
    UNKNOWN = 2
    IN_LOG = 3


@attrs.define
class PendingAppend:
    """The append under way.

    Attributes:
      record: The record.
      calls: The calls that the record carries and that wait for a reply.
      state: The state of the append.
      may_be_in_log: Whether an earlier attempt may have reached the log.
      not_before_ms: The earliest time at which the record may be sent.
      last_inconclusive_read: The number of the last read that began before the
        outcome became unknown. Only a later read can show that the record is
        absent.
    """

    record: LoggedRecord
    calls: tuple[batch_builder.BatchedCall, ...] = ()
    state: AppendState = AppendState.READY
    may_be_in_log: bool = False
    not_before_ms: int = 0
    last_inconclusive_read: int = 0

    def start_sending(self, now_ms: int) -> LoggedRecord | None:
        """Returns the record and marks it as sent, or None if it must wait."""
        if self.state is not AppendState.READY or now_ms < self.not_before_ms:
            return None
        self.state = AppendState.SENT
        return self.record

    def handle_outcome(
        self,
        outcome: log_outcomes.AppendOutcome,
        reads_begun: int,
        retry_at_ms: int,
    ) -> bool:
        """Handles the outcome of an attempt to append.

        Args:
          outcome: The outcome.
          reads_begun: The number of the last read that was begun.
          retry_at_ms: When the record may be sent again if it was not
            accepted.

        Returns:
          Whether it is certain that the record is not in the log and will not
          get there later.
        """
        if self.state is not AppendState.SENT:
            return False
        match outcome:
            case log_outcomes.Appended():
                self.state = AppendState.IN_LOG
                self.may_be_in_log = True
            case log_outcomes.AppendUnknown():
                self.state = AppendState.UNKNOWN
                self.may_be_in_log = True
                self.last_inconclusive_read = reads_begun
            case log_outcomes.LogUnreachable():
                self.state = AppendState.READY
                self.not_before_ms = retry_at_ms
                return not self.may_be_in_log
        return False

    def mark_absent(self, read_number: int, retry_at_ms: int) -> bool:
        """Handles a read that reached the end without finding the record.

        Returns:
          Whether the read proves that the record is absent, so that it may be
          sent again.
        """
        if self.state is not AppendState.UNKNOWN:
            return False
        if read_number <= self.last_inconclusive_read:
            return False
        self.state = AppendState.READY
        self.not_before_ms = retry_at_ms
        return True

    def pop_calls(self) -> list[int]:
        """Removes the waiting calls and returns their ids."""
        call_ids = [each.call_id for each in self.calls]
        self.calls = ()
        return call_ids

    def pop_calls_before(self, received_before_ms: int) -> list[int]:
        """Removes the calls received before a time and returns their ids."""
        old_call_ids = [
            each.call_id
            for each in self.calls
            if each.received_at_ms < received_before_ms
        ]
        self.calls = tuple(
            each
            for each in self.calls
            if each.received_at_ms >= received_before_ms
        )
        return old_call_ids


def identify_record(record: LoggedRecord) -> tuple[bytes, int]:
    """Returns a value that identifies a record within its stream."""
    match record:
        case data.Checkpoint():
            return record.checkpoint_id, record.part
        case _:
            return record.record_id, -1
