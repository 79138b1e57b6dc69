"""The immutable records that every other module imports.

Decision code takes these records and a time as arguments and returns new
records; daemons carry them over links and through the platform's log. Keeping
them in one module, without behaviour, lets the same fold run in a daemon, in a
state machine and in a scripted scenario.

Units are part of the names: `_tokens` counts model tokens, `_ms` counts
milliseconds since the epoch (for instants) or of duration.
"""

import enum
from typing import TypeAlias

import attrs

# A random 64-bit number that names one start of one process. A restart on the
# same address has a new incarnation.
Incarnation: TypeAlias = int

# The 16-byte digest of a client account and its idempotency key.
KeyDigest: TypeAlias = bytes


class GrantKind(enum.IntEnum):
    """What a grant of tokens may be used for.

    Attributes:
      LEASE: Spendable only with a durable settlement before the answer ends.
        It returns to the budget when its holder is retired.
      RESERVE: Spendable while the shard's owner is out of reach. After its
        holder is retired, it stays unaccounted until proof or an operator
        releases it.
    """

    LEASE = 0
    RESERVE = 1


class VerdictCode(enum.IntEnum):
    """Why the fold of a shard accepted or refused one entry."""

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
    """The recorded result of a call that may not be repeated."""

    UNKNOWN = 0
    SUCCEEDED = 1
    FAILED = 2
    NOT_RUN = 3


@attrs.frozen
class Credit:
    """A top-up, or a reduction when `tokens` is negative.

    Attributes:
      budget: The name of the budget.
      reference: The operator's reference; a repeated reference has no effect.
      tokens: The change of the credited tokens.
      author: Who asked for the change.
      reason: Why, for the audit trail.
    """

    budget: str
    reference: str
    tokens: int
    author: str
    reason: str


@attrs.frozen
class Grant:
    """Moves tokens of a budget from its free remainder to a holder."""

    budget: str
    holder: Incarnation
    kind: GrantKind
    tokens: int


@attrs.frozen
class GiveBack:
    """Moves tokens that a holder no longer needs back to the free remainder.

    `sequence` counts up per holder and budget, so that a repeated or reordered
    message returns tokens once.
    """

    budget: str
    holder: Incarnation
    kind: GrantKind
    tokens: int
    sequence: int


@attrs.frozen
class Settle:
    """Bills one request from its holder's grant, once per key."""

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

    `claim_id` is a random id of this attempt to claim. A holder whose answer
    was lost sends the same claim again and is told that the claim is its own.
    """

    budget: str
    holder: Incarnation
    key: KeyDigest
    body_digest: bytes
    claimed_at_ms: int
    claim_id: bytes = b""


@attrs.frozen
class RecordOutcome:
    """Records the result of a claimed call.

    The status `NOT_RUN` frees the key, so that a repeat can claim it again.
    `claim_id` names the claim that ran, so that a late copy does not touch a
    later claim of the same key.
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
    """Voids everything that an incarnation appends or asks for afterwards."""

    holder: Incarnation


@attrs.frozen
class Release:
    """Frees unaccounted tokens of a retired holder, by an operator.

    A repeated `reference` has no effect.
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

    The source deducts the tokens before it makes this record. The record's
    existence thus proves the transfer, whoever delivers it.
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
    """What the fold decided about one entry.

    Attributes:
      code: Whether the entry took effect, and why not.
      tokens: The tokens that took effect, or that could take effect now when
        the entry was refused for lack of tokens.
      status: The recorded outcome, for claims.
      answer: The recorded answer, for a claim with an outcome.
    """

    code: VerdictCode
    tokens: int = 0
    status: OutcomeStatus = OutcomeStatus.UNKNOWN
    answer: bytes = b""


@attrs.frozen
class Takeover:
    """A record of a shard's stream: makes `owner` the owner of `epoch`."""

    record_id: bytes
    epoch: int
    owner: Incarnation
    host: str


@attrs.frozen
class Batch:
    """A record of a shard's stream: entries that its owner commits together."""

    record_id: bytes
    epoch: int
    owner: Incarnation
    entries: tuple[LedgerEntry, ...]


@attrs.frozen
class Checkpoint:
    """A record of a shard's stream: a part of a snapshot of its fold.

    Attributes:
      checkpoint_id: Names the snapshot that the part belongs to.
      as_of_offset: The snapshot's state includes all records up to this one.
      part: The index of this part, from 0.
      part_count: How many parts the snapshot has.
      body: The part's bytes of the snapshot.
    """

    checkpoint_id: bytes
    as_of_offset: int
    part: int
    part_count: int
    body: bytes


