"""The metrics of forwarded requests."""

from collections.abc import Callable

import attrs


@attrs.frozen
class RequestMetrics:
    """Callbacks that record the metrics of requests.

    Attributes:
      record_outcome: Records the outcome and duration in ms of a request.
      record_grant_wait: Records whether a request got its tokens, and how long
        in ms it waited for them.
      record_first_event: Records the time to the first event of a stream in ms.
      record_event_gap: Records the time between two chunks of a stream in ms.
    """

    record_outcome: Callable[[str, int], None]
    record_grant_wait: Callable[[bool, int], None]
    record_first_event: Callable[[int], None]
    record_event_gap: Callable[[int], None]
