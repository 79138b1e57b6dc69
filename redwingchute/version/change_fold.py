"""Folds the `configuration` stream into versions, verdicts and audit trail.

The fold depends only on the records and their order, not on clocks: every
reader of the same records reaches the same version and the same verdict on
each change. A version is the offset of its record plus one, so versions only
increase.
"""

import collections
from collections.abc import Iterable

import attrs

from redwingchute.core import configuration
from redwingchute.version import change_apply
from redwingchute.version import changes
from redwingchute.version import loader
from redwingchute.version import validation
from redwingchute.wire import codec

# Together these bounds keep a checkpoint below the maximum message size.
MAX_AUDIT_ENTRIES = 500
MAX_VERDICTS = 2_048
_MAX_MESSAGE_CHARACTERS = 500
_MAX_PART_CHARACTERS = 1_000


@attrs.frozen
class StreamRecord:
    """A decoded record of the stream with its offset.

    Attributes:
      offset: The log offset of the record.
      record: The record, or None when this release cannot read it.
    """

    offset: int
    record: changes.Record | None


def decode_record(
    wire_codec: codec.Codec, body: bytes
) -> changes.Record | None:
    """Returns the decoded record, or None if this release cannot read it."""
    match wire_codec.decode(body):
        case codec.Decoded(
            record=changes.ConfigurationChange()
            | changes.AuditNote()
            | changes.ConfigurationCheckpoint() as record
        ):
            return record
        case _:
            return None


