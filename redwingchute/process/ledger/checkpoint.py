"""Saves the fold of a shard as records in the shard's stream, and loads it.

The log removes old records by its retention, so an owner writes the whole state
again long before. A snapshot depends only on the records up to `as_of_offset`,
not on its writer. A reader may therefore use any snapshot if it applies all
records after that offset, and the checkpoint of a deposed owner does no harm.
"""

import struct

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import budget
from redwingchute.process.ledger import fold
from redwingchute.wire import codec

# The most bytes of a snapshot that one record of the log carries.
PART_BYTES = 256 * 1024
_DIGEST_BYTES = 16
_LENGTH = struct.Struct("<I")
# The snapshot and the two generations of settled keys.
_FIELD_COUNT = 3


@attrs.frozen
class SavedFold:
    """The state of a fold.

    Attributes:
      snapshot: The state without the settled keys.
      current_keys: The packed settled keys of the current generation.
      previous_keys: The packed settled keys of the previous generation.
    """

    snapshot: data.ShardSnapshot
    current_keys: bytes
    previous_keys: bytes


def save_fold(state: fold.ShardFold) -> SavedFold:
    """Returns the whole state of a fold."""
    claims, tombstones, older_tombstones = state.claims.save()
    current, previous, began_at_s, floor_s = state.keys.save()
    snapshot = data.ShardSnapshot(
        epoch=state.epoch,
        owner=state.owner,
        owner_host=state.owner_host,
        last_sequence=state.last_sequence,
        time_ms=state.time_ms,
        retired=tuple(state.retired),
        transfers=b"".join(state.transfers),
        budgets=tuple(
            _save_budget(name, state.budgets[name])
            for name in sorted(state.budgets)
        ),
        claims=claims,
        expired_claims=tombstones,
        older_expired_claims=older_tombstones,
        keys_began_at_s=began_at_s,
        keys_floor_s=floor_s,
    )
    return SavedFold(snapshot, current, previous)


def load_fold(saved: SavedFold, offset: int) -> fold.ShardFold:
    """Returns the fold of a saved state.

    Args:
      saved: The saved state.
      offset: The offset of the last record that the state includes.
    """
    snapshot = saved.snapshot
    state = fold.ShardFold()
    state.offset = offset
    state.epoch = snapshot.epoch
    state.owner = snapshot.owner
    state.owner_host = snapshot.owner_host
    state.last_sequence = snapshot.last_sequence
    state.time_ms = snapshot.time_ms
    state.retired = dict.fromkeys(snapshot.retired)
    state.transfers = dict.fromkeys(_split_digests(snapshot.transfers))
    state.budgets = {
        each.budget: _load_budget(each) for each in snapshot.budgets
    }
    state.claims.restore(
        snapshot.claims,
        snapshot.expired_claims,
        snapshot.older_expired_claims,
    )
    state.keys.restore(
        saved.current_keys,
        saved.previous_keys,
        snapshot.keys_began_at_s,
        snapshot.keys_floor_s,
    )
    return state


def split_fold(
    state: fold.ShardFold,
    checkpoint_id: bytes,
    wire_codec: codec.Codec,
    part_bytes: int = PART_BYTES,
) -> tuple[data.Checkpoint, ...]:
    """Returns the checkpoint records that carry a fold's state.

    Args:
      state: The fold.
      checkpoint_id: The id that all parts of the checkpoint share.
      wire_codec: Encodes the snapshot.
      part_bytes: The most bytes of the state in one record.
    """
    saved = save_fold(state)
    body = _join_fields(
        (
            wire_codec.encode(saved.snapshot),
            saved.current_keys,
            saved.previous_keys,
        )
    )
    pieces = [
        body[start : start + part_bytes]
        for start in range(0, len(body), part_bytes)
    ]
    return tuple(
        data.Checkpoint(
            checkpoint_id=checkpoint_id,
            as_of_offset=state.offset,
            part=index,
            part_count=len(pieces),
            body=piece,
        )
        for index, piece in enumerate(pieces)
    )


