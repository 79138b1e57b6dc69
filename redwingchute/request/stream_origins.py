"""Remembers which upstream began which stream."""

import attrs

from redwingchute.core import forwarding
from redwingchute.core import streams

# No stream lasts longer, with all the attempts of its caller.
_KEPT_MS = 120_000
# The oldest origins beyond this number are discarded.
_MAX_ORIGINS = 16_384
# By how much the clocks of hosts and upstreams may differ.
_MAX_CLOCK_DIFFERENCE_MS = 500


@attrs.frozen
class VersionBond:
    """Which upstreams a stream may go on at.

    Attributes:
      version: The software version that began it; empty if it is not known.
      start: The start of the upstream that began it; None if it is not known.
    """

    version: str
    start: forwarding.UpstreamStart | None = None

    def allows(self, upstream: forwarding.Upstream) -> bool:
        """Returns whether a stream may go on at an upstream.

        An unknown version equals nothing but the same start.
        """
        if self.version and upstream.version == self.version:
            return True
        return upstream.start == self.start


@attrs.frozen
class _Entry:
    """The origin of a stream, and when and by whom it was recorded."""

    origin: streams.StreamOrigin
    recorded_ms: int
    is_own: bool


class StreamOrigins:
    """The origins of the streams of this router, and those that it keeps."""

    def __init__(self) -> None:
        """Creates an instance without origins."""
        # The oldest first.
        self._entries: dict[str, _Entry] = {}

    def record(
        self, origin: streams.StreamOrigin, now_ms: int, is_own: bool
    ) -> None:
        """Records an origin; a later one for the same request replaces it.

        Args:
          origin: The origin.
          now_ms: The current time.
          is_own: Whether this router serves the stream.
        """
        self._entries.pop(origin.request_id, None)
        self._entries[origin.request_id] = _Entry(origin, now_ms, is_own)
        while self._entries:
            oldest = next(iter(self._entries))
            age_ms = now_ms - self._entries[oldest].recorded_ms
            if age_ms <= _KEPT_MS and len(self._entries) <= _MAX_ORIGINS:
                break
            del self._entries[oldest]

    def find(self, request_id: str) -> streams.StreamOrigin | None:
        """Returns the origin of the stream that a request began, or None."""
        entry = self._entries.get(request_id)
        return None if entry is None else entry.origin

    def list_own(
        self, service: str, max_age_ms: int, now_ms: int
    ) -> tuple[streams.StreamOrigin, ...]:
        """Returns the origins of this router's recent streams.

        Args:
          service: Their service.
          max_age_ms: How long ago they may have begun.
          now_ms: The current time.
        """
        return tuple(
            entry.origin
            for entry in self._entries.values()
            if entry.is_own
            and entry.origin.service == service
            and now_ms - entry.recorded_ms <= max_age_ms
        )


def make_bond(
    origin: streams.StreamOrigin, listed: forwarding.Upstream | None
) -> VersionBond:
    """Returns where the stream of an origin may go on.

    An upstream may start again with other software before its entry shows it.
    If its entry is now of another start, which may have been there when the
    stream began, the version is not known.

    Args:
      origin: The origin.
      listed: The newest entry of its upstream, or None.
    """
    start = forwarding.UpstreamStart(origin.upstream, origin.born_ms)
    if (
        listed is not None
        and listed.start != start
        and listed.version != origin.version
        and listed.born_ms <= origin.begun_ms + _MAX_CLOCK_DIFFERENCE_MS
    ):
        return VersionBond("")
    return VersionBond(origin.version, start)
