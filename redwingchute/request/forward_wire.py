"""The port between forwarding decisions and the headers on the wire."""

from typing import Protocol

import attrs

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import forwarding
from redwingchute.core import outcomes


@attrs.frozen
class UpstreamSend:
    """What the system tells an upstream besides the caller's headers.

    Attributes:
      upstream_id: The instance that is meant; another one refuses.
      remaining_ms: How long the caller still waits.
      account: The client account, or None.
      priority: The rank at the upstream, or None for the usual one.
      last_event_id: Where a broken stream goes on, or None.
    """

    upstream_id: str
    remaining_ms: int
    account: str | None = None
    priority: int | None = None
    last_event_id: int | None = None


@attrs.frozen
class AnswerHead:
    """What decisions need of the head of an upstream's answer.

    Attributes:
      status: The HTTP status.
      request_id: The id of the request that it answers, or None.
      was_not_run: Whether the upstream says that it did not run the request.
      is_other_instance: Whether another instance than the one meant answered.
      is_signed: Whether it bears the upstream's signature.
    """

    status: int
    request_id: str | None
    was_not_run: bool
    is_other_instance: bool
    is_signed: bool


@attrs.frozen
class RefusalAnswer:
    """An answer of the system's own, without its status."""

    headers: list[tuple[str, str]]
    body: bytes


class ForwardWire(Protocol):
    """Translates between headers and records."""

    def read_request(
        self, request: http_server.HttpRequest
    ) -> forwarding.ForwardRequest | outcomes.NotRun:
        """Reads what decisions need of a request's headers."""

    def build_upstream_headers(
        self, request: http_server.HttpRequest, send: UpstreamSend
    ) -> list[tuple[str, str]]:
        """Returns the headers that an upstream gets, without framing."""

    def read_answer(self, head: http_client.ResponseHead) -> AnswerHead:
        """Reads what decisions need of an answer's head."""

    def build_answer_headers(
        self, head: http_client.ResponseHead
    ) -> list[tuple[str, str]]:
        """Returns the headers of an answer that a caller gets, unframed."""

    def build_refusal(
        self, refusal: outcomes.Refusal, request_id: str | None
    ) -> RefusalAnswer:
        """Returns the headers and body of an answer of the system's own."""
