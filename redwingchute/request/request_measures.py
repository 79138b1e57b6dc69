"""Where a request's times and outcome are counted."""

from collections.abc import Callable

import attrs


@attrs.frozen
class RequestMeasures:
    """Takes what is measured of requests.

    Attributes:
      note_outcome: Counts an ended request by its outcome and time in ms.
      note_grant_wait: Takes how long a request waited for its tokens, in ms,
        and whether it got them.
      note_first_event: Takes the time to the first event of a stream, in ms.
      note_event_gap: Takes the time between two parts of a stream, in ms.
    """

    note_outcome: Callable[[str, int], None]
    note_grant_wait: Callable[[bool, int], None]
    note_first_event: Callable[[int], None]
    note_event_gap: Callable[[int], None]
