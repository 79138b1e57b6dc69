"""The immutable records of the ledger, of hosts and of findings.

Decision code takes these records and a time as arguments and returns new
records; the services send them over links and store them in the platform's
log. The records have no behaviour, so that the same fold runs in a router, in a
state machine test and in a simulated scenario.

Units are part of the names: `_tokens` counts model tokens; `_ms` counts
milliseconds, of a duration or, for an instant, since the Unix epoch.

The free remainder of a budget is the part of its credited tokens that is
neither settled nor held by a holder as lease, reserve or unaccounted tokens. A
holder spends these tokens in a router process. If it is retired, the process
continues with a new holder.
"""

import enum
from typing import TypeAlias

import attrs

# A 64-bit number that identifies one start of a process, or one holder of that
# process. The upper bits are random for each start and the lower bits count the
# holders, see `process/incarnations.py`. A process that restarts at the same
# address thus has a new incarnation.
Incarnation: TypeAlias = int

# The 16-byte digest of a client account and an idempotency key.
KeyDigest: TypeAlias = bytes


class GrantKind(enum.IntEnum):
    """What a grant of tokens may be used for.

    Attributes:
      LEASE: Spendable only with a durable settlement before the response ends.
        It returns to the budget when its holder is retired.
      RESERVE: Spendable while the shard's owner is unreachable. After its
        holder is retired, it stays unaccounted until later records account for
        it or an operator releases it.
    """

    LEASE = 0
    RESERVE = 1


class VerdictCode(enum.IntEnum):
    """Why the fold of a shard accepted or refused an entry.

    Attributes:
      ACCEPTED: The entry took effect.
      REPEATED: An entry with the same key, id or reference took effect before;
        nothing is billed, moved or recorded again.
      BODY_MISMATCH: The idempotency key was used by a different request.
      HOLDER_RETIRED: The holder or owner is retired.
      INSUFFICIENT_TOKENS: The budget or the holder lacks the tokens.
      UNKNOWN_BUDGET: The budget never had a top-up.
      ALREADY_CLAIMED: The idempotency key was claimed before.
      NOT_CLAIMED: There is no claim that the outcome belongs to.
      STALE_EPOCH: The record's epoch does not follow the current one, for a
        takeover, or its epoch or owner is not the current one, for a batch.
      TOO_MANY_RERUNS: The settled request has run again too often.
      NOTHING_TO_RELEASE: The holder has no unaccounted tokens to release.
      KEY_EXPIRED: The idempotency key or the time of the entry is older than
        the fold keeps keys.
      NOT_ALLOWED: Holders may not send such an entry.
    """

    ACCEPTED = 0
    REPEATED = 1
    BODY_MISMATCH = 2
    HOLDER_RETIRED = 3
    INSUFFICIENT_TOKENS = 4
    UNKNOWN_BUDGET = 5
    ALREADY_CLAIMED = 6
    NOT_CLAIMED = 7
    STALE_EPOCH = 8
    TOO_MANY_RERUNS = 9
    NOTHING_TO_RELEASE = 10
    KEY_EXPIRED = 11
    NOT_ALLOWED = 12


class OutcomeStatus(enum.IntEnum):
    """The recorded outcome of a call that may not be repeated."""

    UNKNOWN = 0
    SUCCEEDED = 1
    FAILED = 2
    NOT_RUN = 3


@attrs.frozen
class Credit:
    """A top-up, or a reduction when `tokens` is negative.

    Attributes:
      budget: The name of the budget.
      reference: The operator's reference; a credit with a reference that was
        used before has no effect.
      tokens: The change of the credited tokens.
      author: The operator who requested the change.
      reason: The reason, for the audit trail.
    """

    budget: str
    reference: str
    tokens: int
    author: str
    reason: str


@attrs.frozen
class Grant:
    """Grants tokens of a budget's free remainder to a holder.

    It is an entry of the router's ledger (`redwingchute router`). The grants of
    the gateway are `prepaid.GrantRow` records.
    """

    budget: str
    holder: Incarnation
    kind: GrantKind
    tokens: int


@attrs.frozen
class GiveBack:
    """Returns tokens that a holder no longer needs to the free remainder.

    `sequence` increases per holder and budget, so that a repeated or reordered
    message returns its tokens only once.
    """

    budget: str
    holder: Incarnation
    kind: GrantKind
    tokens: int
    sequence: int


