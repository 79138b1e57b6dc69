"""Builds the timeline of one request from the decision logs of processes.

The timeline holds, in order of time, the lines with the request's id and the
state changes that the same hosts logged from shortly before the first of these
lines up to the last, because such changes influence the request's handling.
"""

from collections.abc import Iterable
import json
import pathlib
from typing import Any

import attrs

# How long before a request's first line state changes are included.
_CONTEXT_MS = 5_000
# Fields that a formatted line shows without their names or leaves out.
_HIDDEN_FIELDS = frozenset({"at_ms", "event", "host", "zone", "request_id"})
# Events of single requests. Those of other requests are left out of a timeline.
_REQUEST_EVENTS = frozenset(
    {
        "attempt_failed",
        "charge_refused",
        "request_ended",
        "request_refused",
        "resume_refused",
        "retry_acquired",
        "retry_denied",
        "stream_resumed",
    }
)
# State changes that are too frequent to be relevant to one request.
_IGNORED_EVENTS = frozenset({"tokens_lent"})


@attrs.frozen
class LogLine:
    """One line of a decision log.

    Attributes:
      at_ms: The wall-clock time of the host, in milliseconds.
      host: The host.
      event: The name of the event.
      fields: All fields of the line.
    """

    at_ms: int
    host: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Returns the decision log lines among lines of text, in order of time.

    Text before the JSON object is skipped, because many log tools prefix lines
    with a time or a name.
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            line = LogLine(
                int(fields["at_ms"]),
                str(fields.get("host", "")),
                str(fields["event"]),
                fields,
            )
        except (ValueError, KeyError, TypeError):
            continue
        lines.append(line)
    return sorted(lines, key=lambda line: line.at_ms)


def explain_request(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Returns the lines of a request and the state changes around them.

    Returns an empty list if no line has the request's id.
    """
    own = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not own:
        return []
    hosts = {line.host for line in own}
    first_ms = own[0].at_ms - _CONTEXT_MS
    last_ms = own[-1].at_ms
    return [
        line
        for line in lines
        if line.fields.get("request_id") == request_id
        or (
            line.host in hosts
            and first_ms <= line.at_ms <= last_ms
            and line.event not in _REQUEST_EVENTS | _IGNORED_EVENTS
        )
    ]


def format_line(line: LogLine, request_id: str) -> str:
    """Formats a line for display; the request's own lines start with `*`."""
    mark = "*" if line.fields.get("request_id") == request_id else " "
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS and value not in (None, "")
    )
    return f"{mark} {line.at_ms} {line.host} {line.event} {fields}".rstrip()


def run_explain(request_id: str, paths: list[str]) -> int:
    """Prints the timeline of a request.

    Args:
      request_id: The id that the caller gave the request.
      paths: Files with the decision logs of one or more processes.

    Returns:
      The exit status: 0, or 1 if no line has the request's id.
    """
    texts: list[str] = []
    for path in paths:
        texts += pathlib.Path(path).read_text(errors="replace").splitlines()
    timeline = explain_request(read_lines(texts), request_id)
    for line in timeline:
        print(format_line(line, request_id))
    return 0 if timeline else 1
