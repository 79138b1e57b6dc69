"""What every request handler works with, made once for the process."""

from collections.abc import Callable
from typing import Protocol

import attrs

from redwingchute.connection import http_client
from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.process import telemetry
from redwingchute.request import dispatcher as dispatcher_lib
from redwingchute.request import exchange
from redwingchute.request import slot as slot_lib
from redwingchute.request import work as work_lib


class RequestLedger(Protocol):
    """What requests need of the ledger; `LedgerClient` provides it."""

    async def admit(
        self, request: spending.ChargeRequest, deadline_ms: int
    ) -> spending.Admission:
        """Reserves a request's upper bound."""

    async def settle(
        self, charge: spending.Charge, tokens: int
    ) -> spending.Settlement:
        """Bills a request; its answer may end after this."""

    def cancel(self, charge: spending.Charge) -> None:
        """Ends a charge of which nothing was used."""

    async def claim(self, charge: spending.Charge) -> spending.ClaimResult:
        """Claims the single run of a call before its first byte."""

    async def record_outcome(
        self,
        charge: spending.Charge,
        status: data.OutcomeStatus,
        tokens: int,
        answer: bytes,
    ) -> spending.Settlement:
        """Records and bills the result of a claimed call."""


@attrs.frozen
class RequestContext:
    """The parts of the process that requests use.

    Attributes:
      ledger: Reserves and settles tokens.
      pool: Connections to upstreams.
      dispatcher: Decides when requests start, and where.
      metrics: Counters.
      read_clock_ms: Returns the time.
      make_id: Returns fresh random bytes of the given number.
    """

    ledger: RequestLedger
    pool: http_client.ClientPool
    dispatcher: dispatcher_lib.Dispatcher
    metrics: telemetry.Metrics
    read_clock_ms: Callable[[], int]
    make_id: Callable[[int], bytes]

    async def note_failure(
        self,
        work: work_lib.Work,
        slot: slot_lib.Slot,
        failed: exchange.AttemptFailed,
    ) -> None:
        """Counts a failed attempt and tells the dispatcher."""
        self.metrics.attempt_failures.add(1, {"cause": failed.kind.value})
        await self.dispatcher.note_failure(
            work, slot, failed.kind, failed.attempt_id
        )


@attrs.frozen
class Caller:
    """Who sent a request, under which configuration.

    Attributes:
      account: The client account.
      current: The configuration in force when the request arrived.
      arrived_ms: When it arrived.
    """

    account: configuration.ClientAccount
    current: configuration.Configuration
    arrived_ms: int
