"""The dependencies that all request handlers of a router share."""

from collections.abc import Callable
from typing import Protocol

import attrs

from redwingchute.connection import http_client
from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process import telemetry
from redwingchute.request import dispatcher as dispatcher_lib
from redwingchute.request import pool_requests
from redwingchute.request import upstream_exchange
from redwingchute.request import upstream_slot


class RequestLedger(Protocol):
    """What request handlers use of the ledger; `LedgerClient` implements it."""

    async def admit(
        self, request: spending.ChargeRequest, deadline_ms: int
    ) -> spending.Admission:
        """Reserves the upper bound of the cost of a request.

        Args:
          request: The request for the charge.
          deadline_ms: The time until which it waits for tokens of its budget.
        """

    async def settle(
        self, charge: spending.Charge, tokens: int
    ) -> spending.Settlement:
        """Bills a request.

        The end of its response may be sent only after `Settled` is returned.

        Args:
          charge: The charge of the request.
          tokens: The actual cost.
        """

    def cancel(self, charge: spending.Charge) -> None:
        """Releases a charge without billing it."""

    async def claim(self, charge: spending.Charge) -> spending.ClaimResult:
        """Claims the single run of a call before its first byte is sent."""

    async def record_outcome(
        self,
        charge: spending.Charge,
        status: data.OutcomeStatus,
        tokens: int,
        answer: bytes,
    ) -> spending.Settlement:
        """Records the outcome of a claimed call and bills it.

        Args:
          charge: The charge of the call.
          status: The outcome.
          tokens: The actual cost.
          answer: The encoded response, which a repeat of the call gets.
        """


@attrs.frozen
class RequestContext:
    """The dependencies that all request handlers of a router share.

    Attributes:
      ledger: Reserves and settles tokens.
      connections: The connection pool for upstreams.
      dispatcher: Decides when requests start, and on which upstream.
      metrics: The metrics of the process.
      read_clock_ms: Returns the time in milliseconds since the epoch.
      make_random_bytes: Returns the given number of random bytes.
    """

    ledger: RequestLedger
    connections: http_client.ClientPool
    dispatcher: dispatcher_lib.Dispatcher
    metrics: telemetry.Metrics
    read_clock_ms: Callable[[], int]
    make_random_bytes: Callable[[int], bytes]

    async def record_failure(
        self,
        pool_request: pool_requests.PoolRequest,
        slot: upstream_slot.Slot,
        failed: upstream_exchange.AttemptFailed,
    ) -> None:
        """Counts a failed attempt and reports it to the dispatcher."""
        self.metrics.attempt_failures.add(1, {"cause": failed.kind.value})
        await self.dispatcher.record_failure(
            pool_request, slot, failed.kind, failed.attempt_id
        )


@attrs.frozen
class Caller:
    """The authenticated caller of one request.

    Attributes:
      account: The client account of the caller.
      configuration_in_force: The configuration in force on arrival.
      arrived_ms: The time at which the request arrived.
    """

    account: configuration.ClientAccount
    configuration_in_force: configuration.Configuration
    arrived_ms: int
