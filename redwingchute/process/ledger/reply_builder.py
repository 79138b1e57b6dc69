"""Builds the replies of a shard's owner to the calls of holders."""

from collections.abc import Iterable

import attrs

from redwingchute.core import data
from redwingchute.process.ledger import batch_builder
from redwingchute.process.ledger import fold


@attrs.frozen
class CallReply:
    """A reply to the call that was received under `call_id`."""

    call_id: int
    reply: data.LedgerReply


class ReplyBuilder:
    """Builds the replies of one owner and queues them for delivery."""

    def __init__(
        self,
        shard: int,
        host_name: str,
        lease_ms: int,
        builder: batch_builder.BatchBuilder,
    ) -> None:
        """Creates a builder with an empty queue of replies.

        Args:
          shard: The shard.
          host_name: The host that the owner runs on.
          lease_ms: The interval after which holders request tokens again.
          builder: The batch builder, which counts recallable tokens.
        """
        self._shard = shard
        self._host_name = host_name
        self._lease_ms = lease_ms
        self._builder = builder
        self._replies: list[CallReply] = []

    def pop_replies(self) -> list[CallReply]:
        """Removes and returns the queued replies."""
        replies, self._replies = self._replies, []
        return replies

    def reply_to_lookups(
        self, shard_fold: fold.ShardFold, call_id: int, call: data.LedgerCall
    ) -> None:
        """Replies to a call that needs no commit."""
        reply = self._make_reply(shard_fold, call, (), ())
        self._replies.append(CallReply(call_id, reply))

    def reply_to_call(
        self,
        shard_fold: fold.ShardFold,
        batched: batch_builder.BatchedCall,
        verdicts: tuple[data.Verdict, ...],
    ) -> None:
        """Replies to a call whose batch was applied.

        Args:
          shard_fold: The state after the batch.
          batched: The call and the indexes of its entries in the batch.
          verdicts: The verdicts on all entries of the batch.
        """
        holder = batched.call.holder
        grants = tuple(
            batch_builder.make_granted(
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
        self._replies.append(CallReply(batched.call_id, reply))

    def refuse_all(
        self,
        shard_fold: fold.ShardFold,
        call_ids: Iterable[int],
        status: data.CallStatus,
    ) -> None:
        """Replies to each call with the same refusal."""
        reply = data.LedgerReply(
            shard=self._shard,
            epoch=shard_fold.epoch,
            status=status,
            owner_host=shard_fold.owner_host,
        )
        self._replies += [CallReply(each, reply) for each in call_ids]

    def _make_reply(
        self,
        shard_fold: fold.ShardFold,
        call: data.LedgerCall,
        verdicts: tuple[data.Verdict, ...],
        grants: tuple[data.Granted, ...],
    ) -> data.LedgerReply:
        """Returns the reply to a handled call."""
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
