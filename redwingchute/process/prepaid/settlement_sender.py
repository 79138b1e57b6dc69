"""Sends settlements of borrowed tokens until their lenders confirm them.

A lender holds borrowed tokens until they are settled. Settlements of a lender
that does not reply wait in a backlog, of which one at a time is tried again, so
that a zone that is cut off causes few calls and loses no tokens.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import Any
from typing import Protocol

import attrs

from redwingchute.core import prepaid
from redwingchute.process import background_tasks
from redwingchute.process import decision_log
from redwingchute.process import peer_network

# How long a lender's confirmation may take, including the time to connect.
_SETTLE_TIMEOUT_MS = 1_000
# The pause before a lender that did not confirm is tried again; it doubles up
# to the longest one. A short pause bridges a link that was reset.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 2.0
# Cuts between zones last minutes at most; a lender that is gone for longer has
# probably started again, and knows nothing of the charge.
_MAX_SETTLEMENT_AGE_MS = 300_000
# The most settlements that wait for one lender; further ones replace the
# oldest.
_MAX_BACKLOG = 1_024


class Network(Protocol):
    """The links to other routers."""

    async def call(
        self, host_name: str, record: Any, timeout_ms: int
    ) -> Any | peer_network.PeerUnreachable:
        """Sends a message to a router and waits for its reply."""


@attrs.frozen
class _Waiting:
    """A settlement that its lender has not confirmed.

    Attributes:
      settlement: The settlement.
      lent_tokens: The tokens of the charge.
      since_ms: When it was sent first.
    """

    settlement: prepaid.RemoteSettlement
    lent_tokens: int
    since_ms: int


class SettlementSender:
    """Sends settlements, and repeats those that are not confirmed."""

    def __init__(
        self,
        network: Network,
        tasks: background_tasks.BackgroundTasks,
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates the sender of one router.

        Args:
          network: The links to other routers.
          tasks: Runs what is sent.
          read_clock_ms: Returns the time on the boot clock.
        """
        self._network = network
        self._tasks = tasks
        self._read_clock_ms = read_clock_ms
        # The settlements of lenders that did not confirm, the oldest first.
        # There is a task for each of these lenders.
        self._backlogs: dict[str, collections.deque[_Waiting]] = {}

    def send(
        self, lender: str, settlement: prepaid.RemoteSettlement, tokens: int
    ) -> None:
        """Sends a settlement in the background until it is confirmed.

        Args:
          lender: The host that lent the tokens.
          settlement: The settlement.
          tokens: The tokens that it lent or was asked for.
        """
        waiting = _Waiting(settlement, tokens, self._read_clock_ms())
        if lender in self._backlogs:
            self._add_to_backlog(lender, waiting)
        else:
            self._tasks.spawn(self._send_first(lender, waiting))

    async def _send_first(self, lender: str, waiting: _Waiting) -> None:
        """Sends a settlement once; it joins the backlog if that fails."""
        if not await self._is_confirmed(lender, waiting):
            self._add_to_backlog(lender, waiting)

    def _add_to_backlog(self, lender: str, waiting: _Waiting) -> None:
        """Adds a settlement to the backlog of a lender."""
        backlog = self._backlogs.get(lender)
        if backlog is None:
            backlog = self._backlogs[lender] = collections.deque()
            self._tasks.spawn(self._drain(lender, backlog))
        backlog.append(waiting)
        if len(backlog) > _MAX_BACKLOG:
            _log_given_up(lender, backlog.popleft())

    async def _drain(
        self, lender: str, backlog: collections.deque[_Waiting]
    ) -> None:
        """Sends the backlog of a lender, one settlement after the other."""
        retry_s = _MIN_RETRY_S
        while backlog:
            waiting = backlog.popleft()
            age_ms = self._read_clock_ms() - waiting.since_ms
            if age_ms > _MAX_SETTLEMENT_AGE_MS:
                _log_given_up(lender, waiting)
            elif await self._is_confirmed(lender, waiting):
                retry_s = _MIN_RETRY_S
            else:
                backlog.appendleft(waiting)
                await asyncio.sleep(retry_s)
                retry_s = min(2 * retry_s, _MAX_RETRY_S)
        del self._backlogs[lender]

    async def _is_confirmed(self, lender: str, waiting: _Waiting) -> bool:
        """Sends a settlement once; returns whether the lender confirmed it."""
        reply = await self._network.call(
            lender, waiting.settlement, _SETTLE_TIMEOUT_MS
        )
        return isinstance(reply, prepaid.RemoteSettlementReply)


def _log_given_up(lender: str, waiting: _Waiting) -> None:
    """Logs a settlement that will not be sent any more."""
    decision_log.log_event(
        "settlement_given_up",
        account=waiting.settlement.account,
        lender=lender,
        tokens=waiting.lent_tokens,
        spent_tokens=waiting.settlement.spent_tokens,
    )
