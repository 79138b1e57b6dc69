"""Charges requests to prepaid tokens, wherever in the fleet they are granted.

A request is charged at its most before it runs and settled at what it
consumed. What this router's grant lacks is first asked of the log, while it
answers, and then of the other routers: each reserves what it can spare in its
own grant. A charge whose settlement never comes counts as spent.
"""

import asyncio
from collections.abc import Callable
import itertools
from typing import Any
from typing import Protocol

import attrs

from redwingchute.core import data
from redwingchute.core import outcomes
from redwingchute.core import prepaid
from redwingchute.process import decision_log
from redwingchute.process import owned_tasks
from redwingchute.process import peer_network
from redwingchute.process.prepaid import grant_keeper

# How long a request waits for its router's grant to be raised. An append takes
# some ten milliseconds, and a few are needed when routers raise at once.
_GRANT_RAISE_TIMEOUT_S = 0.12
# How long a request waits while this process takes over its grants.
_TAKEOVER_TIMEOUT_S = 0.4
# The same at a router that lends; below what the borrower waits for a reply.
_LENDER_RAISE_TIMEOUT_S = 0.08
# How long another router may take to answer, connecting included.
_BORROW_TIMEOUT_MS = 200
# A router that did not answer is not asked again for this long.
_LENDER_BACKOFF_MS = 1_500
# The same for the other routers of its zone.
_ZONE_BACKOFF_MS = 500
# Settlements are sent again this often before they are given up.
_MAX_SETTLE_ATTEMPTS = 4
_SETTLE_TIMEOUT_MS = 1_000
# A charge that is not settled this long after its request's end is spent.
_CHARGE_EXPIRY_MARGIN_MS = 10_000
# How soon a refused caller may come back: grants move within a few ticks.
_DEFAULT_RETRY_AFTER_MS = 700
# A repeat comes this much after the tokens are free.
_CEILING_WAIT_MARGIN_MS = 30
# A request waits this long, and this part of its patience, for a ceiling that
# rises: less than most callers allow to the first event.
_MAX_CEILING_WAIT_MS = 400
_MAX_CEILING_WAIT_SHARE = 0.1
# Ended charges are remembered so that late messages do not revive them.
_MAX_ENDED_CHARGES = 4_096


class Network(Protocol):
    """What charging needs of the links between routers."""

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        """Sends a request and waits for its reply."""


@attrs.frozen
class ChargePart:
    """Tokens that are reserved at one router.

    Attributes:
      host: The router; this one's own name for a local part.
      charge_id: Names the part at another router.
      tokens: How many are reserved.
    """

    host: str
    charge_id: str
    tokens: int


@attrs.frozen
class Charge:
    """Tokens that are reserved for one request.

    Attributes:
      account: The client account that pays.
      parts: Where they are reserved.
    """

    account: str
    parts: tuple[ChargePart, ...]


@attrs.define
class _LentCharge:
    """A charge of another router's request in this router's grant."""

    account: str
    tokens: int
    timer: asyncio.TimerHandle


