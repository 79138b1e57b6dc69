"""Encodes attrs records as Cap'n Proto messages and decodes them.

The records are plain attrs classes, and the schema files mirror them by name.
The conversion follows the type annotations of the class. A new message thus
needs a record class, a schema struct of the same name and a registration, but
no conversion code. pycapnp parses the schemas at run time, so the build needs
no code generator.
"""

from collections.abc import Callable
import dataclasses
import enum
import functools
import operator
import pathlib
import types
import typing
from typing import Any
from typing import TypeAlias

import attrs
import capnp

capnp.remove_import_hook()

_SCHEMA_FOLDER = pathlib.Path(__file__).parent

# Larger messages are refused before they are parsed.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024


@attrs.frozen
class Registration:
    """Assigns a record class the number that identifies it on the wire.

    Attributes:
      kind: The number; it is never reused for another class.
      record_type: The attrs class.
      schema_file: The name of the schema file in this package.
    """

    kind: int
    record_type: type[Any]
    schema_file: str


@attrs.frozen
class Decoded:
    """A decoded record.

    Attributes:
      correlation: The number by which the sender of a request recognizes the
        reply; 0 for records that expect none.
      record: The record.
    """

    correlation: int
    record: Any


@dataclasses.dataclass(frozen=True)
class UnknownKind:
    """A well-formed envelope whose kind is not registered in this release."""

    kind: int
    correlation: int
    body: bytes


@dataclasses.dataclass(frozen=True)
class DecodeError:
    """Bytes that are not a valid message."""

    message: str


@functools.cache
def load_schema(file_name: str) -> Any:
    """Returns a parsed schema file of this package."""
    return capnp.load(str(_SCHEMA_FOLDER / file_name))


class Codec:
    """Encodes and decodes the registered record classes."""

    def __init__(self, registrations: typing.Iterable[Registration]) -> None:
        """Creates a codec.

        Args:
          registrations: One for each record class that is sent in an envelope
            of its own.

        Raises:
          ValueError: Two registrations have the same kind or class.
        """
        self._by_kind: dict[int, Registration] = {}
        self._by_type: dict[type[Any], Registration] = {}
        for registration in registrations:
            if registration.kind in self._by_kind:
                raise ValueError(
                    f"kind {registration.kind} is registered twice"
                )
            if registration.record_type in self._by_type:
                raise ValueError(
                    f"{registration.record_type} is registered twice"
                )
            self._by_kind[registration.kind] = registration
            self._by_type[registration.record_type] = registration
        self._envelope = load_schema("envelope.capnp").Envelope

    def encode(self, record: Any, correlation: int = 0) -> bytes:
        """Returns the packed envelope of a registered record.

        Args:
          record: The record.
          correlation: A number by which the sender of a request recognizes the
            reply; 0 for records that expect none.
        """
        registration = self._by_type[type(record)]
        struct = _find_struct(registration)
        body = struct.new_message(**_to_wire_fields(record))
        envelope = self._envelope.new_message(
            kind=registration.kind,
            correlation=correlation,
            body=body.to_bytes_packed(),
        )
        return typing.cast(bytes, envelope.to_bytes_packed())

    def decode(self, data: bytes) -> Decoded | UnknownKind | DecodeError:
        """Decodes one packed envelope; malformed input raises no exception."""
        if len(data) > MAX_MESSAGE_BYTES:
            return DecodeError(f"message is too large: {len(data)} bytes")
        try:
            envelope = self._envelope.from_bytes_packed(data)
            registration = self._by_kind.get(envelope.kind)
            if registration is None:
                return UnknownKind(
                    envelope.kind, envelope.correlation, envelope.body
                )
            struct = _find_struct(registration)
            fields = struct.from_bytes_packed(envelope.body).to_dict()
            record = _from_wire_fields(registration.record_type, fields)
            return Decoded(envelope.correlation, record)
        except (capnp.KjException, ValueError, KeyError, TypeError) as error:
            return DecodeError(str(error).split("\n")[0])


