"""Logs changes of upstreams' entries that affect where requests may be sent."""

from redwingchute.core import forwarding
from redwingchute.process import decision_log


def log_change(
    upstream_id: str,
    known: forwarding.Upstream | None,
    upstream: forwarding.Upstream | None,
) -> None:
    """Logs a change of an entry, unless it does not affect routing.

    Args:
      upstream_id: The upstream.
      known: Its entry before; None if it was not listed.
      upstream: Its entry now; None if it is not listed.
    """
    if not _affects_routing(known, upstream):
        return
    decision_log.log_event(
        "upstream_changed",
        upstream=upstream_id,
        address=upstream.address if upstream else None,
        is_listed=upstream is not None,
        is_ready=upstream is not None and upstream.is_ready,
        upstream_version=upstream.version if upstream else None,
        born_ms=upstream.born_ms if upstream else None,
    )


def _affects_routing(
    known: forwarding.Upstream | None, upstream: forwarding.Upstream | None
) -> bool:
    """Returns whether a changed entry affects where requests may be sent."""
    if known is None or upstream is None:
        return known is not upstream
    return (known.address, known.is_ready, known.start, known.version) != (
        upstream.address,
        upstream.is_ready,
        upstream.start,
        upstream.version,
    )
