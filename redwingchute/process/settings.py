"""The settings of a router, read from flags and environment variables.

Every setting is a field of RouterSettings. The names of its flag and its
environment variable are derived from the field name. Flags take precedence
over variables. All findings are reported together, so that an operator can
correct all of them before the next start.
"""

from collections.abc import Callable
from collections.abc import Mapping
import ipaddress
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.core import data

ENVIRONMENT_PREFIX = "REDWINGCHUTE_"
_MIN_FLEET_KEY_CHARACTERS = 16


@attrs.frozen
class _Spec:
    """How a setting is parsed and described.

    Attributes:
      parse: Parses the text of a value; raises ValueError if it is invalid.
      allowed: The allowed values, for findings and the manual.
      help: The help text.
      is_secret: Whether findings must not show the value.
    """

    parse: Callable[[str], Any]
    allowed: str
    help: str
    is_secret: bool = False


def _parse_name(text: str) -> str:
    """Parses a name of letters, digits, dots, dashes and underscores."""
    stripped = text.replace("-", "").replace("_", "").replace(".", "")
    if not stripped.isalnum() or not text.isascii():
        raise ValueError(text)
    return text


def _parse_listen(text: str) -> http_client.Address:
    """Parses `ip:port`; port 0 selects a free port."""
    address = http_client.Address.parse(text)
    ipaddress.ip_address(address.ip)
    if not 0 <= address.port <= 65_535:
        raise ValueError(text)
    return address


def _parse_address(text: str) -> http_client.Address:
    """Parses `ip:port` with a port other than 0."""
    address = _parse_listen(text)
    if address.port == 0:
        raise ValueError(text)
    return address


def _parse_peers(text: str) -> tuple[data.Host, ...]:
    """Parses a comma-separated list of `name=zone@ip:port`."""
    peers = []
    for part in filter(None, text.split(",")):
        name, separator, rest = part.strip().partition("=")
        zone, at_sign, address = rest.partition("@")
        if not separator or not at_sign:
            raise ValueError(part)
        peers.append(
            data.Host(
                _parse_name(name),
                _parse_name(zone),
                str(_parse_address(address)),
            )
        )
    return tuple(peers)


def _parse_fleet_key(text: str) -> bytes:
    """Parses the shared key of the fleet."""
    if len(text) < _MIN_FLEET_KEY_CHARACTERS:
        raise ValueError("too short")
    return text.encode()


