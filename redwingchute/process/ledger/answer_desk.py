"""Forms the replies of a shard's owner to its callers."""

from collections.abc import Iterable

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import batch_builder
from redwingchute.process.ledger import fold


@attrs.frozen
class Answer:
    """A reply to the call that was received under `call_id`."""

    call_id: int
    reply: data.LedgerReply


class AnswerDesk:
    """Gathers the answers of one owner until the shell takes them."""

    def __init__(
        self,
        shard: int,
        host_name: str,
        lease_ms: int,
        builder: batch_builder.BatchBuilder,
    ) -> None:
        """Starts without answers.

        Args:
          shard: The shard.
          host_name: The host that the owner runs on.
          lease_ms: When holders are to ask again.
          builder: Knows what other holders may give back.
        """
        self._shard = shard
        self._host_name = host_name
        self._lease_ms = lease_ms
        self._builder = builder
        self._answers: list[Answer] = []

    def take_answers(self) -> list[Answer]:
        """Returns the answers that are ready."""
        answers, self._answers = self._answers, []
        return answers

    def answer_lookups(
        self, shard_fold: fold.ShardFold, call_id: int, call: data.LedgerCall
    ) -> None:
        """Answers a call that needs no commit."""
        reply = self._make_reply(shard_fold, call, (), ())
        self._answers.append(Answer(call_id, reply))

    def answer_call(
        self,
        shard_fold: fold.ShardFold,
        batched: batch_builder.BatchedCall,
        verdicts: tuple[data.Verdict, ...],
    ) -> None:
        """Answers a call whose batch took effect.

        Args:
          shard_fold: The state after the batch.
          batched: The call, and where its entries stood in the batch.
          verdicts: The verdicts on the whole batch.
        """
        holder = batched.call.holder
        grants = tuple(
            batch_builder.answer_ask(
                shard_fold,
                holder,
                planned,
                verdicts,
                self._lease_ms,
                self._builder.count_recallable(
                    shard_fold, holder, planned.ask.budget
                ),
            )
            for planned in batched.asks
        )
        own_verdicts = batch_builder.list_verdicts(batched, verdicts)
        reply = self._make_reply(shard_fold, batched.call, own_verdicts, grants)
        self._answers.append(Answer(batched.call_id, reply))

    def refuse_all(
        self,
        shard_fold: fold.ShardFold,
        call_ids: Iterable[int],
        status: data.CallStatus,
    ) -> None:
        """Answers each call with the same refusal."""
        reply = data.LedgerReply(
            shard=self._shard,
            epoch=shard_fold.epoch,
            status=status,
            owner_host=shard_fold.owner_host,
        )
        self._answers += [Answer(each, reply) for each in call_ids]

    def _make_reply(
        self,
        shard_fold: fold.ShardFold,
        call: data.LedgerCall,
        verdicts: tuple[data.Verdict, ...],
        grants: tuple[data.Granted, ...],
    ) -> data.LedgerReply:
        """Returns the reply to a call that was handled."""
        return data.LedgerReply(
            shard=self._shard,
            epoch=shard_fold.epoch,
            status=data.CallStatus.HANDLED,
            owner_host=self._host_name,
            verdicts=verdicts,
            grants=grants,
            reports=tuple(shard_fold.look_up(each) for each in call.lookups),
            is_holder_retired=shard_fold.is_retired(call.holder),
        )
