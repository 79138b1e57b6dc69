"""The tokens that a router has lent, until their borrowers settle them.

A charge that is not settled in time counts as spent, but as not known to be
spent: its borrower may have ended, or may be cut off and settle it later.
"""

import asyncio
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import attrs

# The ids of this many ended charges are kept, so that a delayed message does
# not reserve tokens for one of them again.
_MAX_ENDED_CHARGES = 4_096
# The most expired charges that can still be settled; the oldest are dropped.
_MAX_EXPIRED_CHARGES = 4_096

_ChargeT = TypeVar("_ChargeT")


@attrs.define
class _LentCharge(Generic[_ChargeT]):
    """Tokens that are reserved here for another router's request.

    Attributes:
      charge: The reservations.
      timer: Ends the charge when it expires.
    """

    charge: _ChargeT
    timer: asyncio.TimerHandle


class LentCharges(Generic[_ChargeT]):
    """The charges of other routers' requests by id."""

    def __init__(self, handle_expired: Callable[[_ChargeT], None]) -> None:
        """Starts without charges.

        Args:
          handle_expired: Called with each charge that was not settled in time.
        """
        self._handle_expired = handle_expired
        self._open: dict[str, _LentCharge[_ChargeT]] = {}
        self._expired: dict[str, _ChargeT] = {}
        # A set in order of insertion, so that the oldest ids can be removed.
        self._ended_ids: dict[str, None] = {}

    @property
    def open_count(self) -> int:
        """The number of charges that tokens are reserved for."""
        return len(self._open)

    def is_open(self, charge_id: str) -> bool:
        """Returns whether tokens are reserved for a charge."""
        return charge_id in self._open

    def has_ended(self, charge_id: str) -> bool:
        """Returns whether a charge was settled or has expired."""
        return charge_id in self._ended_ids

    def add(self, charge_id: str, charge: _ChargeT, expires_in_ms: int) -> None:
        """Adds a charge.

        Args:
          charge_id: Identifies the charge across the fleet.
          charge: The reservations.
          expires_in_ms: The time after which it expires.
        """
        timer = asyncio.get_running_loop().call_later(
            expires_in_ms / 1000, self._expire, charge_id
        )
        self._open[charge_id] = _LentCharge(charge, timer)

    def pop_open(self, charge_id: str) -> _ChargeT | None:
        """Ends a charge; returns it if it was open."""
        self._record_ended(charge_id)
        lent_charge = self._open.pop(charge_id, None)
        if lent_charge is None:
            return None
        lent_charge.timer.cancel()
        return lent_charge.charge

    def pop_expired(self, charge_id: str) -> _ChargeT | None:
        """Returns a charge that has expired and was not settled since."""
        return self._expired.pop(charge_id, None)

    def _expire(self, charge_id: str) -> None:
        """Ends a charge that was not settled in time."""
        self._record_ended(charge_id)
        charge = self._open.pop(charge_id).charge
        self._expired[charge_id] = charge
        while len(self._expired) > _MAX_EXPIRED_CHARGES:
            del self._expired[next(iter(self._expired))]
        self._handle_expired(charge)

    def _record_ended(self, charge_id: str) -> None:
        """Remembers the id of a charge that has ended."""
        self._ended_ids[charge_id] = None
        while len(self._ended_ids) > _MAX_ENDED_CHARGES:
            del self._ended_ids[next(iter(self._ended_ids))]
