"""Reads the kind of work that a caller names with `X-Work-Kind`."""

from redwingchute.core import configuration
from redwingchute.core import outcomes

_HEADER = "x-work-kind"


def read_work_kind(
    headers: dict[str, str],
) -> configuration.WorkKind | outcomes.NotRun:
    """Returns the named kind, interactive without the header, or a refusal."""
    name = headers.get(_HEADER, configuration.WorkKind.INTERACTIVE.value)
    try:
        return configuration.WorkKind(name)
    except ValueError:
        allowed = ", ".join(kind.value for kind in configuration.WorkKind)
        return outcomes.NotRun(
            400, "bad_work_kind", f"X-Work-Kind must be one of {allowed}."
        )
