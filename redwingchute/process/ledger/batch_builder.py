"""Builds batches of entries from the calls that wait at a shard's owner."""

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import budget
from redwingchute.process.ledger import fold
from redwingchute.process.ledger import grant_sizing

# Once a batch has this many entries, further calls wait for the next one.
MAX_BATCH_ENTRIES = 4_000
# The most bytes of recorded answers in one batch; a record must not exceed the
# size limit of a message.
_MAX_BATCH_ANSWER_BYTES = 1024 * 1024
# How long the demand that a holder stated is used.
_DEMAND_RETENTION_MS = 60_000
# The least interval between two recalls of one budget and kind of grant from
# one holder.
_RECALL_INTERVAL_MS = 100

_NOT_ALLOWED = data.Verdict(data.VerdictCode.NOT_ALLOWED)


@attrs.frozen
class PlannedAsk:
    """An ask and the indexes of its grants in the batch.

    Attributes:
      ask: The ask, which is a holder's request for grants of a budget.
      lease_index: The index of the lease grant, or None without one.
      reserve_index: The index of the reserve grant, or None without one.
    """

    ask: data.Ask
    lease_index: int | None
    reserve_index: int | None


@attrs.frozen
class BatchedCall:
    """A call and the indexes of its entries in the batch.

    Attributes:
      call_id: The id under which the call was received.
      received_at_ms: When the call was received.
      call: The call.
      indexes: The index of each entry; None for an entry that holders may not
        send.
      asks: The asks of the call.
    """

    call_id: int
    received_at_ms: int
    call: data.LedgerCall
    indexes: tuple[int | None, ...] = ()
    asks: tuple[PlannedAsk, ...] = ()


@attrs.frozen
class BuiltBatch:
    """The entries of one batch and the calls that they belong to."""

    entries: tuple[data.LedgerEntry, ...]
    calls: tuple[BatchedCall, ...]


@attrs.define
class _HolderDemand:
    """The demand for a budget that a holder stated in its last ask.

    Attributes:
      ask: The ask.
      host: The holder's host.
      stated_at_ms: When the ask was received.
      recalled_at_ms: When the holder was last sent a recall of each kind of
        grant.
    """

    ask: data.Ask
    host: str
    stated_at_ms: int
    recalled_at_ms: dict[data.GrantKind, int] = attrs.field(factory=dict)


@attrs.frozen
class OutgoingRecall:
    """A recall that should be sent to a host."""

    host: str
    recall: data.Recall


@attrs.define
class _PlannedTokens:
    """The tokens granted so far by the batch that is being built.

    Attributes:
      by_budget: The tokens by the name of the budget.
      by_holding: The tokens by budget, holder and kind of grant.
    """

    by_budget: dict[str, int] = attrs.field(factory=dict)
    by_holding: dict[tuple[str, data.Incarnation, data.GrantKind], int] = (
        attrs.field(factory=dict)
    )

    def add(self, grant: data.Grant) -> None:
        """Adds a planned grant."""
        self.by_budget[grant.budget] = (
            self.by_budget.get(grant.budget, 0) + grant.tokens
        )
        key = (grant.budget, grant.holder, grant.kind)
        self.by_holding[key] = self.by_holding.get(key, 0) + grant.tokens


