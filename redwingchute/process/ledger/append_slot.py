"""Tracks the one record that an owner has under way to the log.

The slot knows whether the record may be in the log. A record whose answer was
lost is sent again only after a read that began later reached the end of the
stream without meeting it.
"""

import enum
from typing import TypeAlias

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import batch_builder
from redwingchute.process.ledger import log_outcomes

LoggedRecord: TypeAlias = data.Takeover | data.Batch | data.Checkpoint


class AppendState(enum.Enum):
    """What is known of the record under way.

    Attributes:
      READY: It may be sent.
      SENT: Its answer is awaited.
      UNKNOWN: Its answer was lost; it must be looked for.
      IN_LOG: It was appended and has to be read back.
    """

    READY = 0
    SENT = 1
    UNKNOWN = 2
    IN_LOG = 3


@attrs.define
class PendingAppend:
    """The record under way.

    Attributes:
      record: The record.
      calls: The calls that it carries and that still wait for an answer.
      state: What is known of it.
      may_be_in_log: Whether an earlier try may have reached the log.
      not_before_ms: When it may be sent again.
      look_after_read: Reads up to this number began before the answer was
        lost and cannot show that the record is absent.
    """

    record: LoggedRecord
    calls: tuple[batch_builder.BatchedCall, ...] = ()
    state: AppendState = AppendState.READY
    may_be_in_log: bool = False
    not_before_ms: int = 0
    look_after_read: int = 0

    def start_sending(self, now_ms: int) -> LoggedRecord | None:
        """Returns the record if it is to be sent now."""
        if self.state is not AppendState.READY or now_ms < self.not_before_ms:
            return None
        self.state = AppendState.SENT
        return self.record

    def note_outcome(
        self,
        outcome: log_outcomes.AppendOutcome,
        reads_begun: int,
        retry_at_ms: int,
    ) -> bool:
        """Takes the outcome of the try.

        Args:
          outcome: How the append ended.
          reads_begun: The number of the last read that was begun.
          retry_at_ms: When the record may be sent again, if need be.

        Returns:
          Whether the record surely is not and never will be in the log.
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
                self.look_after_read = reads_begun
            case log_outcomes.LogUnreachable():
                self.state = AppendState.READY
                self.not_before_ms = retry_at_ms
                return not self.may_be_in_log
        return False

    def note_absent(self, read_number: int, retry_at_ms: int) -> bool:
        """Notes that a read met the end of the stream, but not the record.

        Returns:
          Whether that settles the question, so that it may be sent again.
        """
        if self.state is not AppendState.UNKNOWN:
            return False
        if read_number <= self.look_after_read:
            return False
        self.state = AppendState.READY
        self.not_before_ms = retry_at_ms
        return True

    def take_calls(self) -> list[int]:
        """Returns the ids of the waiting calls, which wait no longer."""
        call_ids = [each.call_id for each in self.calls]
        self.calls = ()
        return call_ids

    def take_calls_before(self, since_ms: int) -> list[int]:
        """Returns the ids of calls that came before a time; they go."""
        old = [
            each.call_id
            for each in self.calls
            if each.received_at_ms < since_ms
        ]
        self.calls = tuple(
            each for each in self.calls if each.received_at_ms >= since_ms
        )
        return old


def identify_record(record: LoggedRecord) -> tuple[bytes, int]:
    """Returns what tells a record from every other one of its stream."""
    match record:
        case data.Checkpoint():
            return record.checkpoint_id, record.part
        case _:
            return record.record_id, -1
