"""Loads a configuration from a JSON document and dumps it as one.

Loading returns a configuration or findings; it never raises. It returns all
findings of a document at once, each with its JSON path. Dumping omits settings
with their default value, which keeps the document of a large platform within
one log record.
"""

import functools
import json
import types
import typing
from typing import Any
from typing import TypeVar
import zlib

import attrs
import cattrs
from cattrs import gen

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.version import validation

_ROOT_PLACE = "$"

_MAX_VALUE_CHARACTERS = 60
# Larger documents in log records are refused.
_MAX_DOCUMENT_BYTES = 32 * 1024 * 1024

_T = TypeVar("_T")


@attrs.frozen
class _DuplicateKeyError(Exception):
    """A JSON object with a duplicate key."""

    key: str


def load_configuration(
    document_text: str, version: int, allows_unknown: bool = False
) -> tuple[configuration.Configuration | None, tuple[data.Finding, ...]]:
    """Builds a configuration version from its document.

    Args:
      document_text: The JSON document of the whole configuration.
      version: The version of the configuration.
      allows_unknown: Whether unknown fields are ignored. The fold ignores
        them, because a record of a newer release must get the same verdict
        from readers of every release.

    Returns:
      The configuration and no findings, or None and all findings.
    """
    document, findings = _parse_json(document_text)
    if findings:
        return None, findings
    candidate, findings = _structure(
        document, configuration.Configuration, allows_unknown
    )
    if candidate is None:
        return None, findings
    findings = validation.validate_configuration(candidate)
    if findings:
        return None, findings
    return attrs.evolve(candidate, version=version), ()


def load_part(
    document_text: str, part_type: type[_T]
) -> tuple[_T | None, tuple[data.Finding, ...]]:
    """Builds a part of the configuration from its JSON document.

    Args:
      document_text: The JSON document of the part.
      part_type: The class of the part, for example `configuration.Model`.

    Returns:
      The part and no findings, or None and all findings. References to other
      parts are checked only in a whole configuration.
    """
    document, findings = _parse_json(document_text)
    if findings:
        return None, findings
    return _structure(document, part_type, allows_unknown=False)


def dump_configuration(source: configuration.Configuration) -> str:
    """Returns the JSON document of a configuration, without its version."""
    return dump_part(source)


def dump_part(part: Any) -> str:
    """Returns the compact JSON document of any part of a configuration."""
    document = _make_converter(allows_unknown=False).unstructure(part)
    return json.dumps(document, separators=(",", ":"))


def compress_document(document_text: str) -> bytes:
    """Returns a document as it is stored in log records."""
    return zlib.compress(document_text.encode())


def decompress_document(compressed: bytes) -> str | None:
    """Returns a document from a record; None if invalid or too large."""
    try:
        decompressor = zlib.decompressobj()
        text = decompressor.decompress(compressed, _MAX_DOCUMENT_BYTES)
        return text.decode() if decompressor.eof else None
    except (zlib.error, UnicodeDecodeError):
        return None


