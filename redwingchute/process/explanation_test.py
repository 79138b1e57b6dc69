"""Tests of request timelines, and of the list of events in the manual."""

import json
import pathlib
import re

from redwingchute.process import explanation


def _make_line(at_ms: int, host: str, event: str, **fields: object) -> str:
    line = {"at_ms": at_ms, "host": host, "event": event, **fields}
    return "  7.8 edge " + json.dumps(line)


_TEXTS = [
    _make_line(9_000, "a", "request_refused", request_id="r", status=503),
    _make_line(8_900, "a", "charge_refused", request_id="r", tokens=7),
    _make_line(8_000, "a", "grants_cut_off", reason="timed out"),
    _make_line(8_100, "b", "grants_cut_off", reason="timed out"),
    _make_line(8_200, "a", "request_ended", request_id="other"),
    _make_line(1_000, "a", "log_lost", topic="op"),
    "not a log line {",
]


def test_a_timeline_is_ordered_and_includes_state_changes() -> None:
    lines = explanation.read_lines(_TEXTS)
    timeline = explanation.explain_request(lines, "r")
    assert [line.event for line in timeline] == [
        "grants_cut_off",
        "charge_refused",
        "request_refused",
    ]
    assert explanation.format_line(timeline[-1], "r") == (
        "* 9000 a request_refused status=503"
    )


def test_an_unknown_request_has_no_timeline() -> None:
    assert not explanation.explain_request(
        explanation.read_lines(_TEXTS), "unknown"
    )


def test_every_event_is_on_the_operators_page() -> None:
    emitted = set()
    for path in pathlib.Path("redwingchute").rglob("*.py"):
        if not path.name.endswith("_test.py"):
            emitted |= set(
                re.findall(
                    r'\blog_(?:event|failure)\(\s*"(\w+)"', path.read_text()
                )
            )
    page = pathlib.Path("docs/OPERATIONS.md").read_text()
    page = page[: page.index("## Metrics")]
    listed = set(re.findall(r"^\| `(\w+)` \|", page, re.MULTILINE))
    assert emitted == listed