@attrs.frozen
class HoldingSnapshot:
    """What one holder has of one budget, within a `ShardSnapshot`."""

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
    """One budget, within a `ShardSnapshot`."""

    budget: str
    credited_tokens: int
    settled_tokens: int
    references: bytes
    holdings: tuple[HoldingSnapshot, ...]


@attrs.frozen
class ClaimSnapshot:
    """One claimed key, within a `ShardSnapshot`.

    `answered_number` gives the order in which answers were recorded.
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
    """The fold of a shard but for its settled keys, which follow packed."""

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
    """What one holder has of one budget."""

    holder: Incarnation
    lease_tokens: int
    reserve_tokens: int
    unaccounted_tokens: int


@attrs.frozen
class BudgetBalance:
    """The account of one budget; its parts never exceed what is credited."""

    budget: str
    credited_tokens: int
    settled_tokens: int
    leased_tokens: int
    reserved_tokens: int
    unaccounted_tokens: int
    holders: tuple[HolderBalance, ...]


@attrs.frozen
class BalanceQuery:
    """Asks a shard's owner for balances; an empty `budget` means all."""

    shard: int
    budget: str = ""


@attrs.frozen
class BalanceReport:
    """The answer to a `BalanceQuery`, as of the last record folded."""

    shard: int
    status: "CallStatus"
    owner_host: str
    balances: tuple[BudgetBalance, ...] = ()


@attrs.frozen
class Ask:
    """A holder's wish for tokens of one budget.

    Attributes:
      budget: The name of the budget.
      lease_tokens: The least that the waiting requests need now.
      reserve_tokens: The reserve that the holder would like to hold in all.
      demand_tokens_per_s: What the holder's requests lately committed.
      smallest_tokens: What the smallest of the waiting requests needs; less
        would be of no use.
    """

    budget: str
    lease_tokens: int
    reserve_tokens: int
    demand_tokens_per_s: float
    smallest_tokens: int = 0


@attrs.frozen
class Granted:
    """The owner's answer to an `Ask`, durable when it arrives.

    Attributes:
      budget: The name of the budget.
      lease_tokens: Newly granted lease.
      reserve_tokens: Newly granted reserve.
      available_tokens: The free remainder after this grant.
      lease_ms: When to ask again, for liveness only.
      lease_total_tokens: All lease ever granted to this incarnation. A holder
        adds the growth of this sum, so lost, repeated and reordered replies
        change nothing.
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
    """Asks what the fold knows of a key, without an append."""

    budget: str
    key: KeyDigest
    body_digest: bytes


class KeyState(enum.IntEnum):
    """What the fold knows of a key."""

    NEW = 0
    SETTLED = 1
    BODY_MISMATCH = 2
    CLAIMED = 3
    OUTCOME_RECORDED = 4
    TOO_MANY_RERUNS = 5
    EXPIRED = 6


@attrs.frozen
class KeyReport:
    """The answer to a `Lookup`."""

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

    Entries are committed in one batch. The reply comes only after the batch
    was read back from the log with no takeover before it.
    """

    shard: int
    holder: Incarnation
    host: str
    entries: tuple[LedgerEntry, ...] = ()
    asks: tuple[Ask, ...] = ()
    lookups: tuple[Lookup, ...] = ()


@attrs.frozen
class LedgerReply:
    """The owner's reply; the tuples answer those of the call in order.

    `LOG_UNAVAILABLE` says that the entries may or may not take effect later;
    sending them again is safe. `is_holder_retired` tells a caller that its
    incarnation was retired and that it must start a new one.
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
    """The owner's request that a holder gives tokens back when it can."""

    budget: str
    kind: GrantKind
    tokens: int


@attrs.frozen
class Host:
    """A host of the system as the host list or its heartbeats describe it.

    Attributes:
      name: The host's name.
      zone: Its availability zone.
      peer_address: `ip:port` for links between routers.
      incarnation: The process start that runs there, 0 when not known.
      is_leaving: Whether the host is about to stop.
    """

    name: str
    zone: str
    peer_address: str
    incarnation: Incarnation = 0
    is_leaving: bool = False


@attrs.frozen
class Finding:
    """One thing that is wrong with an input, and where.

    Attributes:
      place: Where it stands: a flag, a path in a document, a line and column.
      message: A full sentence that says what was found and what is allowed.
    """

    place: str
    message: str
