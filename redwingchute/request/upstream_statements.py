"""Records what upstreams state about themselves in their responses."""

from collections.abc import Callable
from typing import TypeAlias

import attrs

from redwingchute.connection import http_client
from redwingchute.core import forwarding
from redwingchute.core import rate_limiting
from redwingchute.core import requesting
from redwingchute.process import decision_log
from redwingchute.request import header_translator
from redwingchute.request import upstream_directory

# The characters of a header's value that a line of the log holds.
_MAX_LOGGED_VALUE = 64

UpstreamNotice: TypeAlias = requesting.LeavingNotice | rate_limiting.LimitNotice


@attrs.frozen
class UpstreamStatements:
    """Applies the statements of upstreams and tells the other routers.

    Attributes:
      directory: The upstreams of all services.
      pool: The connections to them.
      broadcast: Sends a notice to all other routers, best effort.
      read_clock_ms: Returns the time on a steady clock.
    """

    directory: upstream_directory.UpstreamDirectory
    pool: http_client.ClientPool
    broadcast: Callable[[UpstreamNotice], None]
    read_clock_ms: Callable[[], int]

    def record(
        self,
        upstream: forwarding.Upstream,
        response: header_translator.ResponseMetadata,
        sent_limit_revision: int,
    ) -> None:
        """Records what an upstream states about itself in a response.

        Args:
          upstream: The upstream that the request was for.
          response: The head of its response.
          sent_limit_revision: The revision of its limit that was known when
            the request was sent.
        """
        if response.is_wrong_instance:
            return
        self._record_limit(upstream, response, sent_limit_revision)
        self.directory.cold.record_response(upstream, response.cold_ms)
        now_ms = self.read_clock_ms()
        if response.is_leaving:
            self.pool.close_idle(http_client.Address.parse(upstream.address))
            if self.directory.mark_leaving(upstream.start, now_ms):
                decision_log.log_event(
                    "upstream_leaving", upstream=upstream.id, source="response"
                )
                self.broadcast(
                    requesting.LeavingNotice(
                        upstream.id, now_ms, upstream.born_ms
                    )
                )
        if response.retry_after_ms:
            pause_ms = self.directory.pause(
                upstream, response.retry_after_ms, now_ms
            )
            decision_log.log_event(
                "upstream_paused",
                upstream=upstream.id,
                retry_after_ms=response.retry_after_ms,
                pause_ms=pause_ms,
            )

    def _record_limit(
        self,
        upstream: forwarding.Upstream,
        response: header_translator.ResponseMetadata,
        sent_revision: int,
    ) -> None:
        """Records the limit that an upstream names, or its end."""
        limits = self.directory.limits
        for named in (response.limit, response.rejection_limit):
            if isinstance(
                named, rate_limiting.UnreadableLimit
            ) and limits.record_unreadable(upstream.start):
                decision_log.log_failure(
                    "upstream_limit_unreadable",
                    upstream=upstream.id,
                    value=named.text[:_MAX_LOGGED_VALUE],
                )
        is_changed = limits.record_response(
            upstream.start,
            response.limit,
            sent_revision,
            response.was_not_run,
            response.rejection_limit,
        )
        limit = limits.find(upstream.start)
        limits.record_brittle_service(
            upstream.service, limit, self.read_clock_ms()
        )
        if not is_changed:
            return
        log_limit_change(upstream.id, "response", limit)
        self.broadcast(
            rate_limiting.LimitNotice(upstream.id, upstream.born_ms, limit)
        )


def log_limit_change(
    upstream_id: str, source: str, limit: rate_limiting.KnownLimit
) -> None:
    """Logs a limit that is new to this router, or its end.

    Args:
      upstream_id: The upstream.
      source: Where the router learned it from.
      limit: The limit.
    """
    decision_log.log_event(
        "upstream_limit_changed",
        upstream=upstream_id,
        source=source,
        requests_per_s=limit.requests_per_s if limit.has_rate else None,
        rejections_per_s=limit.rejections_per_s if limit.is_brittle else None,
        revision=limit.revision,
    )
