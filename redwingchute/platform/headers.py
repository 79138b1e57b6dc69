"""Translates the headers of requests and responses.

Headers that only the system may set are removed from the requests of callers,
so that callers cannot forge them. Hop-by-hop headers are not forwarded.
"""

import json
import math
import re

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.core import rate_limiting
from redwingchute.core import short_ids
from redwingchute.request import header_translator

# Identifies the caller's request, not an attempt of the router at an upstream.
_REQUEST_ID = "attempt-id"
_DEADLINE = "deadline-ms"
# The number of prompt tokens and the maximum of output tokens of a request, not
# the tokens that were used.
_TOKENS = "token-usage"
_PROMPT_PARTS = "prompt-prefix"
_LAST_EVENT_ID = "last-event-id"
# The id of the request that brought the first event of a stream that the caller
# asks to resume.
_RESUMED_REQUEST_ID = "resumes"
_EXPECTED_UPSTREAM = "target-instance"
_ACCOUNT = "tenant"
# Proves which upstream sent a response; a digest of its whole body.
_SIGNATURE = "runner-signature"
# Present if the upstream did not run the request.
_NOT_RUN = "not-executed"
_PRIORITY = "request-priority"
_RETRY_AFTER = "retry-after"
# In all responses of an upstream that is about to stop.
_LEAVING = "server-leaving"
# The requests a second that an upstream takes from all routers together.
_LIMIT = "server-limit"
_REJECTION_LIMIT = "server-brittle"
# How many milliseconds an upstream stays cold.
_COLD_REMAINING = "cold-start-ms"
_DECIMAL_NUMBER = re.compile(r"(\d+\.?\d*|\.\d+)([eE][+-]?\d+)?", re.ASCII)

_KEY_SCHEME = "bearer "
# The status with which an upstream refuses a request for another instance. It
# does not run the request.
_MISDIRECTED_REQUEST_STATUS = 421
_UNAVAILABLE_STATUS = 503
# A success is never a rejection, whatever else it states.
_MIN_REJECTION_STATUS = 400
# A year; a larger value is no time.
_MAX_RETRY_AFTER_S = 31_536_000.0

_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Larger integers are not exact in all programs that read them.
_MAX_INTEGER = 2**53 - 1
# More tokens than any model takes; sums of them are sent as 64 bits.
_MAX_TOKENS = 2**31 - 1
# Only the system may set these; they are removed from callers' requests.
_SYSTEM_HEADERS = frozenset(
    {
        _ACCOUNT,
        _EXPECTED_UPSTREAM,
        _PRIORITY,
        "cache-retain",
        "expected-version",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "pin-ms",
    }
)
_REPLACED_HEADERS = frozenset(
    {"authorization", "content-length", "expect", "host", _DEADLINE}
)
_REMOVED_FROM_REQUESTS = (
    _HOP_BY_HOP_HEADERS | _SYSTEM_HEADERS | _REPLACED_HEADERS
)
# The HTTP server sets the framing headers of the responses to callers.
_REMOVED_FROM_RESPONSES = _HOP_BY_HOP_HEADERS | {"content-length"}


class PlatformHeaderTranslator:
    """Implements `header_translator.HeaderTranslator` for the platform."""

    def parse_request(
        self, request: http_server.HttpRequest
    ) -> forwarding.ForwardRequest | outcomes.NotRun:
        """Decodes the headers of a caller's request, or refuses them."""
        headers = request.headers
        request_id = headers.get(_REQUEST_ID)
        if not request_id:
            return _refuse_header("The Attempt-Id header is missing.")
        try:
            return forwarding.ForwardRequest(
                id=request_id,
                host=_read_host(headers.get("host", "")),
                path=request.raw_path,
                patience_ms=_read_int(headers.get(_DEADLINE)),
                key=_read_key(headers.get("authorization", "")),
                generation=_read_generation(headers),
                last_event_id=_read_int(headers.get(_LAST_EVENT_ID)),
                resumed_id=headers.get(_RESUMED_REQUEST_ID) or None,
                body_bytes=len(request.body),
            )
        except ValueError as error:
            return _refuse_header(str(error))

    def build_upstream_headers(
        self,
        request: http_server.HttpRequest,
        metadata: header_translator.RequestMetadata,
    ) -> list[tuple[str, str]]:
        """Returns the headers of a request to an upstream, without framing."""
        removed = _REMOVED_FROM_REQUESTS | _list_connection_options(
            request.headers
        )
        if metadata.last_event_id is not None:
            removed |= {_LAST_EVENT_ID}
        headers = [
            (name, value)
            for name, value in request.header_list
            if name not in removed
        ]
        headers.append((_EXPECTED_UPSTREAM, metadata.upstream_id))
        headers.append((_DEADLINE, str(metadata.remaining_ms)))
        if metadata.account is not None:
            headers.append((_ACCOUNT, metadata.account))
        if metadata.priority is not None:
            headers.append((_PRIORITY, str(metadata.priority)))
        if metadata.last_event_id is not None:
            headers.append((_LAST_EVENT_ID, str(metadata.last_event_id)))
        return headers

    def parse_response(
        self, head: http_client.ResponseHead
    ) -> header_translator.ResponseMetadata:
        """Decodes the status and headers of an upstream's response."""
        return header_translator.ResponseMetadata(
            status=head.status,
            request_id=head.headers.get(_REQUEST_ID),
            was_not_run=(
                _NOT_RUN in head.headers
                and head.status >= _MIN_REJECTION_STATUS
            )
            or head.status == _MISDIRECTED_REQUEST_STATUS,
            is_wrong_instance=head.status == _MISDIRECTED_REQUEST_STATUS,
            is_signed=_SIGNATURE in head.headers,
            is_leaving=head.headers.get(_LEAVING, "").strip() == "1",
            retry_after_ms=_read_retry_after_ms(head),
            limit=_read_limit(head, _LIMIT),
            rejection_limit=_read_limit(head, _REJECTION_LIMIT),
            cold_ms=_read_cold_ms(head),
        )

    def build_response_headers(
        self, head: http_client.ResponseHead
    ) -> list[tuple[str, str]]:
        """Returns the headers of an upstream's response for the caller."""
        removed = _REMOVED_FROM_RESPONSES | _list_connection_options(
            head.headers
        )
        return [
            (name, value)
            for name, value in head.header_list
            if name not in removed
        ]

    def build_refusal(
        self, refusal: outcomes.Refusal, request_id: str | None
    ) -> header_translator.RefusalResponse:
        """Returns the headers and body of the response for a refusal."""
        headers = [("content-type", "application/json")]
        if request_id is not None:
            headers.append((_REQUEST_ID, request_id))
        if refusal.retry_after_ms is not None:
            headers.append(
                (_RETRY_AFTER, f"{refusal.retry_after_ms / 1000:.3f}")
            )
        body = {
            "error": {
                "type": outcomes.name_refusal_type(refusal),
                "code": refusal.code,
                "message": refusal.message,
            }
        }
        return header_translator.RefusalResponse(
            headers, json.dumps(body).encode()
        )


