"""Merges JSON patches into the attrs records that hold the faults of stand-ins.

Each stand-in has its faults in one frozen attrs record, so that a misspelt
fault name or a wrong value is reported instead of silently ignored.
"""

import json
import typing
from typing import Any
from typing import TypeAlias
from typing import TypeVar

import attrs

from redwingchute.core import data

Findings: TypeAlias = tuple[data.Finding, ...]

FaultsT = TypeVar("FaultsT", bound=attrs.AttrsInstance)


def merge_patch(faults: FaultsT, body: bytes) -> FaultsT | Findings:
    """Merges a JSON object into a record of faults.

    Args:
      faults: An attrs record whose fields are bool, int, float or str. The
        metadata of a numeric field may set its `minimum`, which is 0 otherwise.
      body: A JSON object of new field values.

    Returns:
      The changed record, or all findings if the body is invalid.
    """
    patch = parse_json_object(body)
    if isinstance(patch, tuple):
        return patch
    hints = typing.get_type_hints(type(faults))
    fields = {field.name: field for field in attrs.fields(type(faults))}
    findings = []
    for name, value in patch.items():
        if name not in fields:
            allowed = ", ".join(sorted(fields))
            message = f"Unknown fault; the known faults are {allowed}."
            findings.append(data.Finding(name, message))
            continue
        minimum = fields[name].metadata.get("minimum", 0)
        message = _check_value(value, hints[name], minimum)
        if message:
            findings.append(data.Finding(name, message))
    if findings:
        return tuple(findings)
    return type(faults)(**{**attrs.asdict(faults, recurse=False), **patch})


def parse_json_object(body: bytes) -> dict[str, Any] | Findings:
    """Parses a JSON object; returns a finding if the body isn't one."""
    try:
        value = json.loads(body)
    except ValueError as error:
        return (data.Finding("body", f"The body is not JSON: {error}."),)
    if not isinstance(value, dict):
        return (data.Finding("body", "The body must be a JSON object."),)
    return value


def to_json(value: Any) -> bytes:
    """Encodes plain values and attrs records as JSON."""
    return json.dumps(value, default=attrs.asdict).encode()


def _check_value(value: Any, hint: Any, minimum: float) -> str:
    """Returns a message about an invalid value, empty if it is valid."""
    if hint is bool:
        return "" if isinstance(value, bool) else "The value must be a boolean."
    if hint is str:
        return "" if isinstance(value, str) else "The value must be a string."
    kinds = (int, float) if hint is float else (int,)
    if isinstance(value, bool) or not isinstance(value, kinds):
        return "The value must be a number."
    if value < minimum:
        return f"The value must be at least {minimum}."
    return ""