class BatchBuilder:
    """Queues calls and builds batches from them."""

    def __init__(
        self,
        policy: grant_sizing.GrantPolicy,
        size_grant: grant_sizing.SizeGrant,
        choose_recalls: grant_sizing.ChooseRecalls,
    ) -> None:
        """Creates a builder with an empty queue.

        Args:
          policy: The policy for the size of grants.
          size_grant: Sizes the grants for each ask.
          choose_recalls: Chooses the holders that return tokens if an ask
            cannot be covered.
        """
        self._policy = policy
        self._size_grant = size_grant
        self._choose_recalls = choose_recalls
        self._waiting: list[BatchedCall] = []
        self._demand: dict[str, dict[data.Incarnation, _HolderDemand]] = {}
        self._recalls: list[OutgoingRecall] = []

    @property
    def is_empty(self) -> bool:
        """Whether no call waits."""
        return not self._waiting

    def add(self, now_ms: int, call_id: int, call: data.LedgerCall) -> None:
        """Queues a call and records the demand that its asks state."""
        self._waiting.append(BatchedCall(call_id, now_ms, call))
        for ask in call.asks:
            by_holder = self._demand.setdefault(ask.budget, {})
            demand = by_holder.setdefault(
                call.holder, _HolderDemand(ask, call.host, now_ms)
            )
            demand.ask = ask
            demand.stated_at_ms = now_ms

    def pop_recalls(self) -> list[OutgoingRecall]:
        """Removes and returns the recalls to send."""
        recalls, self._recalls = self._recalls, []
        return recalls

    def count_recallable(
        self,
        shard_fold: fold.ShardFold,
        holder: data.Incarnation,
        budget_name: str,
    ) -> int:
        """Returns the tokens that can be recalled for a holder.

        These are the tokens of the other holders that sent an ask recently.
        """
        budget_account = shard_fold.budgets.get(budget_name) or budget.Budget()
        demand = self._demand.get(budget_name, {})
        return sum(
            max(0, holding.lease_tokens) + max(0, holding.reserve_tokens)
            for each, holding in budget_account.holdings.items()
            if each != holder and each in demand
        )

    def remove_all(self) -> list[int]:
        """Removes the waiting calls and returns their ids."""
        call_ids = [each.call_id for each in self._waiting]
        self._waiting = []
        return call_ids

    def remove_received_before(self, received_before_ms: int) -> list[int]:
        """Removes the calls received before a time and returns their ids."""
        old_call_ids = [
            each.call_id
            for each in self._waiting
            if each.received_at_ms < received_before_ms
        ]
        self._waiting = [
            each
            for each in self._waiting
            if each.received_at_ms >= received_before_ms
        ]
        return old_call_ids

    def build(
        self,
        now_ms: int,
        shard_fold: fold.ShardFold,
        first_entries: list[data.Retire],
    ) -> BuiltBatch:
        """Builds the next batch and removes its calls from the queue.

        Args:
          now_ms: The current time.
          shard_fold: The state that the batch will be applied to.
          first_entries: The owner's own entries, which retire holders; they
            come first in the batch.
        """
        self._remove_old_demand(now_ms)
        entries: list[data.LedgerEntry] = list(first_entries)
        calls: list[BatchedCall] = []
        planned = _PlannedTokens()
        answer_bytes = 0
        while self._waiting and len(entries) < MAX_BATCH_ENTRIES:
            answer_bytes += _count_answer_bytes(self._waiting[0].call)
            if calls and answer_bytes > _MAX_BATCH_ANSWER_BYTES:
                break
            waiting = self._waiting.pop(0)
            indexes = _add_entries(waiting.call, entries)
            asks = tuple(
                self._plan_ask(
                    shard_fold,
                    waiting.call.holder,
                    ask,
                    planned,
                    entries,
                    now_ms,
                )
                for ask in waiting.call.asks
            )
            calls.append(attrs.evolve(waiting, indexes=indexes, asks=asks))
        return BuiltBatch(tuple(entries), tuple(calls))

    def _plan_ask(
        self,
        shard_fold: fold.ShardFold,
        holder: data.Incarnation,
        ask: data.Ask,
        planned: _PlannedTokens,
        entries: list[data.LedgerEntry],
        now_ms: int,
    ) -> PlannedAsk:
        """Sizes the grants for an ask and adds them to the entries."""
        budget_account = shard_fold.budgets.get(ask.budget)
        if budget_account is None or shard_fold.is_retired(holder):
            return PlannedAsk(ask, None, None)
        state = self._make_budget_state(
            shard_fold, budget_account, holder, ask.budget, planned
        )
        lease, reserve = self._size_grant(state, ask, self._policy)
        self._queue_recalls(state, ask, now_ms)
        indexes: list[int | None] = []
        for kind, tokens in (
            (data.GrantKind.LEASE, lease),
            (data.GrantKind.RESERVE, reserve),
        ):
            if tokens <= 0:
                indexes.append(None)
                continue
            grant = data.Grant(ask.budget, holder, kind, tokens)
            planned.add(grant)
            indexes.append(len(entries))
            entries.append(grant)
        return PlannedAsk(ask, indexes[0], indexes[1])

    def _queue_recalls(
        self,
        state: grant_sizing.BudgetState,
        ask: data.Ask,
        now_ms: int,
    ) -> None:
        """Queues the recalls for an ask.

        The rate is limited for each holder and kind of grant.
        """
        for chosen in self._choose_recalls(state, ask, self._policy):
            demand = self._demand[ask.budget].get(chosen.holder)
            if demand is None:
                continue
            last_ms = demand.recalled_at_ms.get(chosen.recall.kind)
            if last_ms is not None and now_ms - last_ms < _RECALL_INTERVAL_MS:
                continue
            demand.recalled_at_ms[chosen.recall.kind] = now_ms
            self._recalls.append(OutgoingRecall(demand.host, chosen.recall))

    def _make_budget_state(
        self,
        shard_fold: fold.ShardFold,
        budget_account: budget.Budget,
        holder: data.Incarnation,
        budget_name: str,
        planned: _PlannedTokens,
    ) -> grant_sizing.BudgetState:
        """Returns the input of the functions that size grants and recalls."""
        holding = budget_account.holdings.get(holder) or budget.Holding()
        lease_key = (budget_name, holder, data.GrantKind.LEASE)
        reserve_key = (budget_name, holder, data.GrantKind.RESERVE)
        demand = self._demand.get(budget_name, {})
        return grant_sizing.BudgetState(
            budget=budget_name,
            holder=holder,
            credited_tokens=budget_account.credited_tokens,
            settled_tokens=budget_account.settled_tokens,
            free_tokens=max(
                0,
                budget_account.free_tokens
                - planned.by_budget.get(budget_name, 0),
            ),
            holder_lease_tokens=holding.lease_tokens
            + planned.by_holding.get(lease_key, 0),
            holder_reserve_tokens=holding.reserve_tokens
            + planned.by_holding.get(reserve_key, 0),
            demand_tokens_per_s={
                each: stated.ask.demand_tokens_per_s
                for each, stated in demand.items()
                if not shard_fold.is_retired(each)
            },
            requested_reserve_tokens={
                each: stated.ask.reserve_tokens
                for each, stated in demand.items()
            },
            holders={
                each: grant_sizing.HolderTokens(
                    max(0, held.lease_tokens), max(0, held.reserve_tokens)
                )
                for each, held in budget_account.holdings.items()
                if not shard_fold.is_retired(each)
            },
        )

    def _remove_old_demand(self, now_ms: int) -> None:
        """Removes demand that was stated too long ago."""
        for budget_name, by_holder in list(self._demand.items()):
            for holder, stated in list(by_holder.items()):
                if now_ms - stated.stated_at_ms > _DEMAND_RETENTION_MS:
                    del by_holder[holder]
            if not by_holder:
                del self._demand[budget_name]