class ConfigurationFold:
    """The state after the records of the stream that were applied.

    A new fold has the complete state before offset 0. When records were missed,
    the state is incomplete until the fold adopts a checkpoint that covers them.
    Meanwhile, later records are kept as pending, and the configuration stays in
    force.

    Attributes:
      current: The configuration in force; version 0 before the first change.
      next_offset: The offset of the next record.
      has_complete_state: Whether no record before `next_offset` is missing from
        the state.
      unknown_records: How many records this release could not read.
      checkpoint_offset: The offset of the newest checkpoint in the log, or the
        `next_offset` of a checkpoint that was adopted since.
      checkpoint_made_at_ms: When that checkpoint was made, in Unix time; 0 if
        there is none.
    """

    def __init__(self) -> None:
        """Creates the state before the first record."""
        self.current = configuration.Configuration()
        self.next_offset = 0
        self.has_complete_state = True
        self.unknown_records = 0
        self.checkpoint_offset = 0
        self.checkpoint_made_at_ms = 0
        self._author = ""
        self._audit: collections.deque[changes.AuditEntry] = collections.deque(
            maxlen=MAX_AUDIT_ENTRIES
        )
        self._verdicts: collections.OrderedDict[
            bytes, changes.ChangeVerdict
        ] = collections.OrderedDict()
        self._pending: list[StreamRecord] = []

    @property
    def audit(self) -> tuple[changes.AuditEntry, ...]:
        """The newest entries of the audit trail, oldest first."""
        return tuple(self._audit)

    @property
    def author(self) -> str:
        """The author of the version in force."""
        return self._author

    def find_verdict(self, record_id: bytes) -> changes.ChangeVerdict | None:
        """Returns the verdict on a record id; None if unknown or too old."""
        return self._verdicts.get(record_id)

    def skip_to(self, first_offset: int) -> None:
        """Skips the records before an offset, which retention has deleted.

        The configuration stays in force. If the fold has not received all of
        these records, it discards the pending ones and keeps later ones as
        pending until it adopts a checkpoint.
        """
        if first_offset <= self.next_offset:
            return
        self.next_offset = first_offset
        self.has_complete_state = False
        self._pending.clear()

    def apply(self, item: StreamRecord) -> None:
        """Applies the next record; ignores a record before `next_offset`.

        Args:
          item: The record. A gap before it means that records were missed.
        """
        if item.offset < self.next_offset:
            return
        self.skip_to(item.offset)
        self.next_offset = item.offset + 1
        if self.has_complete_state:
            self._apply_record(item)
            return
        self._pending.append(item)
        if isinstance(item.record, changes.ConfigurationCheckpoint):
            self.adopt_checkpoint(item.record)

    def make_checkpoint(
        self, made_at_ms: int | None = None
    ) -> changes.ConfigurationCheckpoint:
        """Returns the state as a record, from which other readers can start.

        Args:
          made_at_ms: The current Unix time, for a checkpoint that is appended
            to the log; None keeps the time of the newest checkpoint.
        """
        if made_at_ms is None:
            made_at_ms = self.checkpoint_made_at_ms
        return changes.ConfigurationCheckpoint(
            next_offset=self.next_offset,
            version=self.current.version,
            author=self._author,
            document=loader.compress_document(
                loader.dump_configuration(self.current)
            ),
            audit=self.audit,
            verdicts=tuple(self._verdicts.values()),
            made_at_ms=made_at_ms,
        )

    def adopt_checkpoint(
        self, checkpoint: changes.ConfigurationCheckpoint
    ) -> bool:
        """Replaces the state with a checkpoint that is ahead of this fold.

        An incomplete state is also replaced with a checkpoint that covers all
        records before the first pending one.

        Args:
          checkpoint: A checkpoint from the log or from another router.

        Returns:
          Whether the state was replaced. The version never decreases.
        """
        is_ahead = checkpoint.next_offset > self.next_offset
        fills_gap = (
            not self.has_complete_state
            and checkpoint.next_offset >= self._find_first_pending_offset()
        )
        if not is_ahead and not fills_gap:
            return False
        if checkpoint.version < self.current.version:
            return False
        loaded = self._load_checkpoint(checkpoint)
        if loaded is None:
            return False
        self._replace_state(checkpoint, loaded)
        return True

    def _find_first_pending_offset(self) -> int:
        """Returns the offset of the oldest pending or else the next record."""
        if self._pending:
            return self._pending[0].offset
        return self.next_offset

    def _load_checkpoint(
        self, checkpoint: changes.ConfigurationCheckpoint
    ) -> configuration.Configuration | None:
        """Returns the configuration of a checkpoint, or None if invalid."""
        if checkpoint.version == self.current.version:
            return self.current
        text = loader.decompress_document(checkpoint.document)
        if text is None:
            return None
        loaded, _ = loader.load_configuration(
            text, checkpoint.version, allows_unknown=True
        )
        return loaded

    def _replace_state(
        self,
        checkpoint: changes.ConfigurationCheckpoint,
        loaded: configuration.Configuration,
    ) -> None:
        """Replaces the state, then applies the pending records."""
        pending = self._pending
        self._pending = []
        self.current = loaded
        self._author = checkpoint.author
        self._audit.clear()
        self._audit.extend(checkpoint.audit)
        self._verdicts.clear()
        for verdict in checkpoint.verdicts:
            self._verdicts[verdict.record_id] = verdict
        self.has_complete_state = True
        self.next_offset = checkpoint.next_offset
        self.checkpoint_offset = checkpoint.next_offset
        self.checkpoint_made_at_ms = checkpoint.made_at_ms
        for item in pending:
            self.apply(item)

    def _apply_record(self, item: StreamRecord) -> None:
        """Applies a record to the complete state."""
        match item.record:
            case changes.ConfigurationChange() as change:
                if change.record_id not in self._verdicts:
                    self._apply_change(item.offset, change)
            case changes.AuditNote() as note:
                if note.record_id not in self._verdicts:
                    self._apply_note(item.offset, note)
            case changes.ConfigurationCheckpoint(made_at_ms=made_at_ms):
                self.checkpoint_offset = item.offset
                self.checkpoint_made_at_ms = made_at_ms
            case None:
                self.unknown_records += 1

    def _apply_change(
        self, offset: int, record: changes.ConfigurationChange
    ) -> None:
        """Decides on a change; records its verdict and audit entry."""
        before = self.current
        verdict = self._decide(offset, record)
        self._add_verdict(verdict)
        self._audit.append(
            changes.AuditEntry(
                offset=offset,
                version=self.current.version,
                record_id=record.record_id,
                author=record.author,
                reason=record.reason,
                made_at_ms=record.made_at_ms,
                code=verdict.code,
                action=change_apply.get_action_name(record.change),
                subject=change_apply.get_subject_name(record.change),
                before=_dump_part(before, record.change),
                after=_dump_part(self.current, record.change),
                message=verdict.message,
            )
        )

    def _decide(
        self, offset: int, record: changes.ConfigurationChange
    ) -> changes.ChangeVerdict:
        """Applies a change if it is valid, and returns the verdict."""
        in_force = self.current.version
        if record.expected_version not in (0, in_force):
            return changes.ChangeVerdict(
                record.record_id,
                changes.ChangeCode.LOST_RACE,
                in_force,
                self._author,
                f"The change was made against version"
                f" {record.expected_version}, but version {in_force} by"
                f" {self._author!r} is in force.",
            )
        try:
            candidate = change_apply.apply_change(
                self.current, record.change, offset + 1
            )
        except change_apply.ChangeError as error:
            return self._make_invalid_verdict(record, error.message)
        findings = validation.validate_configuration(candidate, self.current)
        if findings:
            message = " ".join(
                f"{item.place}: {item.message}" for item in findings
            )
            return self._make_invalid_verdict(record, message)
        self.current = candidate
        self._author = record.author
        return changes.ChangeVerdict(
            record.record_id, changes.ChangeCode.APPLIED, candidate.version
        )

    def _make_invalid_verdict(
        self, record: changes.ConfigurationChange, message: str
    ) -> changes.ChangeVerdict:
        """Returns the verdict on an invalid change."""
        return changes.ChangeVerdict(
            record.record_id,
            changes.ChangeCode.INVALID,
            self.current.version,
            message=message[:_MAX_MESSAGE_CHARACTERS],
        )

    def _apply_note(self, offset: int, note: changes.AuditNote) -> None:
        """Adds an audit note to the audit trail."""
        code = (
            changes.ChangeCode.REFUSED
            if note.is_refused
            else changes.ChangeCode.NOTED
        )
        version = self.current.version
        self._add_verdict(changes.ChangeVerdict(note.record_id, code, version))
        self._audit.append(
            changes.AuditEntry(
                offset=offset,
                version=version,
                record_id=note.record_id,
                author=note.author,
                reason=note.reason,
                made_at_ms=note.made_at_ms,
                code=code,
                action=note.action,
                subject=note.subject,
                before=note.before,
                after=note.after,
                message="",
            )
        )

    def _add_verdict(self, verdict: changes.ChangeVerdict) -> None:
        """Stores a verdict; removes the oldest ones beyond the maximum."""
        self._verdicts[verdict.record_id] = verdict
        while len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)


def fold_records(records: Iterable[StreamRecord]) -> ConfigurationFold:
    """Returns the fold after a sequence of records."""
    fold = ConfigurationFold()
    for item in records:
        fold.apply(item)
    return fold


def _dump_part(
    source: configuration.Configuration, change: changes.Change
) -> str:
    """Returns the changed part for an audit entry, truncated to its maximum."""
    text = change_apply.dump_changed_part(source, change)
    if len(text) <= _MAX_PART_CHARACTERS:
        return text
    return f"{text[:_MAX_PART_CHARACTERS]}..."
