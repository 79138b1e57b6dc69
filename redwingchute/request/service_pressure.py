"""Measures how much work waits for a service, and how much room it has.

The figures cover the whole fleet: every router knows the open requests of all
from their load notices.
"""

import attrs


@attrs.frozen
class ServicePressure:
    """The room of a service at the upstream that a request would go to.

    Attributes:
      delay_ms: The estimated time until that upstream begins the request: the
        prefill of earlier requests, or the wait for a slot.
      taken_share: The open requests there relative to those that it bears; 0
        if it is not known how many that is.
      idle_share: The part of `taken_share` up to which no request waits there.
      age_ms: The age of the newest figures of other routers; None without any.
    """

    delay_ms: float
    taken_share: float = 0.0
    idle_share: float = 0.0
    age_ms: int | None = None


def measure_plain(
    wait_ms: float,
    open_requests: float,
    slots: int,
    max_open: float | None,
    age_ms: int | None,
) -> ServicePressure:
    """Returns the pressure at an upstream of a plain service.

    Args:
      wait_ms: The estimated wait for a slot.
      open_requests: The open requests of all routers there.
      slots: Its slots.
      max_open: How many open requests it bears; None if that is not known.
      age_ms: The age of the newest figures of other routers; None without any.
    """
    if max_open is None:
        return ServicePressure(wait_ms, age_ms=age_ms)
    return ServicePressure(
        wait_ms, open_requests / max_open, slots / max_open, age_ms
    )
