"""Charges requests to the prepaid tokens of this and of other routers.

A request reserves its maximum cost before it runs and is settled with what it
consumed. If this router's grant does not cover a request, the router raises
its grant through the shared log, while the log is reachable, and then borrows
from other routers, each of which reserves what its own grant has available. A
charge that is not settled in time counts as spent until it is.

What a grant has available is also limited by its ceiling, which rises with the
age of the router's latest stamp in the log, see `ceiling`. A request that the
grant covers, but its ceiling does not yet, may wait for the ceiling to rise.

A router that is no hub has no grants. It delegates each charge to a hub, one of
its availability zone if it can, which lends it all tokens.
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
from redwingchute.process import background_tasks
from redwingchute.process import decision_log
from redwingchute.process import hub_choice
from redwingchute.process import peer_network
from redwingchute.process.prepaid import grant_manager
from redwingchute.process.prepaid import lender_reachability
from redwingchute.process.prepaid import lent_charges
from redwingchute.process.prepaid import settlement_sender

# How long a request waits for its router's grant to be raised. An append takes
# about 10 ms, and several are needed when routers raise grants concurrently.
_GRANT_RAISE_TIMEOUT_S = 0.12
# How long a request waits while this process takes over the grants of the
# previous process on its host.
_TAKEOVER_TIMEOUT_S = 0.4
# How long a lender waits for its grant to be raised; shorter than
# `_BORROW_TIMEOUT_MS`, so that its reply reaches the borrower in time.
_LENDER_RAISE_TIMEOUT_S = 0.08
# How long a lender's reply may take, including the time to connect.
_BORROW_TIMEOUT_MS = 200
# How long a hub may try to reserve the tokens of a delegated charge; shorter
# than `_DELEGATION_TIMEOUT_MS`, so that its reply reaches the other router.
_DELEGATED_ADMISSION_S = 0.25
# How long a hub's reply may take, including the time to connect.
_DELEGATION_TIMEOUT_MS = 350
# How many hubs are asked until one replies.
_MAX_DELEGATIONS = 3
# A lent charge expires this long after the patience of the request's caller:
# it then counts as spent.
_CHARGE_EXPIRY_MARGIN_MS = 10_000
# After how long a refused caller may retry if the time until tokens become
# available is unknown: routers rebalance their grants within a few append
# intervals.
_DEFAULT_RETRY_AFTER_MS = 700
# Added to the computed time until the ceiling admits a request, so that the
# retry does not come too early.
_CEILING_WAIT_MARGIN_MS = 30
# A request waits at most this long, and at most this share of its caller's
# patience, for the ceiling to rise. Most callers allow more time than that
# until the first event of the response.
_MAX_CEILING_WAIT_MS = 400
_MAX_CEILING_WAIT_SHARE = 0.1


class Network(Protocol):
    """The links to other routers."""

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        """Sends a message to a router and waits for its reply."""


@attrs.frozen
class ChargePart:
    """Tokens that are reserved at one router.

    Attributes:
      host: The host of the router, which may be this router's own.
      charge_id: Identifies the reservation at another router; empty for a
        reservation at this router.
      tokens: The number of reserved tokens.
    """

    host: str
    charge_id: str
    tokens: int


@attrs.frozen
class Charge:
    """Prepaid tokens that are reserved for one request.

    It is unrelated to `spending.Charge`, which charges a budget of the ledger.

    Attributes:
      account: The client account that pays.
      parts: The reservations at each router.
    """

    account: str
    parts: tuple[ChargePart, ...]


@attrs.frozen
class _ChargeRequest:
    """A request whose maximum cost is to be reserved.

    Attributes:
      request_id: Identifies the request in the log.
      account: The client account that pays.
      prepaid_tokens: All tokens that the account has prepaid.
      tokens: The maximum cost of the request.
      patience_ms: How long the caller waits for the response.
      is_fresh: Whether `prepaid_tokens` is known to be the newest value.
    """

    request_id: str
    account: str
    prepaid_tokens: int
    tokens: int
    patience_ms: int
    is_fresh: bool


class Charger:
    """Charges and settles requests, and lends tokens to other routers."""

    def __init__(
        self,
        manager: grant_manager.GrantManager,
        network: Network,
        find_hubs: Callable[[], hub_choice.HubView],
        list_prepaid_tokens: Callable[[], dict[str, int]],
        read_clock_ms: Callable[[], int],
        incarnation: int,
    ) -> None:
        """Creates the charger of one router.

        Args:
          manager: The router's grants.
          network: The links to other routers.
          find_hubs: Returns the hubs of the fleet.
          list_prepaid_tokens: Returns the prepaid tokens of each account.
          read_clock_ms: Returns the time on the boot clock.
          incarnation: Identifies this start of the process; makes the ids of
            charges unique.
        """
        self._manager = manager
        self._network = network
        self._find_hubs = find_hubs
        self._list_prepaid_tokens = list_prepaid_tokens
        self._read_clock_ms = read_clock_ms
        self._charge_id_prefix = f"{manager.own_host}.{incarnation:x}"
        self._charge_numbers = itertools.count(1)
        self._lent_charges = lent_charges.LentCharges[Charge](
            self._handle_expired_charge
        )
        self._reachability = lender_reachability.LenderReachability(
            find_hubs, read_clock_ms
        )
        # What hubs reported as spent at all routers, by account.
        self._fleet_spent_tokens: dict[str, int] = {}
        self._settlements = settlement_sender.SettlementSender(
            network, background_tasks.BackgroundTasks(), read_clock_ms
        )

    @property
    def lent_count(self) -> int:
        """The number of charges for other routers that are not settled."""
        return self._lent_charges.open_count

    async def admit(
        self,
        request_id: str,
        account: str,
        prepaid_tokens: int,
        tokens: int,
        patience_ms: int,
        is_fresh: bool,
    ) -> Charge | outcomes.NotRun:
        """Reserves the maximum cost of a request.

        A router that is no hub delegates this to one.

        Args:
          request_id: Identifies the request in the log.
          account: The client account that pays.
          prepaid_tokens: All tokens that the account has prepaid.
          tokens: The maximum cost of the request.
          patience_ms: How long the caller waits for the response.
          is_fresh: Whether `prepaid_tokens` is known to be the newest value.

        Returns:
          The charge, or a refusal: status 402 if the account is known to have
          too few tokens left, otherwise 503 with a time to retry.
        """
        request = _ChargeRequest(
            request_id, account, prepaid_tokens, tokens, patience_ms, is_fresh
        )
        if self._find_hubs().is_hub:
            return await self._admit_at_hub(request)
        return await self._delegate(request)

    async def _admit_at_hub(
        self, request: _ChargeRequest
    ) -> Charge | outcomes.NotRun:
        """Reserves tokens at a hub; see `admit`.

        Tries this router's grant first, then a raise of the grant, then the
        other routers, and last waits briefly for the ceiling to rise.
        """
        grant = self._manager.find_grant(request.account)
        grant.record_demand(request.tokens, self._read_clock_ms())
        admitted = await self._reserve_at_hub(request)
        if isinstance(admitted, Charge):
            grant.record_admission(request.tokens, self._read_clock_ms())
        return admitted

    async def _reserve_at_hub(
        self, request: _ChargeRequest
    ) -> Charge | outcomes.NotRun:
        """Reserves tokens; see `_admit_at_hub`."""
        manager = self._manager
        account, tokens = request.account, request.tokens
        if not manager.has_appended_rows:
            await manager.wait_until_started(_TAKEOVER_TIMEOUT_S)
        if manager.reserve(account, tokens):
            return self._make_local_charge(account, tokens)
        remaining_tokens = manager.balances.find_max_remaining(
            account, request.prepaid_tokens
        )
        if tokens > remaining_tokens:
            # Too few tokens are left of `prepaid_tokens`. If that value is not
            # the newest, the account may have prepaid more since.
            return self._refuse_at_hub(request, remaining_tokens)
        if tokens > manager.balances.find_max_obtainable(
            account, request.prepaid_tokens
        ):
            return self._refuse_at_hub(request, remaining_tokens)
        own_tokens = await manager.reserve_with_raise(
            account, tokens, _GRANT_RAISE_TIMEOUT_S
        )
        if own_tokens == tokens:
            return self._make_local_charge(account, tokens)
        charge = await self._reserve_across_routers(request, own_tokens)
        if charge is not None:
            return charge
        if await self._wait_for_ceiling(request):
            return self._make_local_charge(account, tokens)
        return self._refuse_at_hub(
            request,
            manager.balances.find_max_remaining(
                account, request.prepaid_tokens
            ),
        )

    async def _delegate(
        self, request: _ChargeRequest
    ) -> Charge | outcomes.NotRun:
        """Has a hub reserve the tokens of a request; see `admit`."""
        retry_after_ms: int | None = _DEFAULT_RETRY_AFTER_MS
        for host in self._list_hubs_to_ask(request.account):
            if request.tokens > self._find_fleet_remaining(request):
                break
            part, reply = await self._borrow(
                host,
                request.account,
                request.tokens,
                request.patience_ms,
                is_delegated=True,
            )
            if part is not None:
                return Charge(request.account, (part,))
            if reply is not None and reply.retry_after_ms:
                retry_after_ms = (
                    None
                    if reply.is_final and request.is_fresh
                    else reply.retry_after_ms
                )
                break
        return self._refuse(
            request, self._find_fleet_remaining(request), retry_after_ms
        )

    def _find_fleet_remaining(self, request: _ChargeRequest) -> int:
        """Returns an upper bound of the account's tokens, by hubs' replies."""
        spent_tokens = self._fleet_spent_tokens.get(request.account, 0)
        return request.prepaid_tokens - spent_tokens

    def _list_hubs_to_ask(self, account: str) -> list[str]:
        """Returns the hubs to delegate a charge to, the preferred one first.

        The routers of a zone prefer the same hub for an account, so that its
        demand there is steady. The last one is of another zone, in case the
        hubs of this zone are down.
        """
        view = self._find_hubs()
        hubs = [
            host
            for host in view.order_hubs(account)
            if not self._reachability.is_in_backoff(host)
        ]
        local = [host for host in hubs if view.zones[host] == view.own_zone]
        remote = [host for host in hubs if view.zones[host] != view.own_zone]
        return [*local[: _MAX_DELEGATIONS - 1], *remote][:_MAX_DELEGATIONS]

    async def _wait_for_ceiling(self, request: _ChargeRequest) -> bool:
        """Waits until the ceiling admits a request, if the wait is short.

        Returns:
          Whether the tokens are reserved.
        """
        limit_ms = min(
            _MAX_CEILING_WAIT_MS,
            request.patience_ms * _MAX_CEILING_WAIT_SHARE,
        )
        wait_ms = self._manager.find_wait_ms(request.account, request.tokens)
        if wait_ms is None or wait_ms > limit_ms:
            return False
        await asyncio.sleep((wait_ms + _CEILING_WAIT_MARGIN_MS) / 1000)
        return self._manager.reserve(request.account, request.tokens)

    def settle(self, charge: Charge, spent_tokens: int) -> None:
        """Settles a charge with what its request consumed.

        Args:
          charge: The charge.
          spent_tokens: The input tokens and the delivered output tokens; 0 if
            the request never ran.
        """
        grant = self._manager.find_grant(charge.account)
        self._settle_parts(charge, spent_tokens, grant.settle)

    def _settle_parts(
        self,
        charge: Charge,
        spent_tokens: int,
        settle_own: Callable[[int, int], None],
    ) -> None:
        """Divides what a request consumed among the parts of its charge.

        Args:
          charge: The charge.
          spent_tokens: What the request consumed.
          settle_own: Settles a part at this router; called with the tokens of
            the part and those of them that were consumed.
        """
        unsettled_tokens = spent_tokens
        for part in charge.parts:
            part_spent_tokens = min(unsettled_tokens, part.tokens)
            unsettled_tokens -= part_spent_tokens
            if part.host == self._manager.own_host:
                settle_own(part.tokens, part_spent_tokens)
            else:
                self._send_settlement(charge.account, part, part_spent_tokens)

    async def handle_charge(
        self, peer: data.Host, request: prepaid.RemoteCharge
    ) -> prepaid.RemoteChargeReply:
        """Lends tokens to another router for one of its requests."""
        grant = self._manager.find_grant(request.account)
        charge, retry_after_ms = await self._lend(request)
        if charge is not None and self._lent_charges.has_ended(
            request.charge_id
        ):
            # The borrower settled the charge while the tokens were being
            # reserved.
            self.settle(charge, 0)
            charge = None
        reserved_tokens = _count_tokens(charge)
        if charge is not None:
            self._lent_charges.add(
                request.charge_id, charge, request.expires_in_ms
            )
            decision_log.log_event(
                "tokens_lent",
                account=request.account,
                borrower=peer.name,
                tokens=reserved_tokens,
                asked_tokens=request.tokens,
            )
        return prepaid.RemoteChargeReply(
            reserved_tokens,
            grant.spent_tokens - grant.unsure_tokens,
            self._find_fleet_spent(request.account)
            if request.is_delegated
            else 0,
            0 if reserved_tokens else retry_after_ms,
            request.is_delegated
            and not reserved_tokens
            and self._manager.is_out_of_tokens(request.account, request.tokens),
        )

    def _find_fleet_spent(self, account: str) -> int:
        """Returns the tokens known to be spent at any router.

        Reserved tokens are left out, since they may become free again. So the
        result never falls.
        """
        prepaid_tokens = self._list_prepaid_tokens().get(account, 0)
        remaining_tokens = self._manager.balances.find_max_remaining(
            account, prepaid_tokens
        )
        reserved_tokens = self._manager.find_grant(account).reserved_tokens
        return prepaid_tokens - remaining_tokens - reserved_tokens

    async def handle_settlement(
        self, peer: data.Host, settlement: prepaid.RemoteSettlement
    ) -> prepaid.RemoteSettlementReply:
        """Settles tokens that were lent to another router."""
        del peer
        charge = self._lent_charges.pop_open(settlement.charge_id)
        expired = self._lent_charges.pop_expired(settlement.charge_id)
        if charge is not None:
            self.settle(charge, settlement.spent_tokens)
        elif expired is not None:
            grant = self._manager.find_grant(expired.account)
            self._settle_parts(
                expired, settlement.spent_tokens, grant.settle_expired
            )
        return prepaid.RemoteSettlementReply(settlement.charge_id)

    def _handle_expired_charge(self, charge: Charge) -> None:
        """Counts what this router lent for a charge as spent.

        Parts at other routers expire there.
        """
        for part in charge.parts:
            if part.host == self._manager.own_host:
                grant = self._manager.find_grant(charge.account)
                grant.expire(part.tokens)
        decision_log.log_event(
            "lent_charge_expired",
            account=charge.account,
            tokens=_count_tokens(charge),
        )

    def _make_local_charge(self, account: str, tokens: int) -> Charge:
        """Returns a charge whose tokens are all reserved at this router."""
        part = ChargePart(self._manager.own_host, "", tokens)
        return Charge(account, (part,))

    async def _lend(
        self, request: prepaid.RemoteCharge
    ) -> tuple[Charge | None, int]:
        """Reserves the requested tokens, or a part of them.

        A delegated charge is reserved as a whole or not at all.

        Returns:
          The reservations, None without any and for a repeated request; and
          after how many ms a refused request may be tried again.
        """
        if self._lent_charges.is_open(
            request.charge_id
        ) or self._lent_charges.has_ended(request.charge_id):
            return None, _DEFAULT_RETRY_AFTER_MS
        account, tokens = request.account, request.tokens
        if request.is_delegated:
            return await self._admit_delegated(request)
        if not self._manager.may_lend:
            return None, _DEFAULT_RETRY_AFTER_MS
        if request.is_connected:
            # What this router could add to its grant, the borrower could too.
            tokens = min(tokens, self._manager.find_grant(account).free_tokens)
        if not tokens:
            return None, _DEFAULT_RETRY_AFTER_MS
        if self._manager.reserve(account, tokens):
            return self._make_local_charge(account, tokens), 0
        reserved_tokens = await self._manager.reserve_with_raise(
            account, tokens, _LENDER_RAISE_TIMEOUT_S
        )
        if not reserved_tokens:
            return None, _DEFAULT_RETRY_AFTER_MS
        return self._make_local_charge(account, reserved_tokens), 0

    async def _admit_delegated(
        self, request: prepaid.RemoteCharge
    ) -> tuple[Charge | None, int]:
        """Reserves a delegated charge; see `_lend`.

        A router that starts, shuts down or is no hub refuses without a time, so
        that another hub is asked.
        """
        if not self._manager.is_lending:
            return None, 0
        prepaid_tokens = self._list_prepaid_tokens().get(request.account, 0)
        try:
            async with asyncio.timeout(_DELEGATED_ADMISSION_S):
                admitted = await self._admit_at_hub(
                    _ChargeRequest(
                        request.charge_id,
                        request.account,
                        prepaid_tokens,
                        request.tokens,
                        max(
                            0, request.expires_in_ms - _CHARGE_EXPIRY_MARGIN_MS
                        ),
                        # The sender knows if its own configuration is fresh.
                        is_fresh=False,
                    )
                )
        except TimeoutError:
            return None, _DEFAULT_RETRY_AFTER_MS
        match admitted:
            case Charge():
                return admitted, 0
            case outcomes.NotRun(retry_after_ms=retry_after_ms):
                return None, retry_after_ms or _DEFAULT_RETRY_AFTER_MS

    def _refuse_at_hub(
        self, request: _ChargeRequest, remaining_tokens: int
    ) -> outcomes.NotRun:
        """Returns the refusal of a hub; see `_refuse`."""
        return self._refuse(
            request, remaining_tokens, self._find_retry_after_ms(request)
        )

    def _refuse(
        self,
        request: _ChargeRequest,
        remaining_tokens: int,
        retry_after_ms: int | None,
    ) -> outcomes.NotRun:
        """Returns the refusal of a request that cannot be charged.

        Args:
          request: The request.
          remaining_tokens: An upper bound of the tokens that the account has
            left.
          retry_after_ms: After how long the caller may retry; None if no such
            time is known.
        """
        account, tokens = request.account, request.tokens
        is_spent = tokens > remaining_tokens and request.is_fresh
        grant = self._manager.find_grant(account)
        decision_log.log_failure(
            "charge_refused",
            request_id=request.request_id,
            account=account,
            tokens=tokens,
            is_spent=is_spent,
            granted_tokens=grant.granted_tokens,
            committed_tokens=grant.committed_tokens,
            available_tokens=grant.find_available(self._read_clock_ms()),
            remaining_tokens=remaining_tokens,
            prepaid_tokens=request.prepaid_tokens,
            unsure_tokens=self._manager.balances.sum_unsure(account),
            exposed_tokens=self._manager.find_exposed(account),
            is_connected=self._manager.is_connected,
        )
        if is_spent:
            return outcomes.NotRun(
                402,
                "budget_spent",
                f"The account has fewer than {tokens} tokens left.",
            )
        return outcomes.NotRun(
            503,
            "budget_out_of_reach",
            "The tokens of the account cannot be reserved at the moment.",
            retry_after_ms,
        )

    def _find_retry_after_ms(self, request: _ChargeRequest) -> int | None:
        """Returns after how many ms a refused caller may retry.

        Returns None if no time is known after which the account's tokens cover
        the request.
        """
        account, tokens = request.account, request.tokens
        if request.is_fresh and self._manager.is_out_of_tokens(account, tokens):
            return None
        wait_ms = self._manager.find_wait_ms(account, tokens)
        if wait_ms is None:
            return _DEFAULT_RETRY_AFTER_MS
        return wait_ms + _CEILING_WAIT_MARGIN_MS

    async def _reserve_across_routers(
        self, request: _ChargeRequest, own_tokens: int
    ) -> Charge | None:
        """Borrows the tokens that this router lacks from other routers.

        Args:
          request: The request.
          own_tokens: The tokens that are already reserved at this router.

        Returns:
          The charge, or None if the other routers did not lend enough; all
          reservations are then released.
        """
        parts = []
        if own_tokens:
            parts.append(ChargePart(self._manager.own_host, "", own_tokens))
        lacking_tokens = request.tokens - own_tokens
        is_complete = False
        try:
            for host in self._list_lenders(request.account):
                if lacking_tokens <= 0:
                    break
                # Another request may have found out meanwhile.
                if not self._reachability.may_ask(host):
                    continue
                part, _ = await self._borrow(
                    host, request.account, lacking_tokens, request.patience_ms
                )
                if part is not None:
                    parts.append(part)
                    lacking_tokens -= part.tokens
            is_complete = lacking_tokens <= 0
        finally:
            charge = Charge(request.account, tuple(parts))
            if not is_complete:
                self.settle(charge, 0)
        return charge if is_complete else None

    async def _borrow(
        self,
        host: str,
        account: str,
        tokens: int,
        patience_ms: int,
        is_delegated: bool = False,
    ) -> tuple[ChargePart | None, prepaid.RemoteChargeReply | None]:
        """Borrows tokens from another router.

        Returns:
          The reservation, None if the router lends none; and its reply, None
          if there was none.
        """
        charge_id = f"{self._charge_id_prefix}.{next(self._charge_numbers)}"
        request = prepaid.RemoteCharge(
            charge_id,
            account,
            tokens,
            patience_ms + _CHARGE_EXPIRY_MARGIN_MS,
            is_delegated,
            is_connected=self._manager.is_connected,
        )
        requested_part = ChargePart(host, charge_id, tokens)
        timeout_ms = (
            _DELEGATION_TIMEOUT_MS if is_delegated else _BORROW_TIMEOUT_MS
        )
        try:
            with self._reachability.track_call(host):
                reply = await self._network.call(host, request, timeout_ms)
        except asyncio.CancelledError:
            self._send_settlement(account, requested_part, 0)
            raise
        if not isinstance(reply, prepaid.RemoteChargeReply):
            # The lender may have reserved the tokens and its reply got lost.
            self._reachability.record_silence(host)
            self._send_settlement(account, requested_part, 0)
            return None, None
        self._reachability.record_reply(host)
        self._manager.balances.record_peer_spent(
            account, host, reply.spent_tokens
        )
        if is_delegated:
            self._fleet_spent_tokens[account] = max(
                self._fleet_spent_tokens.get(account, 0),
                reply.fleet_spent_tokens,
            )
        if reply.reserved_tokens <= 0:
            return None, reply
        part = attrs.evolve(requested_part, tokens=reply.reserved_tokens)
        return part, reply

    def _list_lenders(self, account: str) -> list[str]:
        """Returns the hosts to borrow from, those of this router's zone first.

        In a zone, those with the most unspent tokens come first. Other zones
        are slower to reach, and a cut may separate them.

        Routers without unspent tokens are left out while the log is reachable:
        what they could add to their grants, this router can add to its own.
        Routers that did not reply are left out as well, see
        `lender_reachability`.
        """
        unspent_tokens = {
            row.host: row.granted_tokens - row.spent_tokens
            for row in self._manager.fold.list_rows(account)
        }
        hosts = [
            stamp.host
            for stamp in self._manager.fold.list_active_stamps()
            if stamp.host != self._manager.own_host
            and (
                unspent_tokens.get(stamp.host, 0) > 0
                or not self._manager.is_connected
            )
        ]
        view = self._find_hubs()
        return sorted(
            hosts,
            key=lambda host: (
                view.zones.get(host) != view.own_zone,
                -unspent_tokens.get(host, 0),
            ),
        )

    def _send_settlement(
        self, account: str, part: ChargePart, spent_tokens: int
    ) -> None:
        """Settles a reservation at another router in the background."""
        self._settlements.send(
            part.host,
            prepaid.RemoteSettlement(part.charge_id, account, spent_tokens),
            part.tokens,
        )


def _count_tokens(charge: Charge | None) -> int:
    """Returns the tokens of all reservations of a charge, 0 for None."""
    if charge is None:
        return 0
    return sum(part.tokens for part in charge.parts)