@attrs.frozen
class Settle:
    """Bills a request to its holder's grant, once per idempotency key.

    `body_digest` is the digest of the request's body. A repeated key with the
    same digest is not billed again; one with another digest is refused.
    """

    budget: str
    holder: Incarnation
    kind: GrantKind
    key: KeyDigest
    body_digest: bytes
    tokens: int
    settled_at_ms: int


@attrs.frozen
class Claim:
    """Claims the single run of a call that may not be repeated.

    `claim_id` is a random id of this claim. A holder that did not receive the
    reply sends the same claim again, and the id shows that the earlier claim is
    its own.
    """

    budget: str
    holder: Incarnation
    key: KeyDigest
    body_digest: bytes
    claimed_at_ms: int
    claim_id: bytes = b""


@attrs.frozen
class RecordOutcome:
    """Records the outcome of a claimed call.

    The status `NOT_RUN` releases the key, so that a retry can claim it again.
    `claim_id` is that of the claim, so that a delayed copy of this entry does
    not affect a later claim of the same key. `answer` is the recorded response.
    """

    budget: str
    holder: Incarnation
    key: KeyDigest
    status: OutcomeStatus
    tokens: int
    kind: GrantKind
    answer: bytes
    claim_id: bytes = b""


@attrs.frozen
class Resolve:
    """An operator's decision on a claimed call whose outcome is unknown."""

    budget: str
    key: KeyDigest
    status: OutcomeStatus
    author: str
    reason: str


@attrs.frozen
class Retire:
    """Retires a holder that is considered dead.

    Its lease returns to the free remainder and its reserve becomes unaccounted.
    It gets no further grants and cannot own a shard. Its claims and its
    settlements from lease are refused, but entries that account for its reserve
    still take effect.
    """

    holder: Incarnation


@attrs.frozen
class Release:
    """An operator's release of unaccounted tokens of a retired holder.

    A release with a `reference` that was used before has no effect.
    """

    budget: str
    holder: Incarnation
    tokens: int
    author: str
    reason: str
    reference: str = ""


@attrs.frozen
class Transfer:
    """Moves reserve between two holders; `transfer_id` makes it idempotent.

    The source deducts the tokens before it creates this record. The existence
    of the record thus proves the transfer, and any router may deliver it.
    """

    budget: str
    source: Incarnation
    target: Incarnation
    transfer_id: bytes
    tokens: int


LedgerEntry: TypeAlias = (
    Credit
    | Grant
    | GiveBack
    | Settle
    | Claim
    | RecordOutcome
    | Resolve
    | Retire
    | Release
    | Transfer
)


@attrs.frozen
class Verdict:
    """The decision of the fold about one entry.

    Attributes:
      code: Whether the entry took effect, or why not.
      tokens: The tokens that took effect; for a reduction that was refused for
        lack of tokens, the free remainder.
      status: The recorded outcome, for claims.
      answer: The recorded response, for a claim with an outcome.
    """

    code: VerdictCode
    tokens: int = 0
    status: OutcomeStatus = OutcomeStatus.UNKNOWN
    answer: bytes = b""


@attrs.frozen
class Takeover:
    """A log record of a shard: makes `owner` the owner in the next epoch.

    Attributes:
      record_id: Identifies the record.
      epoch: The new epoch, which must follow the current one.
      owner: The incarnation that takes over the shard.
      host: The new owner's host.
    """

    record_id: bytes
    epoch: int
    owner: Incarnation
    host: str


@attrs.frozen
class Batch:
    """A log record of a shard: entries that its owner commits together.

    Attributes:
      record_id: Identifies the record; bytes 8 to 15 are its sequence number.
      epoch: The epoch of the owner.
      owner: The incarnation that owns the shard.
      entries: The entries in order.
    """

    record_id: bytes
    epoch: int
    owner: Incarnation
    entries: tuple[LedgerEntry, ...]


@attrs.frozen
class Checkpoint:
    """A log record of a shard: a part of a snapshot of its fold.

    Attributes:
      checkpoint_id: Identifies the snapshot that the part belongs to.
      as_of_offset: The offset of the last record that the snapshot includes.
      part: The index of this part, from 0.
      part_count: The number of parts of the snapshot.
      body: The bytes of this part.
    """

    checkpoint_id: bytes
    as_of_offset: int
    part: int
    part_count: int
    body: bytes