def _refuse_header(message: str) -> outcomes.NotRun:
    """Returns the refusal of a request with an invalid header."""
    return outcomes.NotRun(400, "bad_header", message)


def _read_host(value: str) -> str:
    """Returns a host name without its port, in lower case."""
    return value.partition(":")[0].strip().lower()


def _read_key(value: str) -> str | None:
    """Returns the bearer key of an Authorization header, or None."""
    if not value.lower().startswith(_KEY_SCHEME):
        return None
    return value[len(_KEY_SCHEME) :].strip() or None


def _read_int(value: str | None) -> int | None:
    """Returns the integer in a header, or None if the header is absent.

    Raises:
      ValueError: It is no integer, or a larger one than any that is sensible.
    """
    if value is None:
        return None
    number = int(value)
    if abs(number) > _MAX_INTEGER:
        raise ValueError("A number in a header is out of range.")
    return number


def _read_retry_after_ms(head: http_client.ResponseHead) -> int | None:
    """Returns the pause that a response asks for, or None.

    Only a 503 asks for one. A value that is no number of seconds is ignored.
    """
    if head.status != _UNAVAILABLE_STATUS:
        return None
    try:
        seconds = float(head.headers[_RETRY_AFTER])
    except (KeyError, ValueError):
        return None
    if not 0 <= seconds < _MAX_RETRY_AFTER_S:
        return None
    return int(1000 * seconds)


def _read_cold_ms(head: http_client.ResponseHead) -> int | None:
    """Returns how long an upstream stays cold, or None if it states none."""
    text = head.headers.get(_COLD_REMAINING, "").strip()
    if not _DECIMAL_NUMBER.fullmatch(text):
        return None
    cold_ms = float(text)
    return math.ceil(cold_ms) if math.isfinite(cold_ms) else None


def _read_limit(
    head: http_client.ResponseHead, header_name: str
) -> rate_limiting.NamedLimit:
    """Returns the limit that a header names; the lowest if there are more."""
    if header_name not in head.headers:
        return rate_limiting.NoLimit()
    header_list = head.header_list or tuple(head.headers.items())
    texts = [
        value.strip() for name, value in header_list if name == header_name
    ]
    limits = []
    for text in texts:
        limit = float(text) if _DECIMAL_NUMBER.fullmatch(text) else math.inf
        if not math.isfinite(limit):
            return rate_limiting.UnreadableLimit(text)
        limits.append(limit)
    return rate_limiting.RateLimit(min(limits))


def _read_generation(
    headers: dict[str, str],
) -> forwarding.Generation | None:
    """Returns the generation that a request asks for, or None."""
    tokens = headers.get(_TOKENS)
    if tokens is None:
        return None
    prompt_tokens, _, max_output_tokens = tokens.partition(",")
    parts = [
        _read_part(entry)
        for entry in headers.get(_PROMPT_PARTS, "").split(",")
        if entry.strip()
    ]
    return forwarding.Generation(
        _read_tokens(prompt_tokens),
        _read_tokens(max_output_tokens or "0"),
        tuple(parts),
    )


def _read_part(entry: str) -> forwarding.PromptPart:
    """Decodes one part of a prompt of the form ID:TOKENS."""
    part_id, _, tokens = entry.strip().partition(":")
    return forwarding.PromptPart(
        short_ids.shorten_id(part_id), _read_tokens(tokens or "0")
    )


def _read_tokens(text: str) -> int:
    """Returns a number of tokens; a negative one is 0.

    Raises:
      ValueError: It is no number, or a larger one than any prompt has.
    """
    tokens = max(0, int(text))
    if tokens > _MAX_TOKENS:
        raise ValueError("A number of tokens is out of range.")
    return tokens


def _list_connection_options(headers: dict[str, str]) -> set[str]:
    """Returns the names of the headers that a Connection header lists."""
    names = headers.get("connection", "").lower().split(",")
    return {name.strip() for name in names} - {""}
