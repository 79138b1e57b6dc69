"""Tests of the translation of request and response headers."""

import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.core import rate_limiting
from redwingchute.platform import headers
from redwingchute.request import header_translator

_TRANSLATOR = headers.PlatformHeaderTranslator()
_DEFAULT_HEADERS = {
    "host": "A.example:80",
    "attempt-id": "9c41",
    "deadline-ms": "8000",
    "authorization": "Bearer key-1",
}


def _make_request(**changes: str) -> http_server.HttpRequest:
    fields = {
        **_DEFAULT_HEADERS,
        **{k.replace("_", "-"): v for k, v in changes.items()},
    }
    return http_server.HttpRequest(
        method="POST",
        target="/a/b?x=1",
        path="/a/b",
        query={"x": "1"},
        headers=fields,
        body=b"body",
        header_list=tuple(fields.items()),
        raw_path="/a/b",
    )


@pytest.mark.parametrize(
    ("status", "value", "expected_ms"),
    [
        (503, "2", 2_000),
        (503, "0.25", 250),
        (503, "0", 0),
        (503, "-1", None),
        (503, "soon", None),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
        (503, "nan", None),
        (503, "inf", None),
        (503, "1e300", None),
        (503, "3600", 3_600_000),
        (429, "2", None),
    ],
)
def test_the_pause_that_a_rejection_asks_for_is_read(
    status: int, value: str, expected_ms: int | None
) -> None:
    head = http_client.ResponseHead(status, {"retry-after": value})
    response = headers.PlatformHeaderTranslator().parse_response(head)
    assert response.retry_after_ms == expected_ms


_LIMIT_TEXTS = [
    (("0",), rate_limiting.RateLimit(0.0)),
    (("0.0",), rate_limiting.RateLimit(0.0)),
    ((" 0.01",), rate_limiting.RateLimit(0.01)),
    (("1e3",), rate_limiting.RateLimit(1_000.0)),
    (("1." + "0" * 300,), rate_limiting.RateLimit(1.0)),
    (("2", "1.5"), rate_limiting.RateLimit(1.5)),
    ((), rate_limiting.NoLimit()),
    (("",), rate_limiting.UnreadableLimit("")),
    (("-1",), rate_limiting.UnreadableLimit("-1")),
    (("nan",), rate_limiting.UnreadableLimit("nan")),
    (("inf",), rate_limiting.UnreadableLimit("inf")),
    (("1_000",), rate_limiting.UnreadableLimit("1_000")),
    (("1e999",), rate_limiting.UnreadableLimit("1e999")),
    (("2", "soon"), rate_limiting.UnreadableLimit("soon")),
]


@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize(("texts", "expected"), _LIMIT_TEXTS)
def test_the_limit_that_a_response_names_is_read(
    status: int, texts: tuple[str, ...], expected: rate_limiting.NamedLimit
) -> None:
    header_list = tuple(("server-limit", text) for text in texts)
    head = http_client.ResponseHead(status, dict(header_list), header_list)
    response = headers.PlatformHeaderTranslator().parse_response(head)
    assert response.limit == expected
    assert response.rejection_limit == rate_limiting.NoLimit()


@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize(("texts", "expected"), _LIMIT_TEXTS)
def test_the_brittleness_that_a_response_names_is_read(
    status: int, texts: tuple[str, ...], expected: rate_limiting.NamedLimit
) -> None:
    header_list = tuple(("server-brittle", text) for text in texts)
    head = http_client.ResponseHead(status, dict(header_list), header_list)
    response = headers.PlatformHeaderTranslator().parse_response(head)
    assert response.rejection_limit == expected
    assert response.limit == rate_limiting.NoLimit()


# Guards against a refusal as "not run" of a request that ran with success.
@pytest.mark.parametrize(
    ("status", "was_not_run"), [(200, False), (400, True), (503, True)]
)
def test_a_success_is_never_a_rejection(status: int, was_not_run: bool) -> None:
    head = http_client.ResponseHead(status, {"not-executed": "1"})
    response = headers.PlatformHeaderTranslator().parse_response(head)
    assert response.was_not_run == was_not_run


@pytest.mark.parametrize(
    ("value", "is_leaving"), [("1", True), ("0", False), ("", False)]
)
def test_a_response_states_that_its_upstream_leaves(
    value: str, is_leaving: bool
) -> None:
    head = http_client.ResponseHead(200, {"server-leaving": value})
    response = headers.PlatformHeaderTranslator().parse_response(head)
    assert response.is_leaving == is_leaving


@pytest.mark.parametrize(
    "text, cold_ms", [("900", 900), ("0", 0), ("", None), ("soon", None)]
)
def test_a_response_states_how_long_the_upstream_stays_cold(
    text: str, cold_ms: int | None
) -> None:
    head = http_client.ResponseHead(200, {"cold-start-ms": text})
    response = headers.PlatformHeaderTranslator().parse_response(head)
    assert response.cold_ms == cold_ms


def test_request_headers_are_decoded() -> None:
    read = _TRANSLATOR.parse_request(
        _make_request(
            token_usage="1460,80", prompt_prefix="5c:800,91:410,e4:250"
        )
    )
    assert isinstance(read, forwarding.ForwardRequest)
    assert (read.id, read.host, read.path) == ("9c41", "a.example", "/a/b")
    assert (read.patience_ms, read.key) == (8_000, "key-1")
    assert read.generation is not None
    assert read.generation.max_tokens == 1_540
    assert [part.id for part in read.generation.parts] == ["5c", "91", "e4"]


@pytest.mark.parametrize(
    "changes",
    [
        {"attempt_id": ""},
        {"deadline_ms": "soon"},
        {"token_usage": "many,few"},
        {"token_usage": "1,2", "prompt_prefix": "a:b"},
    ],
)
def test_invalid_headers_are_refused(changes: dict[str, str]) -> None:
    read = _TRANSLATOR.parse_request(_make_request(**changes))
    assert isinstance(read, outcomes.NotRun)
    assert read.status == 400


def test_an_upstream_gets_no_key_and_no_forged_headers() -> None:
    request = _make_request(
        tenant="forged",
        target_instance="forged",
        pin_ms="9",
        kv_from="1.2.3.4:5/6",
        cache_retain="7",
        connection="keep-alive, x-hop",
        x_hop="1",
        x_other="2",
    )
    metadata = header_translator.RequestMetadata("i-1", 700, "yield", 1, 12)
    built = dict(_TRANSLATOR.build_upstream_headers(request, metadata))
    assert built == {
        "attempt-id": "9c41",
        "x-other": "2",
        "target-instance": "i-1",
        "deadline-ms": "700",
        "tenant": "yield",
        "request-priority": "1",
        "last-event-id": "12",
    }


@pytest.mark.parametrize(
    ("status", "fields", "was_not_run"),
    [
        (503, {"not-executed": "1"}, True),
        (421, {"instance-id": "i-2"}, True),
        (503, {}, False),
        (200, {"attempt-id": "9c41", "runner-signature": "s"}, False),
    ],
)
def test_only_explicit_responses_mean_that_a_request_did_not_run(
    status: int, fields: dict[str, str], was_not_run: bool
) -> None:
    head = http_client.ResponseHead(status, fields)
    assert _TRANSLATOR.parse_response(head).was_not_run is was_not_run


def test_a_refusal_has_a_retry_after_header() -> None:
    refusal = outcomes.NotRun(503, "busy", "Busy.", 250)
    response = _TRANSLATOR.build_refusal(refusal, "9c41")
    assert ("retry-after", "0.250") in response.headers
    assert ("attempt-id", "9c41") in response.headers