def _make_int_parser(low: int, high: int) -> Callable[[str], int]:
    """Returns a parser of integers from `low` to `high`."""

    def parse(text: str) -> int:
        number = int(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def _parse_log_level(text: str) -> str:
    """Parses the name of a log level."""
    if text.upper() not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        raise ValueError(text)
    return text.upper()


def _setting(
    parse: Callable[[str], Any],
    allowed: str,
    help_text: str,
    default: Any = attrs.NOTHING,
    is_secret: bool = False,
) -> Any:
    """Returns an attrs field with a `_Spec` in its metadata."""
    spec = _Spec(parse, allowed, help_text, is_secret)
    return attrs.field(default=default, metadata={"spec": spec})


def _int_setting(
    low: int, high: int, default: int, help_text: str, unit: str = ""
) -> Any:
    """Returns an attrs field for an integer setting.

    Args:
      low: The lowest allowed value.
      high: The highest allowed value.
      default: The value if none is given.
      help_text: The help text.
      unit: The unit in the text of allowed values, such as " of bytes".
    """
    allowed = f"a whole number{unit} from {low} to {high}"
    return _setting(_make_int_parser(low, high), allowed, help_text, default)


_NAME_ALLOWED = "letters, digits, '.', '-' and '_'"
_LISTEN_ALLOWED = "ip:port, port 0 for a free one"


@attrs.frozen
class RouterSettings:
    """The validated settings of `redwingchute router`."""

    host_name: str = _setting(
        _parse_name, _NAME_ALLOWED, "The name of this entry host."
    )
    zone: str = _setting(
        _parse_name, _NAME_ALLOWED, "The availability zone of this host."
    )
    platform: http_client.Address = _setting(
        _parse_address, "ip:port", "The address of the platform's services."
    )
    fleet_key: bytes = _setting(
        _parse_fleet_key,
        f"at least {_MIN_FLEET_KEY_CHARACTERS} characters",
        "The key that routers of this fleet prove to each other.",
        is_secret=True,
    )
    listen: http_client.Address = _setting(
        _parse_listen,
        _LISTEN_ALLOWED,
        "Where callers connect.",
        http_client.Address("127.0.0.1", 8080),
    )
    admin_listen: http_client.Address = _setting(
        _parse_listen,
        _LISTEN_ALLOWED,
        "Where health, metrics and the administration API are served.",
        http_client.Address("127.0.0.1", 8081),
    )
    peer_listen: http_client.Address = _setting(
        _parse_listen,
        _LISTEN_ALLOWED,
        "Where other routers connect.",
        http_client.Address("127.0.0.1", 8082),
    )
    peer_advertise: http_client.Address | None = _setting(
        _parse_address,
        "ip:port",
        "The address that other routers dial, if it is not peer_listen.",
        None,
    )
    peers: tuple[data.Host, ...] = _setting(
        _parse_peers,
        "name=zone@ip:port, separated by commas",
        "Other routers to start from; the rest is learned from them.",
        (),
    )
    shards: int = _int_setting(
        1,
        4_096,
        8,
        "The number of ledger shards; the same on every router, for ever.",
    )
    max_body_bytes: int = _int_setting(
        1_024,
        64 * 1024 * 1024,
        4 * 1024 * 1024,
        "The largest request body.",
        " of bytes",
    )
    max_header_bytes: int = _int_setting(
        1_024,
        1024 * 1024,
        32 * 1024,
        "The largest request line and headers together.",
        " of bytes",
    )
    memory_mb: int = _int_setting(
        64,
        16_384,
        512,
        "The memory at which the host ends this process.",
        " of MiB",
    )
    max_descriptors: int = _int_setting(
        256,
        65_536,
        4_096,
        "The descriptors that this process may have.",
    )
    idle_ms: int = _int_setting(
        100,
        3_600_000,
        60_000,
        "How long a kept-alive connection may be idle.",
        " of milliseconds",
    )
    receive_ms: int = _int_setting(
        100,
        600_000,
        15_000,
        "How long each wait for more bytes of a request may last.",
        " of milliseconds",
    )
    balancer_lag_ms: int = _int_setting(
        0,
        600_000,
        2_000,
        "How long the balancer may send requests after readiness went off.",
        " of milliseconds",
    )
    stop_ms: int = _int_setting(
        0,
        3_600_000,
        300_000,
        "How long a graceful shutdown waits for open requests.",
        " of milliseconds",
    )
    log_level: str = _setting(
        _parse_log_level,
        "DEBUG, INFO, WARNING or ERROR",
        "The lowest level of log lines.",
        "INFO",
    )


@attrs.frozen
class SettingDescription:
    """A row of the settings table in the manual."""

    flag: str
    variable: str
    allowed: str
    default: str
    help: str


def describe_settings() -> tuple[SettingDescription, ...]:
    """Returns the descriptions of all settings, in the order of the fields."""
    return tuple(
        SettingDescription(
            flag=name_flag(field.name),
            variable=name_variable(field.name),
            allowed=field.metadata["spec"].allowed,
            default=_format_default(field),
            help=field.metadata["spec"].help,
        )
        for field in attrs.fields(RouterSettings)
    )


def name_flag(field_name: str) -> str:
    """Returns the flag of a setting."""
    return "--" + field_name.replace("_", "-")


def name_variable(field_name: str) -> str:
    """Returns the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field_name.upper()


def load_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[RouterSettings | None, tuple[data.Finding, ...]]:
    """Builds the settings from flags and environment variables.

    Args:
      flags: The values of the flags by field name; None if not given.
      environment: The environment variables.

    Returns:
      The settings and no findings, or None and all findings.
    """
    values: dict[str, Any] = {}
    findings: list[data.Finding] = []
    for field in attrs.fields(RouterSettings):
        source, text = _find_text(field.name, flags, environment)
        if text is None:
            if field.default is attrs.NOTHING:
                findings.append(_report_missing(field))
            continue
        spec: _Spec = field.metadata["spec"]
        try:
            values[field.name] = spec.parse(text)
        except ValueError:
            findings.append(_report_invalid(source, text, spec))
    findings += _report_unknown(environment)
    if findings:
        return None, tuple(findings)
    return RouterSettings(**values), ()


def _find_text(
    field_name: str,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> tuple[str, str | None]:
    """Returns the source of a setting and its text, or None if not given."""
    text = flags.get(field_name)
    if text is not None:
        return name_flag(field_name), text
    variable = name_variable(field_name)
    return variable, environment.get(variable)


def _report_missing(field: "attrs.Attribute[Any]") -> data.Finding:
    """Returns the finding for a missing required setting."""
    place = f"{name_flag(field.name)} or {name_variable(field.name)}"
    allowed = field.metadata["spec"].allowed
    return data.Finding(place, f"The setting is required: {allowed}.")


def _report_invalid(source: str, text: str, spec: _Spec) -> data.Finding:
    """Returns the finding for an invalid value."""
    shown = "the given value" if spec.is_secret else f"'{text}'"
    return data.Finding(source, f"Found {shown}; allowed is {spec.allowed}.")


def _report_unknown(environment: Mapping[str, str]) -> list[data.Finding]:
    """Returns findings for variables with the prefix but without a setting."""
    known = {
        name_variable(field.name) for field in attrs.fields(RouterSettings)
    }
    return [
        data.Finding(name, "No setting has this name.")
        for name in sorted(environment)
        if name.startswith(ENVIRONMENT_PREFIX)
        and name not in known
        and name not in CLIENT_VARIABLES
    ]


# Variables that other commands read; a router ignores them.
CLIENT_VARIABLES = frozenset(
    {ENVIRONMENT_PREFIX + "ADMIN", ENVIRONMENT_PREFIX + "OPERATOR_KEY"}
)


def _format_default(field: "attrs.Attribute[Any]") -> str:
    """Returns the text of a default value in the manual."""
    if field.default is attrs.NOTHING:
        return "required"
    if field.default in (None, ()):
        return "none"
    return str(field.default)