@attrs.frozen
class HoldingSnapshot:
    """One holder's grants of one budget, within a `ShardSnapshot`.

    Attributes:
      holder: The incarnation that holds the tokens.
      lease_tokens: The lease that it holds.
      reserve_tokens: The reserve that it holds.
      unaccounted_tokens: Its unaccounted tokens, if it is retired.
      lease_total_tokens: All lease that was ever granted to it.
      reserve_total_tokens: All reserve that was ever granted to it.
      released_tokens: Its unaccounted tokens that operators released.
      sequence_watermark: The highest `GiveBack` sequence number up to which
        all were applied.
      later_sequences: The applied sequence numbers above the watermark.
    """

    holder: Incarnation
    lease_tokens: int
    reserve_tokens: int
    unaccounted_tokens: int
    lease_total_tokens: int
    reserve_total_tokens: int
    released_tokens: int
    sequence_watermark: int
    later_sequences: tuple[int, ...]


@attrs.frozen
class BudgetSnapshot:
    """One budget, within a `ShardSnapshot`.

    Attributes:
      budget: The name of the budget.
      credited_tokens: The sum of its credits.
      settled_tokens: The sum of its settled tokens.
      references: The concatenated digests of the operators' references that
        took effect.
      holdings: The grants of its holders.
    """

    budget: str
    credited_tokens: int
    settled_tokens: int
    references: bytes
    holdings: tuple[HoldingSnapshot, ...]


@attrs.frozen
class ClaimSnapshot:
    """One claimed key, within a `ShardSnapshot`.

    `answered_number` is the position of its response among the stored
    responses, in the order in which they were recorded: the oldest are removed
    first.
    """

    key: KeyDigest
    holder: Incarnation
    body_digest: bytes
    claimed_at_ms: int
    claim_id: bytes
    is_recorded: bool
    status: OutcomeStatus
    answer: bytes
    answered_number: int = 0


@attrs.frozen
class ShardSnapshot:
    """The fold of a shard without its settled keys, which follow it packed.

    Attributes:
      epoch: The epoch of the owner.
      owner: The incarnation that owns the shard.
      owner_host: The owner's host.
      last_sequence: The sequence number of the owner's last applied batch.
      time_ms: The shard's time, which its records advance.
      retired: The retired holders.
      transfers: The concatenated digests of the ids of applied transfers.
      budgets: The budgets.
      claims: The claimed keys.
      expired_claims: The packed keys of expired claims, current generation.
        Keys are added to it for a limited time or up to a limited number. Then
        it becomes the previous generation, and the one before is discarded.
      older_expired_claims: The same for the previous generation.
      keys_began_at_s: When the current generation of settled keys began.
      keys_floor_s: Every key that was settled at or after this time is stored.
    """

    epoch: int
    owner: Incarnation
    owner_host: str
    last_sequence: int
    time_ms: int
    retired: tuple[Incarnation, ...]
    transfers: bytes
    budgets: tuple[BudgetSnapshot, ...]
    claims: tuple[ClaimSnapshot, ...]
    expired_claims: bytes
    older_expired_claims: bytes
    keys_began_at_s: int
    keys_floor_s: int


@attrs.frozen
class HolderBalance:
    """The tokens of one budget that one holder has."""

    holder: Incarnation
    lease_tokens: int
    reserve_tokens: int
    unaccounted_tokens: int


@attrs.frozen
class BudgetBalance:
    """The balance of one budget.

    The sum of the settled, leased, reserved and unaccounted tokens never
    exceeds the credited ones.
    """

    budget: str
    credited_tokens: int
    settled_tokens: int
    leased_tokens: int
    reserved_tokens: int
    unaccounted_tokens: int
    holders: tuple[HolderBalance, ...]


@attrs.frozen
class BalanceQuery:
    """Requests balances from a shard's owner; an empty `budget` means all."""

    shard: int
    budget: str = ""


@attrs.frozen
class BalanceReport:
    """The reply to a `BalanceQuery`, as of the last folded record."""

    shard: int
    status: "CallStatus"
    owner_host: str
    balances: tuple[BudgetBalance, ...] = ()


@attrs.frozen
class Ask:
    """A holder's request for grants of one budget.

    Attributes:
      budget: The name of the budget.
      lease_tokens: The minimum that the waiting requests need now.
      reserve_tokens: The total reserve that the holder should have.
      demand_tokens_per_s: The holder's recent demand.
      smallest_tokens: What the smallest of the waiting requests needs; a
        smaller grant would serve none of them.
    """

    budget: str
    lease_tokens: int
    reserve_tokens: int
    demand_tokens_per_s: float
    smallest_tokens: int = 0


