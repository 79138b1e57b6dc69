"""The fold's rules for calls that may not be repeated.

Such a call is claimed before it runs. Its outcome is then recorded by the
claimant, or resolved by an operator if it stays unknown.
"""

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import claim_store
from redwingchute.process.ledger import shard_state

_ACCEPTED = data.Verdict(data.VerdictCode.ACCEPTED)
_REPEATED = data.Verdict(data.VerdictCode.REPEATED)


def apply_claim(
    state: shard_state.ShardState, entry: data.Claim
) -> data.Verdict:
    """Claims the only run of a key."""
    if entry.budget not in state.budgets:
        return data.Verdict(data.VerdictCode.UNKNOWN_BUDGET)
    if state.is_retired(entry.holder):
        return data.Verdict(data.VerdictCode.HOLDER_RETIRED)
    state.advance_time(entry.claimed_at_ms)
    state.claims.expire(state.time_ms)
    claim = state.claims.get(entry.key)
    if claim is not None:
        return _repeat_claim(entry, claim)
    if state.claims.has_expired(entry.key):
        return data.Verdict(data.VerdictCode.KEY_EXPIRED)
    settled = state.keys.get(entry.key)
    if settled is not None:
        # Only repeatable requests settle keys, so this is another request.
        return data.Verdict(data.VerdictCode.BODY_MISMATCH)
    age_ms = state.time_ms - entry.claimed_at_ms
    if age_ms > claim_store.CLAIM_WINDOW_MS:
        return data.Verdict(data.VerdictCode.KEY_EXPIRED)
    claimed = claim_store.ClaimState(
        entry.holder, entry.body_digest, state.time_ms, entry.claim_id
    )
    state.claims.set(entry.key, claimed)
    return _ACCEPTED


def apply_outcome(
    state: shard_state.ShardState, entry: data.RecordOutcome
) -> data.Verdict:
    """Records and bills the outcome of a claimed call."""
    budget_account = state.budgets.get(entry.budget)
    if budget_account is None:
        return data.Verdict(data.VerdictCode.UNKNOWN_BUDGET)
    claim = state.claims.get(entry.key)
    if claim is None or not _is_of_claim(entry, claim):
        return data.Verdict(data.VerdictCode.NOT_CLAIMED)
    if claim.is_recorded:
        return data.Verdict(
            data.VerdictCode.REPEATED,
            status=claim.status,
            answer=claim.answer,
        )
    if entry.status is data.OutcomeStatus.NOT_RUN:
        state.claims.remove(entry.key)
        return _ACCEPTED
    is_lease = entry.kind is data.GrantKind.LEASE
    if is_lease and entry.tokens and state.is_retired(entry.holder):
        return data.Verdict(data.VerdictCode.HOLDER_RETIRED)
    if not state.charge(budget_account, entry.holder, entry.kind, entry.tokens):
        return data.Verdict(data.VerdictCode.INSUFFICIENT_TOKENS)
    _record_claim(state, entry.key, claim, entry.status, entry.answer)
    return data.Verdict(data.VerdictCode.ACCEPTED, entry.tokens)


def apply_resolve(
    state: shard_state.ShardState, entry: data.Resolve
) -> data.Verdict:
    """Sets an unknown outcome to the one that an operator decided on."""
    claim = state.claims.get(entry.key)
    if claim is None:
        return data.Verdict(data.VerdictCode.NOT_CLAIMED)
    if claim.is_recorded:
        code = data.VerdictCode.REPEATED
        return data.Verdict(code, status=claim.status)
    if entry.status is data.OutcomeStatus.NOT_RUN:
        state.claims.remove(entry.key)
    else:
        _record_claim(state, entry.key, claim, entry.status, b"")
    return _ACCEPTED


def report_claim(
    claim: claim_store.ClaimState, body_digest: bytes
) -> data.KeyReport:
    """Returns the state of a claimed key."""
    if claim.body_digest != body_digest:
        return data.KeyReport(data.KeyState.BODY_MISMATCH)
    if not claim.is_recorded:
        return data.KeyReport(data.KeyState.CLAIMED)
    return data.KeyReport(
        data.KeyState.OUTCOME_RECORDED, claim.status, claim.answer
    )


def _is_of_claim(
    entry: data.RecordOutcome, claim: claim_store.ClaimState
) -> bool:
    """Returns whether an outcome belongs to the claim in force."""
    return entry.holder == claim.holder and entry.claim_id == claim.claim_id


def _record_claim(
    state: shard_state.ShardState,
    key: data.KeyDigest,
    claim: claim_store.ClaimState,
    status: data.OutcomeStatus,
    answer: bytes,
) -> None:
    """Stores the outcome of a claimed call."""
    recorded = attrs.evolve(
        claim, is_recorded=True, status=status, answer=answer
    )
    state.claims.set(key, recorded)


def _repeat_claim(
    entry: data.Claim, claim: claim_store.ClaimState
) -> data.Verdict:
    """Returns the verdict on a key that is already claimed."""
    if claim.body_digest != entry.body_digest:
        return data.Verdict(data.VerdictCode.BODY_MISMATCH)
    # Without an id, a repeat cannot be distinguished from another attempt.
    is_own = claim.holder == entry.holder and claim.claim_id == entry.claim_id
    if is_own and entry.claim_id and not claim.is_recorded:
        return _REPEATED
    return data.Verdict(
        data.VerdictCode.ALREADY_CLAIMED,
        status=claim.status,
        answer=claim.answer,
    )
