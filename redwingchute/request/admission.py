"""Decides on arrival whether a request can complete before its deadline.

The wait is forecast by assigning the requests ahead in the queue to the slots
of the pool, each to the slot that is free first. A request that would miss its
deadline is refused immediately. Its retry-after is the earliest time at which a
retry by the caller can succeed: when the backlog has shrunk enough, or when the
caller's patience or the pool's capacity changes.
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

# Retry-after while a pool is down and it is not known when an upstream returns.
_DEFAULT_RETRY_AFTER_MS = 5_000


@attrs.frozen
class PoolView:
    """The state of a pool that admission decides by.

    Attributes:
      loads: The upstreams that may take work now.
      next_available_ms: When the next unavailable upstream may return, or None.
      wait_share: The factor that the forecast wait is multiplied by. A router
        that shares its upstreams also gets slots that the requests of other
        routers free, which the forecast does not include. A request that was
        admitted by this factor is refused as soon as it becomes late.
    """

    loads: Sequence[load_model.UpstreamLoad]
    next_available_ms: int | None
    wait_share: float = 1.0


@attrs.frozen
class Forecast:
    """When a request is expected to run.

    Attributes:
      start_ms: When it gets a slot, in milliseconds since the epoch.
      completion_ms: When its response is complete, on the same clock.
      duration_ms: How long it occupies the slot.
    """

    start_ms: float
    completion_ms: float
    duration_ms: float


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The request can complete before its deadline."""

    forecast: Forecast


@dataclasses.dataclass(frozen=True)
class Refused:
    """The request cannot complete before its deadline and was not run."""

    refusal: outcomes.NotRun


AdmissionResult: TypeAlias = Admitted | Refused


def forecast_request(
    ticket: requesting.Ticket,
    ahead: Iterable[requesting.Ticket],
    loads: Sequence[load_model.UpstreamLoad],
    now_ms: int,
) -> Forecast | None:
    """Assigns the requests ahead to slots, then the best slot to this one.

    Args:
      ticket: The request.
      ahead: The waiting requests that start before it, in order.
      loads: The upstreams that may take work.
      now_ms: The current time.

    Returns:
      The forecast, or None if there is no slot.
    """
    slots = [
        (free_ms, load_index)
        for load_index, load in enumerate(loads)
        for free_ms in load.list_slot_available_ms(now_ms)
    ]
    heapq.heapify(slots)
    if not slots:
        return None
    for waiting in ahead:
        free_ms, load_index = slots[0]
        end_ms = free_ms + loads[load_index].estimate_duration_ms(waiting)
        heapq.heapreplace(slots, (end_ms, load_index))
    durations_ms = [load.estimate_duration_ms(ticket) for load in loads]
    completion_ms, start_ms, load_index = min(
        (free_ms + durations_ms[load_index], free_ms, load_index)
        for free_ms, load_index in slots
    )
    return Forecast(start_ms, completion_ms, durations_ms[load_index])


def decide_admission(
    ticket: requesting.Ticket,
    ahead: Iterable[requesting.Ticket],
    pool: PoolView,
    patience_change: patience.PatienceChange | None,
    now_ms: int,
) -> AdmissionResult:
    """Admits a request or refuses it immediately.

    Args:
      ticket: The request.
      ahead: The waiting requests that start before it, in order.
      pool: The pool that would run it.
      patience_change: The next change of the caller's patience, or None.
      now_ms: The current time.

    Returns:
      The forecast, or the refusal with its retry-after.
    """
    forecast = forecast_request(ticket, ahead, pool.loads, now_ms)
    if forecast is None:
        return Refused(refuse_pool_down(pool.next_available_ms, now_ms))
    forecast = _scale_wait(forecast, pool.wait_share, now_ms)
    if forecast.completion_ms <= ticket.deadline_ms:
        return Admitted(forecast)
    retry_after_ms = _find_retry_after_ms(
        ticket, forecast, pool, patience_change, now_ms
    )
    return Refused(refuse_too_late(retry_after_ms))


def _scale_wait(forecast: Forecast, wait_share: float, now_ms: int) -> Forecast:
    """Returns a forecast whose wait is multiplied by a factor."""
    wait_ms = (forecast.start_ms - now_ms) * wait_share
    return Forecast(
        now_ms + wait_ms,
        now_ms + wait_ms + forecast.duration_ms,
        forecast.duration_ms,
    )


def refuse_pool_down(
    next_available_ms: int | None, now_ms: int
) -> outcomes.NotRun:
    """Returns the refusal while no upstream of a pool accepts work.

    Args:
      next_available_ms: When the next unavailable upstream may return, or None.
      now_ms: The current time.
    """
    if next_available_ms is None:
        retry_after_ms = _DEFAULT_RETRY_AFTER_MS
    else:
        retry_after_ms = clamp_retry_after_ms(next_available_ms - now_ms)
    return outcomes.NotRun(
        503,
        "pool_down",
        "No upstream of the pool accepts work now.",
        retry_after_ms,
    )


def refuse_too_late(retry_after_ms: int | None) -> outcomes.NotRun:
    """Returns the refusal of a request that would miss its deadline."""
    return outcomes.NotRun(
        503,
        "deadline_unreachable",
        "The response cannot complete within the account's patience.",
        retry_after_ms,
    )


def refuse_queue_full(
    forecast_start_ms: float | None, now_ms: int
) -> outcomes.NotRun:
    """Returns the refusal of a request that does not fit into the queue.

    Args:
      forecast_start_ms: When the request would get a slot, which is when its
        caller may retry. None if it is unknown.
      now_ms: The current time.
    """
    wait_ms = clamp_retry_after_ms((forecast_start_ms or 0.0) - now_ms)
    return outcomes.NotRun(
        503, "queue_full", "Too many requests wait for the pool.", wait_ms
    )


def clamp_retry_after_ms(wait_ms: float) -> int:
    """Returns a wait as a retry-after: rounded up, with a minimum."""
    return max(_MIN_RETRY_AFTER_MS, math.ceil(wait_ms))


def _find_retry_after_ms(
    ticket: requesting.Ticket,
    forecast: Forecast,
    pool: PoolView,
    change: patience.PatienceChange | None,
    now_ms: int,
) -> int | None:
    """Returns the shortest wait after which a retry may be admitted.

    Returns None if no retry is expected to be admitted.
    """
    waits_ms: list[int] = []
    patience_ms = ticket.deadline_ms - ticket.arrived_at_ms
    if forecast.duration_ms <= patience_ms:
        # A retry is in time once the backlog has shrunk by the lateness.
        late_ms = forecast.completion_ms - ticket.deadline_ms
        waits_ms.append(math.ceil(late_ms))
    if pool.next_available_ms is not None and pool.next_available_ms > now_ms:
        waits_ms.append(pool.next_available_ms - now_ms)
    if change is not None:
        # `Patience.deadline_ms` is a duration, `Ticket.deadline_ms` a time.
        is_longer = change.patience.deadline_ms > patience_ms
        fits = forecast.duration_ms <= change.patience.deadline_ms
        if is_longer and fits:
            waits_ms.append(change.at_ms - now_ms)
    if not waits_ms:
        return None
    return clamp_retry_after_ms(min(waits_ms))
