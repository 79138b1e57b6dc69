"""Tells the story of one request from the logs of several processes.

The lines that carry the request's id are put in order of time. Between them
stand the changes of state that the same host logged shortly before, since they
are what its decisions went by.
"""

from collections.abc import Iterable
import json
import pathlib
from typing import Any

import attrs

# How far back changes of state matter to a request.
_CONTEXT_MS = 5_000
_HIDDEN_FIELDS = frozenset({"at_ms", "event", "host", "zone", "request_id"})
_REQUEST_EVENTS = frozenset(
    {"attempt_failed", "charge_refused", "request_ended", "request_refused"}
)
# Too frequent to say anything about one request.
_UNTOLD_EVENTS = frozenset({"tokens_lent"})


@attrs.frozen
class LogLine:
    """One line of a decision log.

    Attributes:
      at_ms: The time of day on its host.
      host: The host.
      event: The name of the decision or change.
      fields: All fields.
    """

    at_ms: int
    host: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Returns the log lines among lines of text, in order of time.

    What stands before the object of a line is passed over, so that the output
    of tools that put a time or name in front can be read too.
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
    """Returns the lines that tell of a request, with their context."""
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
            and line.event not in _REQUEST_EVENTS | _UNTOLD_EVENTS
        )
    ]


def format_line(line: LogLine, request_id: str) -> str:
    """Returns a line for a reader; lines of the request itself are marked."""
    mark = "*" if line.fields.get("request_id") == request_id else " "
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS and value not in (None, "")
    )
    return f"{mark} {line.at_ms} {line.host} {line.event} {fields}".rstrip()


def run_explain(request_id: str, paths: list[str]) -> int:
    """Prints the story of a request; 1 when no line tells of it."""
    texts: list[str] = []
    for path in paths:
        texts += pathlib.Path(path).read_text(errors="replace").splitlines()
    story = explain_request(read_lines(texts), request_id)
    for line in story:
        print(format_line(line, request_id))
    return 0 if story else 1
