"""The metrics of forwarded requests."""

from collections.abc import Callable

import attrs


@attrs.frozen
class RequestMeasures:
    """Callbacks that record the metrics of requests.

    Attributes:
      note_outcome: Records the outcome and duration in ms of a request.
      note_grant_wait: Records whether a request got its tokens, and how long
        in ms it waited for them.
      note_first_event: Records the time to the first event of a stream in ms.
      note_event_gap: Records the time between two chunks of a stream in ms.
    """

    note_outcome: Callable[[str, int], None]
    note_grant_wait: Callable[[bool, int], None]
    note_first_event: Callable[[int], None]
    note_event_gap: Callable[[int], None]