def _parse_json(text: str) -> tuple[Any, tuple[data.Finding, ...]]:
    """Parses JSON; the finding on invalid syntax has a line and column."""
    try:
        document = json.loads(
            text,
            object_pairs_hook=_build_object,
            parse_constant=_refuse_constant,
        )
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        return None, (data.Finding(place, f"Not JSON: {error.msg}."),)
    except _DuplicateKeyError as error:
        message = f"An object has the key {error.key!r} twice."
        return None, (data.Finding(_ROOT_PLACE, message),)
    except (ValueError, RecursionError, TypeError) as error:
        return None, (data.Finding(_ROOT_PLACE, f"Not JSON: {error}."),)
    return document, ()


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Builds a JSON object.

    Raises:
      _DuplicateKeyError: A key appears twice.
    """
    built: dict[str, Any] = {}
    for key, value in pairs:
        if key in built:
            raise _DuplicateKeyError(key)
        built[key] = value
    return built


def _refuse_constant(name: str) -> Any:
    """Refuses NaN and infinity, which Python accepts and JSON excludes.

    Raises:
      ValueError: Always.
    """
    raise ValueError(f"{name} is not a JSON number")


def _structure(
    document: Any, part_type: type[_T], allows_unknown: bool
) -> tuple[_T | None, tuple[data.Finding, ...]]:
    """Builds a configuration record; returns a finding for each bad field."""
    try:
        return _make_converter(allows_unknown).structure(
            document, part_type
        ), ()
    except cattrs.BaseValidationError as error:
        return None, _build_findings(error)
    except (
        ValueError,
        TypeError,
        AttributeError,
        RecursionError,
        cattrs.errors.StructureHandlerNotFoundError,
    ) as error:
        return None, (data.Finding(_ROOT_PLACE, f"{error}."),)


def _build_findings(
    error: cattrs.BaseValidationError,
) -> tuple[data.Finding, ...]:
    """Returns a finding for each error that cattrs collected."""
    messages = cattrs.transform_error(error, format_exception=_describe_error)
    return tuple(_build_finding(message) for message in messages)


def _describe_error(error: BaseException, expected: type[Any] | None) -> str:
    """Returns the message of the error of one field."""
    if isinstance(error, KeyError):
        return f"the field {error.args[0]!r} is missing"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(map(str, error.extra_fields)))
        return f"unknown fields: {names}"
    if isinstance(error, TypeError) and expected and attrs.has(expected):
        return "the value is not an object"
    return str(error)


def _format_value(value: Any) -> str:
    """Returns a value as shown in a message, truncated to its maximum."""
    text = repr(value)
    return (
        text
        if len(text) <= _MAX_VALUE_CHARACTERS
        else f"{text[:_MAX_VALUE_CHARACTERS]}..."
    )


def _build_finding(text: str) -> data.Finding:
    """Builds a finding from a cattrs message of the form `message @ path`."""
    message, separator, place = text.rpartition(" @ ")
    if not separator:
        message, place = text, _ROOT_PLACE
    return data.Finding(place, f"{message[:1].upper()}{message[1:]}.")


@functools.cache
def _make_converter(allows_unknown: bool) -> cattrs.Converter:
    """Returns the converter between records and JSON values."""
    converter = cattrs.Converter(
        forbid_extra_keys=not allows_unknown,
        omit_if_default=True,
        prefer_attrib_converters=False,
    )
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(str, _structure_str)
    # Without hooks of their own, string enums would get the hook of `str`.
    for enumeration in (configuration.WorkKind, configuration.Role):
        converter.register_structure_hook(enumeration, _structure_enum)
    converter.register_structure_hook_func(
        _is_tuple, functools.partial(_structure_tuple, converter)
    )
    converter.register_structure_hook(
        configuration.Configuration,
        gen.make_dict_structure_fn(
            configuration.Configuration,
            converter,
            _cattrs_forbid_extra_keys=not allows_unknown,
            version=gen.override(omit=True),
        ),
    )
    converter.register_unstructure_hook(
        configuration.Configuration,
        gen.make_dict_unstructure_fn(
            configuration.Configuration,
            converter,
            _cattrs_omit_if_default=True,
            version=gen.override(omit=True),
        ),
    )
    return converter


def _is_tuple(kind: Any) -> bool:
    """Returns whether a type is a generic tuple."""
    return typing.get_origin(kind) is tuple


def _structure_enum(value: Any, kind: Any) -> Any:
    """Accepts the values of an enum; raises ValueError for others."""
    allowed = [member.value for member in kind]
    if value not in allowed:
        raise ValueError(
            f"{_format_value(value)} is not one of {', '.join(allowed)}"
        )
    return kind(value)


def _structure_tuple(
    converter: cattrs.Converter, value: Any, kind: Any
) -> tuple[Any, ...]:
    """Accepts JSON arrays only; raises TypeError for other values."""
    if not isinstance(value, list):
        raise TypeError(f"{_format_value(value)} is not an array")
    list_type: Any = types.GenericAlias(list, typing.get_args(kind)[:1])
    return tuple(converter.structure(value, list_type))


def _structure_int(value: Any, _: Any) -> int:
    """Accepts integers only; raises TypeError for other values."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{_format_value(value)} is not a whole number")
    return value


def _structure_float(value: Any, _: Any) -> float:
    """Accepts numbers only.

    Raises:
      TypeError: The value is not a number.
      ValueError: The integer is too large for a float.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{_format_value(value)} is not a number")
    try:
        return float(value)
    except OverflowError as error:
        raise ValueError("the number is too large") from error


def _structure_bool(value: Any, _: Any) -> bool:
    """Accepts true and false only; raises TypeError for other values."""
    if not isinstance(value, bool):
        raise TypeError(f"{_format_value(value)} is not true or false")
    return value


def _structure_str(value: Any, _: Any) -> str:
    """Accepts strings only; raises TypeError for other values."""
    if not isinstance(value, str):
        raise TypeError(f"{_format_value(value)} is not a text")
    return value
