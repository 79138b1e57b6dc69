"""The refusals of quarantined requests and of requests for removed pools."""

from redwingchute.core import outcomes
from redwingchute.request import quarantine


def refuse_quarantined(
    entry: quarantine.QuarantineEntry, now_ms: int
) -> outcomes.NotRun:
    """Returns the refusal of a quarantined request."""
    return outcomes.NotRun(
        422,
        "quarantined",
        "Upstreams crashed while running this request; it is not run again "
        "until its quarantine expires or an operator lifts it.",
        max(1, entry.until_ms - now_ms),
    )


def refuse_unknown_pool() -> outcomes.NotRun:
    """Returns the refusal of a request whose pool was removed."""
    return outcomes.NotRun(
        503, "pool_removed", "The pool was removed from the configuration."
    )