class Charging:
    """Charges and settles requests; serves other routers' charges."""

    def __init__(
        self,
        keeper: grant_keeper.GrantKeeper,
        network: Network,
        read_clock_ms: Callable[[], int],
        incarnation: int,
    ) -> None:
        """Binds charging to the router's grants and links.

        Args:
          keeper: The router's grants.
          network: The links to other routers.
          read_clock_ms: Returns the time on the boot clock.
          incarnation: Names this process start.
        """
        self._keeper = keeper
        self._network = network
        self._read_clock_ms = read_clock_ms
        self._charge_id_prefix = f"{keeper.own_host}.{incarnation:x}"
        self._charge_numbers = itertools.count(1)
        self._lent_charges: dict[str, _LentCharge] = {}
        self._ended_charge_ids: dict[str, None] = {}
        self._backoff_until_ms: dict[str, int] = {}
        self._tasks = owned_tasks.OwnedTasks()

    async def admit(
        self,
        request_id: str,
        account: str,
        prepaid_tokens: int,
        tokens: int,
        patience_ms: int,
        is_fresh: bool,
    ) -> Charge | outcomes.NotRun:
        """Reserves the most that a request can consume.

        Args:
          request_id: Names the request, for logs.
          account: The client account that pays.
          prepaid_tokens: All tokens of the account.
          tokens: The most that the request can consume.
          patience_ms: How long the caller waits for the answer.
          is_fresh: Whether the prepaid tokens are surely the newest figure.
        """
        keeper = self._keeper
        grant = keeper.find_grant(account)
        grant.note_demand(tokens, self._read_clock_ms())
        if not keeper.has_planned:
            await keeper.wait_until_started(_TAKEOVER_TIMEOUT_S)
        if keeper.reserve(account, tokens):
            return self._make_local_charge(account, tokens)
        remaining = keeper.find_remaining(account, prepaid_tokens)
        if tokens > remaining:
            return self._refuse(
                request_id, account, tokens, remaining, is_fresh
            )
        own_tokens = await keeper.reserve_with_raise(
            account, tokens, _GRANT_RAISE_TIMEOUT_S
        )
        if own_tokens == tokens:
            return self._make_local_charge(account, tokens)
        charge = await self._reserve_across_routers(
            account, tokens, own_tokens, patience_ms
        )
        if charge is not None:
            return charge
        if await self._wait_for_ceiling(account, tokens, patience_ms):
            return self._make_local_charge(account, tokens)
        remaining = keeper.find_remaining(account, prepaid_tokens)
        is_spent = tokens > remaining and is_fresh
        return self._refuse(request_id, account, tokens, remaining, is_spent)

    async def _wait_for_ceiling(
        self, account: str, tokens: int, patience_ms: int
    ) -> bool:
        """Waits for tokens that this router may spend shortly."""
        limit_ms = min(
            _MAX_CEILING_WAIT_MS, patience_ms * _MAX_CEILING_WAIT_SHARE
        )
        release_ms = self._keeper.find_release_ms(account, tokens)
        if release_ms is None or release_ms > limit_ms:
            return False
        await asyncio.sleep((release_ms + _CEILING_WAIT_MARGIN_MS) / 1000)
        return self._keeper.reserve(account, tokens)

    def settle(self, charge: Charge, spent_tokens: int) -> None:
        """Ends a charge with what its request consumed.

        Args:
          charge: The charge.
          spent_tokens: Input and delivered output tokens; 0 when it never ran.
        """
        unsettled_tokens = spent_tokens
        for part in charge.parts:
            part_spent_tokens = min(unsettled_tokens, part.tokens)
            unsettled_tokens -= part_spent_tokens
            if part.host == self._keeper.own_host:
                grant = self._keeper.find_grant(charge.account)
                grant.settle(part.tokens, part_spent_tokens)
            else:
                self._spawn_settlement(charge.account, part, part_spent_tokens)

    async def handle_charge(
        self, peer: data.Host, request: prepaid.RemoteCharge
    ) -> prepaid.RemoteChargeReply:
        """Reserves tokens for another router's request."""
        grant = self._keeper.find_grant(request.account)
        reserved = await self._lend(request)
        if reserved and request.charge_id in self._ended_charge_ids:
            # It was given up while this router's ceiling was raised.
            grant.settle(reserved, 0)
            reserved = 0
        if reserved:
            self._add_lent_charge(request, reserved)
            decision_log.log_event(
                "tokens_lent",
                account=request.account,
                borrower=peer.name,
                tokens=reserved,
                asked_tokens=request.tokens,
            )
        return prepaid.RemoteChargeReply(reserved, grant.spent_tokens)

    async def handle_settlement(
        self, peer: data.Host, settlement: prepaid.RemoteSettlement
    ) -> prepaid.RemoteSettlementReply:
        """Ends another router's charge."""
        del peer
        self._end_lent_charge(settlement.charge_id, settlement.spent_tokens)
        return prepaid.RemoteSettlementReply(settlement.charge_id)

    def _make_local_charge(self, account: str, tokens: int) -> Charge:
        """Returns a charge to this router's own grant."""
        part = ChargePart(self._keeper.own_host, "", tokens)
        return Charge(account, (part,))

    async def _lend(self, request: prepaid.RemoteCharge) -> int:
        """Reserves what can be spared; raises the grant if the log answers."""
        if (
            request.charge_id in self._lent_charges
            or request.charge_id in self._ended_charge_ids
        ):
            return 0
        account, tokens = request.account, request.tokens
        if self._keeper.reserve(account, tokens):
            return tokens
        return await self._keeper.reserve_with_raise(
            account, tokens, _LENDER_RAISE_TIMEOUT_S
        )

    def _refuse(
        self,
        request_id: str,
        account: str,
        tokens: int,
        remaining: int,
        is_spent: bool,
    ) -> outcomes.NotRun:
        """Returns the refusal of a request that cannot be charged.

        Args:
          request_id: Names the request.
          account: The client account.
          tokens: What the request needs.
          remaining: The most that can be left of the account.
          is_spent: Whether what is left surely does not cover the request.
        """
        grant = self._keeper.find_grant(account)
        decision_log.log_failure(
            "charge_refused",
            request_id=request_id,
            account=account,
            tokens=tokens,
            is_spent=is_spent,
            granted_tokens=grant.granted_tokens,
            committed_tokens=grant.committed_tokens,
            available_tokens=grant.find_available(self._read_clock_ms()),
            remaining_tokens=remaining,
            is_connected=self._keeper.is_connected,
        )
        if is_spent:
            return outcomes.NotRun(
                402,
                "budget_spent",
                f"What is left of the account does not cover {tokens} tokens.",
            )
        return outcomes.NotRun(
            503,
            "budget_out_of_reach",
            "The account's tokens are not within reach at the moment.",
            self._find_retry_after_ms(account, tokens),
        )

    def _find_retry_after_ms(self, account: str, tokens: int) -> int:
        """Returns when a refused caller may find its tokens here."""
        release_ms = self._keeper.find_release_ms(account, tokens)
        if release_ms is None:
            return _DEFAULT_RETRY_AFTER_MS
        return release_ms + _CEILING_WAIT_MARGIN_MS

    async def _reserve_across_routers(
        self, account: str, tokens: int, own_tokens: int, patience_ms: int
    ) -> Charge | None:
        """Reserves tokens at other routers until they suffice.

        Args:
          account: The client account that pays.
          tokens: What the request needs.
          own_tokens: What is reserved here already.
          patience_ms: How long the caller waits for the answer.
        """
        parts = []
        if own_tokens:
            parts.append(ChargePart(self._keeper.own_host, "", own_tokens))
        lacking_tokens = tokens - own_tokens
        is_complete = False
        try:
            for host in self._list_lenders(account):
                if lacking_tokens <= 0:
                    break
                part = await self._borrow(
                    host, account, lacking_tokens, patience_ms
                )
                if part is not None:
                    parts.append(part)
                    lacking_tokens -= part.tokens
            is_complete = lacking_tokens <= 0
        finally:
            charge = Charge(account, tuple(parts))
            if not is_complete:
                self.settle(charge, 0)
        return charge if is_complete else None

    async def _borrow(
        self, host: str, account: str, tokens: int, patience_ms: int
    ) -> ChargePart | None:
        """Reserves tokens at another router."""
        charge_id = f"{self._charge_id_prefix}.{next(self._charge_numbers)}"
        request = prepaid.RemoteCharge(
            charge_id, account, tokens, patience_ms + _CHARGE_EXPIRY_MARGIN_MS
        )
        requested_part = ChargePart(host, charge_id, tokens)
        try:
            reply = await self._network.call(host, request, _BORROW_TIMEOUT_MS)
        except asyncio.CancelledError:
            self._spawn_settlement(account, requested_part, 0)
            raise
        if not isinstance(reply, prepaid.RemoteChargeReply):
            # It may have been reserved: an answer can get lost.
            self._start_backoff(host)
            self._spawn_settlement(account, requested_part, 0)
            return None
        self._keeper.note_spent(account, host, reply.spent_tokens)
        if reply.reserved_tokens <= 0:
            return None
        return attrs.evolve(requested_part, tokens=reply.reserved_tokens)

    def _list_lenders(self, account: str) -> list[str]:
        """Returns other routers, those with the most free tokens first.

        One without free tokens may still reach the log and raise its grant.
        """
        now_ms = self._read_clock_ms()
        free_tokens = {
            row.host: row.granted_tokens - row.spent_tokens
            for row in self._keeper.fold.list_rows(account)
        }
        names = [
            stamp.host
            for stamp in self._keeper.fold.list_hosts()
            if stamp.host != self._keeper.own_host
            and self._backoff_until_ms.get(stamp.host, 0) <= now_ms
        ]
        return sorted(names, key=lambda name: -free_tokens.get(name, 0))

    def _start_backoff(self, host: str) -> None:
        """Leaves a router alone that did not answer, and its zone for less.

        A zone that is cut off is then noticed by one request, not by as many
        as it has routers.
        """
        now_ms = self._read_clock_ms()
        decision_log.log_event("lender_unreachable", lender=host)
        stamps = self._keeper.fold.stamps
        zone = stamps[host].zone if host in stamps else None
        for other, stamp in stamps.items():
            if stamp.zone == zone:
                backoff_ms = self._backoff_until_ms.get(other, 0)
                self._backoff_until_ms[other] = max(
                    backoff_ms, now_ms + _ZONE_BACKOFF_MS
                )
        self._backoff_until_ms[host] = now_ms + _LENDER_BACKOFF_MS

    def _spawn_settlement(
        self, account: str, part: ChargePart, spent_tokens: int
    ) -> None:
        """Settles a part at another router, trying a few times."""
        self._tasks.spawn(self._settle_remotely(account, part, spent_tokens))

    async def _settle_remotely(
        self, account: str, part: ChargePart, spent_tokens: int
    ) -> None:
        """Settles a part at another router."""
        settlement = prepaid.RemoteSettlement(
            part.charge_id, account, spent_tokens
        )
        for _ in range(_MAX_SETTLE_ATTEMPTS):
            reply = await self._network.call(
                part.host, settlement, _SETTLE_TIMEOUT_MS
            )
            if isinstance(reply, prepaid.RemoteSettlementReply):
                return
        decision_log.log_event(
            "settlement_given_up",
            account=account,
            lender=part.host,
            tokens=part.tokens,
            spent_tokens=spent_tokens,
        )

    def _add_lent_charge(
        self, request: prepaid.RemoteCharge, tokens: int
    ) -> None:
        """Keeps another router's charge until it is settled or expires."""
        timer = asyncio.get_running_loop().call_later(
            request.expires_in_ms / 1000,
            self._end_lent_charge,
            request.charge_id,
            tokens,
        )
        self._lent_charges[request.charge_id] = _LentCharge(
            request.account, tokens, timer
        )

    def _end_lent_charge(self, charge_id: str, spent_tokens: int) -> None:
        """Ends another router's charge, once."""
        self._ended_charge_ids[charge_id] = None
        while len(self._ended_charge_ids) > _MAX_ENDED_CHARGES:
            del self._ended_charge_ids[next(iter(self._ended_charge_ids))]
        lent_charge = self._lent_charges.pop(charge_id, None)
        if lent_charge is None:
            return
        lent_charge.timer.cancel()
        grant = self._keeper.find_grant(lent_charge.account)
        grant.settle(lent_charge.tokens, spent_tokens)
