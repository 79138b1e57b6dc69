"""Tests of the rate-limited, non-blocking decision log."""

import json
import os

from redwingchute.process import decision_log


def _read_lines(descriptor: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).split()]


def test_lines_carry_the_context() -> None:
    read_end, write_end = os.pipe()
    log = decision_log.DecisionLog(write_end)
    log.open(host="huon-1")
    log.write("started", False, {"incarnation": 7})
    (line,) = _read_lines(read_end)
    assert line["host"] == "huon-1"
    assert line["event"] == "started"
    assert line["incarnation"] == 7


def test_failures_are_logged_when_the_ordinary_rate_is_exhausted() -> None:
    read_end, write_end = os.pipe()
    log = decision_log.DecisionLog(write_end)
    log.open()
    for number in range(2_000):
        log.write("request_ended", False, {"number": number})
    log.write("request_refused", True, {})
    lines = _read_lines(read_end)
    assert len(lines) < 1_000
    assert lines[-1]["event"] == "request_refused"
    assert lines[-1]["lines_dropped_before"]


def test_a_slow_or_closed_reader_does_not_block() -> None:
    read_end, write_end = os.pipe()
    log = decision_log.DecisionLog(write_end)
    log.open()
    for _ in range(300):
        log.write("request_refused", True, {"reason": "x" * 2_000})
    os.close(read_end)
    log.write("request_refused", True, {})
    assert not log.is_enabled


def test_a_line_reports_the_drops_of_a_full_pipe() -> None:
    read_end, write_end = os.pipe()
    log = decision_log.DecisionLog(write_end)
    log.open()
    while not log.dropped_lines:
        log.write("request_refused", True, {"reason": "x" * 2_000})
    for _ in range(3):
        log.write("request_refused", True, {"reason": "x" * 2_000})
    os.read(read_end, 1 << 20)
    log.write("request_refused", True, {})
    lines = os.read(read_end, 1 << 20).splitlines()
    assert log.dropped_lines == 4
    assert json.loads(lines[-1])["lines_dropped_before"] == 4