@attrs.frozen
class Granted:
    """The owner's reply to an `Ask`; the grant is durable when it arrives.

    Attributes:
      budget: The name of the budget.
      lease_tokens: The newly granted lease.
      reserve_tokens: The newly granted reserve.
      available_tokens: The free remainder of the budget after this grant, plus
        the tokens that can be recalled from other holders.
      lease_ms: After how long the holder should ask again. Safety does not
        depend on it.
      lease_total_tokens: All lease ever granted to this incarnation. A holder
        adds the growth of this sum, so that lost, repeated and reordered
        replies do no harm.
      reserve_total_tokens: All reserve ever granted to this incarnation.
    """

    budget: str
    lease_tokens: int
    reserve_tokens: int
    available_tokens: int
    lease_ms: int
    lease_total_tokens: int = 0
    reserve_total_tokens: int = 0


@attrs.frozen
class Lookup:
    """Queries the state of a key in the fold, without an append."""

    budget: str
    key: KeyDigest
    body_digest: bytes


class KeyState(enum.IntEnum):
    """The state of an idempotency key in the fold.

    Attributes:
      NEW: Neither claimed nor settled, as far as the fold keeps keys.
      SETTLED: A repeatable request with this key is billed.
      BODY_MISMATCH: The key was used by a different request.
      CLAIMED: A call that may not be repeated is claimed; its outcome is not
        recorded.
      OUTCOME_RECORDED: The outcome of the claimed call is recorded.
      TOO_MANY_RERUNS: The settled request has run again too often.
      EXPIRED: The key was claimed, but its outcome is no longer kept.
    """

    NEW = 0
    SETTLED = 1
    BODY_MISMATCH = 2
    CLAIMED = 3
    OUTCOME_RECORDED = 4
    TOO_MANY_RERUNS = 5
    EXPIRED = 6


@attrs.frozen
class KeyReport:
    """The reply to a `Lookup`.

    Attributes:
      state: The state of the key.
      status: The recorded outcome, if there is one.
      answer: The recorded response, if there is one.
    """

    state: KeyState
    status: OutcomeStatus = OutcomeStatus.UNKNOWN
    answer: bytes = b""


class CallStatus(enum.IntEnum):
    """Whether the receiver of a `LedgerCall` handled it as the owner."""

    HANDLED = 0
    NOT_OWNER = 1
    LOG_UNAVAILABLE = 2


@attrs.frozen
class LedgerCall:
    """A holder's message to the owner of a shard.

    The entries are committed in one batch. The owner replies only after it has
    read the batch back from the log and found no takeover before it.
    """

    shard: int
    holder: Incarnation
    host: str
    entries: tuple[LedgerEntry, ...] = ()
    asks: tuple[Ask, ...] = ()
    lookups: tuple[Lookup, ...] = ()


@attrs.frozen
class LedgerReply:
    """The reply to a `LedgerCall`.

    The `verdicts`, `grants` and `reports` are about the entries, asks and
    lookups of the call, in the same order.

    With the status `LOG_UNAVAILABLE`, the entries may or may not take effect
    later; sending them again is safe. If `is_holder_retired` is set, the
    holder's incarnation is retired and it must start a new one.
    """

    shard: int
    epoch: int
    status: CallStatus
    owner_host: str = ""
    verdicts: tuple[Verdict, ...] = ()
    grants: tuple[Granted, ...] = ()
    reports: tuple[KeyReport, ...] = ()
    is_holder_retired: bool = False


@attrs.frozen
class Recall:
    """The owner's request to a holder to return tokens when it can."""

    budget: str
    kind: GrantKind
    tokens: int


@attrs.frozen
class Host:
    """A host of the system, from the host list or from its own heartbeats.

    Attributes:
      name: The host's name.
      zone: Its availability zone.
      peer_address: `ip:port` for links between routers.
      incarnation: The incarnation of its process; 0 if it is not known.
      is_leaving: Whether the process is shutting down.
    """

    name: str
    zone: str
    peer_address: str
    incarnation: Incarnation = 0
    is_leaving: bool = False


@attrs.frozen
class Finding:
    """An error in an input, with its location.

    Attributes:
      place: The location: a flag, a path in a document, or a line and column.
      message: A full sentence that says what was found and what is allowed.
    """

    place: str
    message: str
