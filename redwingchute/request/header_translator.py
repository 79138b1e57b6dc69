"""The interface that translates HTTP headers to records and back."""

from typing import Protocol

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.core import rate_limiting


@attrs.frozen
class RequestMetadata:
    """What the router adds to the caller's headers for an upstream.

    Attributes:
      upstream_id: The instance that the request is for; another instance
        rejects it.
      remaining_ms: The time until the request's deadline.
      account: The client account, or None.
      priority: The request's priority at the upstream, or None for the
        upstream's default.
      last_event_id: The event after which a broken stream resumes, or None.
    """

    upstream_id: str
    remaining_ms: int
    account: str | None = None
    priority: int | None = None
    last_event_id: int | None = None


@attrs.frozen
class ResponseMetadata:
    """The head of an upstream's response, as far as forwarding reads it.

    Attributes:
      status: The HTTP status.
      request_id: The id of the request that it responds to, or None.
      was_not_run: Whether the upstream states that it did not run the request.
      is_wrong_instance: Whether the response is of another instance than the
        one that the request was for.
      is_signed: Whether it carries a signature, which is not verified here.
      is_leaving: Whether the upstream states that it is about to stop.
      retry_after_ms: How long the upstream asks for no further request; None
        if it does not ask, or not in a readable way.
      limit: The rate to which the upstream limits the requests of the fleet.
      rejection_limit: The rate of rejections beyond which the upstream fails.
      cold_ms: How long the upstream stays cold; None if it states none.
    """

    status: int
    request_id: str | None
    was_not_run: bool
    is_wrong_instance: bool
    is_signed: bool
    is_leaving: bool = False
    retry_after_ms: int | None = None
    limit: rate_limiting.NamedLimit = rate_limiting.NoLimit()
    rejection_limit: rate_limiting.NamedLimit = rate_limiting.NoLimit()
    cold_ms: int | None = None


@attrs.frozen
class RefusalResponse:
    """The headers and body of a refusal that the router sends."""

    headers: list[tuple[str, str]]
    body: bytes


class HeaderTranslator(Protocol):
    """Translates between HTTP headers and records.

    The HTTP client and server add the framing headers, such as Content-Length.
    """

    def parse_request(
        self, request: http_server.HttpRequest
    ) -> forwarding.ForwardRequest | outcomes.NotRun:
        """Parses a caller's request, or returns its refusal."""

    def build_upstream_headers(
        self, request: http_server.HttpRequest, metadata: RequestMetadata
    ) -> list[tuple[str, str]]:
        """Returns the request headers for an upstream, without framing ones."""

    def parse_response(
        self, head: http_client.ResponseHead
    ) -> ResponseMetadata:
        """Parses the head of an upstream's response."""

    def build_response_headers(
        self, head: http_client.ResponseHead
    ) -> list[tuple[str, str]]:
        """Returns the response headers for a caller, without framing ones."""

    def build_refusal(
        self, refusal: outcomes.Refusal, request_id: str | None
    ) -> RefusalResponse:
        """Returns the headers and body of a refusal."""
