"""Merges JSON patches into the attrs records that switch faults.

Each stand-in keeps its faults in one frozen attrs record, so that a mistyped
fault name or value is reported instead of silently having no effect.
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
    """Returns the faults changed by a JSON object, or all findings.

    Args:
      faults: An attrs record whose fields are bool, int, float or str. A
        field's metadata may hold `minimum`, which is 0 when left out.
      body: A JSON object of new field values.
    """
    patch = read_object(body)
    if isinstance(patch, tuple):
        return patch
    hints = typing.get_type_hints(type(faults))
    fields = {field.name: field for field in attrs.fields(type(faults))}
    findings = []
    for name, value in patch.items():
        if name not in fields:
            allowed = ", ".join(sorted(fields))
            message = f"This fault is not known; the known ones are {allowed}."
            findings.append(data.Finding(name, message))
            continue
        minimum = fields[name].metadata.get("minimum", 0)
        message = _check_value(value, hints[name], minimum)
        if message:
            findings.append(data.Finding(name, message))
    if findings:
        return tuple(findings)
    return type(faults)(**{**attrs.asdict(faults, recurse=False), **patch})


def read_object(body: bytes) -> dict[str, Any] | Findings:
    """Reads a JSON object, or reports why the body is none."""
    try:
        value = json.loads(body)
    except ValueError as error:
        return (data.Finding("body", f"The body is not JSON: {error}."),)
    if not isinstance(value, dict):
        return (data.Finding("body", "The body must be a JSON object."),)
    return value


def to_json(value: Any) -> bytes:
    """Returns the JSON text of plain values and attrs records."""
    return json.dumps(value, default=attrs.asdict).encode()


def _check_value(value: Any, hint: Any, minimum: float) -> str:
    """Returns what is wrong with a value, or an empty string."""
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
