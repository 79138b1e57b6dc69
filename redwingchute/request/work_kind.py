"""Reads the kind of work of a request from the `X-Work-Kind` header."""

from redwingchute.core import configuration
from redwingchute.core import outcomes

_HEADER = "x-work-kind"


def read_work_kind(
    headers: dict[str, str],
) -> configuration.WorkKind | outcomes.NotRun:
    """Returns the kind of work, interactive by default, or a refusal."""
    name = headers.get(_HEADER, configuration.WorkKind.INTERACTIVE.value)
    try:
        return configuration.WorkKind(name)
    except ValueError:
        allowed = ", ".join(kind.value for kind in configuration.WorkKind)
        return outcomes.NotRun(
            400, "bad_work_kind", f"X-Work-Kind must be one of {allowed}."
        )