def _find_struct(registration: Registration) -> Any:
    """Returns the schema struct of a registered class."""
    schema = load_schema(registration.schema_file)
    return getattr(schema, registration.record_type.__name__)


@functools.cache
def _to_camel_case(name: str) -> str:
    """Returns the name of a field in the schema."""
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


@functools.cache
def _to_variant_name(record_type: Any) -> str:
    """Returns the name of a union member class in the schema."""
    name: str = record_type.__name__
    return name[0].lower() + name[1:]


@functools.cache
def _list_union_members(hint: Any) -> tuple[Any, ...]:
    """Returns the member classes of a union type, or () for other types."""
    if typing.get_origin(hint) in (typing.Union, types.UnionType):
        return typing.get_args(hint)
    return ()


def _to_wire_fields(record: Any) -> dict[str, Any]:
    """Returns the schema field values of a record."""
    return {
        schema_name: write(getattr(record, name))
        for name, schema_name, write in _list_fields(
            record.__class__, _find_writer
        )
    }


def _from_wire_fields(record_type: Any, fields: dict[str, Any]) -> Any:
    """Builds a record from the field values of its schema struct."""
    return record_type(
        **{
            name: read(fields.get(schema_name))
            for name, schema_name, read in _list_fields(
                record_type, _find_reader
            )
        }
    )


# Converts a value to or from its form in pycapnp. The converter is determined
# once per type, not per value.
_Converter: TypeAlias = Callable[[Any], Any]


@functools.cache
def _list_fields(
    record_type: Any, find_converter: Callable[[Any], _Converter]
) -> tuple[tuple[str, str, _Converter], ...]:
    """Returns (field name, schema name, converter) for each field of a class.

    Args:
      record_type: The record class.
      find_converter: `_find_writer` or `_find_reader`.
    """
    hints = typing.get_type_hints(record_type)
    return tuple(
        (name, _to_camel_case(name), find_converter(hints[name]))
        for name in (field.name for field in attrs.fields(record_type))
    )


@functools.cache
def _find_writer(hint: Any) -> _Converter:
    """Returns the converter from values of a type to their form in pycapnp."""
    if typing.get_origin(hint) is tuple:
        write_item = _find_writer(typing.get_args(hint)[0])
        return lambda items: [write_item(item) for item in items]
    if _list_union_members(hint):
        return _to_wire_union
    if attrs.has(hint):
        return _to_wire_fields
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return operator.attrgetter("value")
    return _identity


@functools.cache
def _find_reader(hint: Any) -> _Converter:
    """Returns the converter from the form in pycapnp to values of a type.

    The converter raises ValueError if a value does not fit the type.
    """
    if typing.get_origin(hint) is tuple:
        read_item = _find_reader(typing.get_args(hint)[0])
        return lambda items: tuple(read_item(item) for item in items or ())
    if members := _list_union_members(hint):
        return functools.partial(_from_wire_union, _index_members(members))
    if attrs.has(hint):
        return lambda fields: _from_wire_fields(hint, fields or {})
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint
    return lambda value: hint() if value is None else value


def _identity(value: Any) -> Any:
    """Returns the value unchanged."""
    return value


def _index_members(members: tuple[Any, ...]) -> dict[str, Any]:
    """Returns the member classes of a union by their names in the schema."""
    return {_to_variant_name(member): member for member in members}


def _to_wire_union(value: Any) -> dict[str, Any]:
    """Returns the form of a union member in pycapnp."""
    return {_to_variant_name(value.__class__): _to_wire_fields(value)}


def _from_wire_union(members: dict[str, Any], value: dict[str, Any]) -> Any:
    """Builds the union member that is set in a decoded union."""
    for variant_name, fields in value.items():
        member = members.get(variant_name)
        if member is not None:
            return _from_wire_fields(member, fields)
    raise ValueError(f"unknown union member in {sorted(value)}")