def list_verdicts(
    batched: BatchedCall, verdicts: tuple[data.Verdict, ...]
) -> tuple[data.Verdict, ...]:
    """Returns the verdicts on the entries of a call, in their order."""
    return tuple(
        _NOT_ALLOWED if index is None else verdicts[index]
        for index in batched.indexes
    )


def make_granted(
    shard_fold: fold.ShardFold,
    holder: data.Incarnation,
    planned_ask: PlannedAsk,
    verdicts: tuple[data.Verdict, ...],
    lease_ms: int,
    recallable_tokens: int,
) -> data.Granted:
    """Returns the reply to one ask: the tokens that were granted."""
    budget_account = (
        shard_fold.budgets.get(planned_ask.ask.budget) or budget.Budget()
    )
    holding = budget_account.holdings.get(holder) or budget.Holding()
    return data.Granted(
        budget=planned_ask.ask.budget,
        lease_tokens=_count_granted(planned_ask.lease_index, verdicts),
        reserve_tokens=_count_granted(planned_ask.reserve_index, verdicts),
        available_tokens=max(0, budget_account.free_tokens) + recallable_tokens,
        lease_ms=lease_ms,
        lease_total_tokens=holding.lease_total_tokens,
        reserve_total_tokens=holding.reserve_total_tokens,
    )


def _count_granted(
    index: int | None, verdicts: tuple[data.Verdict, ...]
) -> int:
    """Returns the tokens of an accepted grant, else 0."""
    if index is None:
        return 0
    verdict = verdicts[index]
    is_accepted = verdict.code is data.VerdictCode.ACCEPTED
    return verdict.tokens if is_accepted else 0


def _add_entries(
    call: data.LedgerCall, entries: list[data.LedgerEntry]
) -> tuple[int | None, ...]:
    """Adds a call's entries to the batch and returns their indexes.

    Only the owner itself may grant and retire. Recorded answers that would
    exceed the size limit are left out; their outcomes are still recorded.
    """
    indexes: list[int | None] = []
    answer_bytes = 0
    for entry in call.entries:
        match entry:
            case data.Grant() | data.Retire():
                indexes.append(None)
                continue
            case data.RecordOutcome(answer=answer):
                answer_bytes += len(answer)
                if answer_bytes > _MAX_BATCH_ANSWER_BYTES:
                    entry = attrs.evolve(entry, answer=b"")
            case _:
                pass
        indexes.append(len(entries))
        entries.append(entry)
    return tuple(indexes)


def _count_answer_bytes(call: data.LedgerCall) -> int:
    """Returns the size of the recorded answers in a call, in bytes."""
    return sum(
        len(entry.answer)
        for entry in call.entries
        if isinstance(entry, data.RecordOutcome)
    )