class SnapshotAssembler:
    """Assembles snapshots from the checkpoint records of a stream."""

    def __init__(self, wire_codec: codec.Codec) -> None:
        """Creates an assembler without parts."""
        self._codec = wire_codec
        self._parts: dict[bytes, dict[int, data.Checkpoint]] = {}

    def add(self, part: data.Checkpoint) -> fold.ShardFold | None:
        """Adds a part; returns the fold once its snapshot is complete."""
        parts = self._parts.setdefault(part.checkpoint_id, {})
        parts[part.part] = part
        if len(parts) < part.part_count:
            return None
        del self._parts[part.checkpoint_id]
        body = b"".join(parts[index].body for index in sorted(parts))
        return self._load(body, part.as_of_offset)

    def _load(self, body: bytes, offset: int) -> fold.ShardFold | None:
        """Returns the fold of a complete snapshot, or None if it is damaged."""
        fields = _split_fields(body)
        if len(fields) != _FIELD_COUNT:
            return None
        decoded = self._codec.decode(fields[0])
        if not isinstance(decoded, codec.Decoded):
            return None
        if not isinstance(decoded.record, data.ShardSnapshot):
            return None
        saved = SavedFold(decoded.record, fields[1], fields[2])
        return load_fold(saved, offset)


def _join_fields(fields: tuple[bytes, ...]) -> bytes:
    """Returns the fields in one byte string, each preceded by its length."""
    return b"".join(_LENGTH.pack(len(field)) + field for field in fields)


def _split_fields(body: bytes) -> list[bytes]:
    """Returns the joined fields; leaves out a field that is cut off."""
    fields: list[bytes] = []
    start = 0
    while start + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        if start + size > len(body):
            break
        fields.append(body[start : start + size])
        start += size
    return fields


def _save_budget(
    name: str, budget_account: budget.Budget
) -> data.BudgetSnapshot:
    """Returns the state of one budget."""
    return data.BudgetSnapshot(
        budget=name,
        credited_tokens=budget_account.credited_tokens,
        settled_tokens=budget_account.settled_tokens,
        references=b"".join(sorted(budget_account.references)),
        holdings=tuple(
            _save_holding(holder, budget_account.holdings[holder])
            for holder in sorted(budget_account.holdings)
        ),
    )


def _save_holding(
    holder: data.Incarnation, holding: budget.Holding
) -> data.HoldingSnapshot:
    """Returns the state of one holder's tokens of a budget."""
    fields = attrs.asdict(holding)
    fields["later_sequences"] = tuple(sorted(holding.later_sequences))
    return data.HoldingSnapshot(holder=holder, **fields)


def _load_budget(snapshot: data.BudgetSnapshot) -> budget.Budget:
    """Returns the budget of a snapshot."""
    budget_account = budget.Budget(
        credited_tokens=snapshot.credited_tokens,
        settled_tokens=snapshot.settled_tokens,
        references=set(_split_digests(snapshot.references)),
        holdings={
            each.holder: _load_holding(each) for each in snapshot.holdings
        },
    )
    budget_account.held_tokens = sum(
        holding.lease_tokens
        + holding.reserve_tokens
        + holding.unaccounted_tokens
        for holding in budget_account.holdings.values()
    )
    return budget_account


def _load_holding(snapshot: data.HoldingSnapshot) -> budget.Holding:
    """Returns the holding of a snapshot."""
    fields = attrs.asdict(snapshot, recurse=False)
    del fields["holder"]
    fields["later_sequences"] = set(snapshot.later_sequences)
    return budget.Holding(**fields)


def _split_digests(packed: bytes) -> list[bytes]:
    """Returns the digests that are joined in a byte string."""
    return [
        packed[start : start + _DIGEST_BYTES]
        for start in range(0, len(packed), _DIGEST_BYTES)
    ]
