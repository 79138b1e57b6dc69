"""Decides at arrival whether a request can be done in time.

The wait is found by placing the requests that would go first on the slots of
the pool, each on the slot that is free soonest. A request that would end past
its deadline is refused at once, with the time at which coming back can help:
when enough of the backlog is gone, or when the caller's patience or the
pool's capacity changes.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import heapq
import math
from typing import TypeAlias

import attrs

from redwingchute.core import outcomes
from redwingchute.core import requesting
from redwingchute.request import load_model
from redwingchute.request import patience

_MIN_RETRY_AFTER_MS = 250

# When the cause of an outage is not known to end at some time.
_UNKNOWN_RETURN_MS = 5_000


@attrs.frozen
class PoolView:
    """What admission needs to know of a pool.

    Attributes:
      loads: The upstreams that may take work now.
      next_return_ms: When an upstream that is out may come back, or None.
      wait_share: The share of the forecast wait that is counted. A router
        that shares its upstreams also gets slots that others free, which the
        forecast cannot see; a request admitted for that is given up as soon
        as it is late.
    """

    loads: Sequence[load_model.UpstreamLoad]
    next_return_ms: int | None
    wait_share: float = 1.0


@attrs.frozen
class Forecast:
    """When a request would run.

    Attributes:
      start_ms: When it would get a slot.
      completion_ms: When its answer would end.
      duration_ms: Its time on a slot.
    """

    start_ms: float
    completion_ms: float
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request can be done in time."""

    forecast: Forecast


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request cannot be done in time; it was not run."""

    refusal: outcomes.NotRun


AdmissionResult: TypeAlias = Admitted | Refused


def forecast_request(
    ticket: requesting.Ticket,
    ahead: Iterable[requesting.Ticket],
    loads: Sequence[load_model.UpstreamLoad],
    now_ms: int,
) -> Forecast | None:
    """Places the requests ahead, then finds the best slot for this one.

    Args:
      ticket: The request.
      ahead: The waiting requests that would start first, in order.
      loads: The upstreams that may take work.
      now_ms: The current time.

    Returns:
      The forecast, or None when there is no slot at all.
    """
    slots = [
        (free_ms, number)
        for number, load in enumerate(loads)
        for free_ms in load.list_slot_times(now_ms)
    ]
    heapq.heapify(slots)
    if not slots:
        return None
    for waiting in ahead:
        free_ms, number = slots[0]
        end_ms = free_ms + loads[number].estimate_duration_ms(waiting)
        heapq.heapreplace(slots, (end_ms, number))
    durations = [load.estimate_duration_ms(ticket) for load in loads]
    completion_ms, start_ms, number = min(
        (free_ms + durations[number], free_ms, number)
        for free_ms, number in slots
    )
    return Forecast(start_ms, completion_ms, durations[number])


def decide_admission(
    ticket: requesting.Ticket,
    ahead: Iterable[requesting.Ticket],
    pool: PoolView,
    patience_change: patience.PatienceChange | None,
    now_ms: int,
) -> AdmissionResult:
    """Admits a request or refuses it at once.

    Args:
      ticket: The request.
      ahead: The waiting requests that would start first, in order.
      pool: The pool that would run it.
      patience_change: When the caller's patience changes next.
      now_ms: The current time.

    Returns:
      The forecast, or the refusal with the time to come back.
    """
    forecast = forecast_request(ticket, ahead, pool.loads, now_ms)
    if forecast is None:
        return Refused(refuse_pool_down(pool.next_return_ms, now_ms))
    forecast = _shorten_wait(forecast, pool.wait_share, now_ms)
    if forecast.completion_ms <= ticket.deadline_ms:
        return Admitted(forecast)
    retry_after_ms = _find_retry_after_ms(
        ticket, forecast, pool, patience_change, now_ms
    )
    return Refused(refuse_too_late(retry_after_ms))


def _shorten_wait(
    forecast: Forecast, wait_share: float, now_ms: int
) -> Forecast:
    """Returns a forecast of which only a share of the wait counts."""
    wait_ms = (forecast.start_ms - now_ms) * wait_share
    return Forecast(
        now_ms + wait_ms,
        now_ms + wait_ms + forecast.duration_ms,
        forecast.duration_ms,
    )


def refuse_pool_down(
    next_return_ms: int | None, now_ms: int
) -> outcomes.NotRun:
    """Returns the refusal while no upstream of a pool takes work."""
    if next_return_ms is None:
        retry_after_ms = _UNKNOWN_RETURN_MS
    else:
        retry_after_ms = bound_wait_ms(next_return_ms - now_ms)
    return outcomes.NotRun(
        503,
        "pool_down",
        "No upstream of the pool takes work now.",
        retry_after_ms,
    )


def refuse_too_late(retry_after_ms: int | None) -> outcomes.NotRun:
    """Returns the refusal of a request that cannot be done in time."""
    return outcomes.NotRun(
        503,
        "deadline_unreachable",
        "The answer cannot be ready within the time that the account allows.",
        retry_after_ms,
    )


def refuse_queue_full(
    forecast_start_ms: float | None, now_ms: int
) -> outcomes.NotRun:
    """Returns the refusal of a request for which the queue has no place."""
    wait_ms = bound_wait_ms((forecast_start_ms or 0.0) - now_ms)
    return outcomes.NotRun(
        503, "queue_full", "Too many requests wait for the pool.", wait_ms
    )


def bound_wait_ms(wait_ms: float) -> int:
    """Returns a wait that is never shorter than the least useful one."""
    return max(_MIN_RETRY_AFTER_MS, math.ceil(wait_ms))


def _find_retry_after_ms(
    ticket: requesting.Ticket,
    forecast: Forecast,
    pool: PoolView,
    change: patience.PatienceChange | None,
    now_ms: int,
) -> int | None:
    """Returns the soonest time at which coming back can help."""
    waits: list[int] = []
    patience_ms = ticket.deadline_ms - ticket.arrived_at_ms
    if forecast.duration_ms <= patience_ms:
        # It would fit after as much of the backlog is gone as it is late by.
        late_ms = forecast.completion_ms - ticket.deadline_ms
        waits.append(math.ceil(late_ms))
    if pool.next_return_ms is not None and pool.next_return_ms > now_ms:
        waits.append(pool.next_return_ms - now_ms)
    if change is not None:
        is_longer = change.patience.deadline_ms > patience_ms
        fits = forecast.duration_ms <= change.patience.deadline_ms
        if is_longer and fits:
            waits.append(change.at_ms - now_ms)
    if not waits:
        return None
    return bound_wait_ms(min(waits))
