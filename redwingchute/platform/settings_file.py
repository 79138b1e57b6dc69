"""Reads the settings file that the platform writes for each process.

Lines have the form `a.b=value`. Unknown fields are ignored, since the platform
may add some. Missing and invalid fields are reported as findings.
"""

from collections.abc import Mapping
import hashlib
import math
import pathlib
from typing import TypeVar

import attrs

from redwingchute.connection import http_client
from redwingchute.core import data
from redwingchute.process import gateway_settings
from redwingchute.process import process_limits
from redwingchute.process import read_size

PATH_VARIABLE = "REDWINGCHUTE_CONFIG"
DEFAULT_PATH = "/etc/redwingchute/settings.conf"
# The price of leaving the zone in ms per MB. It is a setting of the product,
# which the platform's file has no field for.
CROSSING_PRICE_VARIABLE = "REDWINGCHUTE_ZONE_CROSSING_MS_PER_MB"
# Whether too little room is divided among client accounts: 1, or 0 for no.
DIVIDED_ROOM_VARIABLE = "REDWINGCHUTE_DIVIDE_ROOM"
_LINK_BYTES_PER_MBPS = 125_000
# The metrics port in deploy/system.toml.
_METRICS_PORT = 9464

_ValueT = TypeVar("_ValueT")


def load_settings(
    environment: Mapping[str, str],
) -> tuple[gateway_settings.GatewaySettings | None, list[data.Finding]]:
    """Loads the settings file that the environment names.

    Args:
      environment: The environment variables.

    Returns:
      The settings, or None if there are findings, and the findings.
    """
    path = pathlib.Path(environment.get(PATH_VARIABLE, DEFAULT_PATH))
    try:
        text = path.read_text()
    except OSError as error:
        return None, [data.Finding(str(path), str(error))]
    return decode_settings(
        text,
        str(path),
        environment.get(CROSSING_PRICE_VARIABLE, ""),
        environment.get(DIVIDED_ROOM_VARIABLE, ""),
    )


def decode_settings(
    text: str, place: str, crossing_price: str = "", divided_room: str = ""
) -> tuple[gateway_settings.GatewaySettings | None, list[data.Finding]]:
    """Decodes the text of a settings file.

    Args:
      text: The content of the file.
      place: The path of the file, for findings.
      crossing_price: The text of the price of leaving the zone; empty for none.
      divided_room: 1 if too little room is divided among client accounts; 0 or
        empty if not.

    Returns:
      The settings, or None if there are findings, and the findings.
    """
    fields = _split_lines(text)
    reader = _FieldReader(fields, place)
    first_port, _ = reader.read_ports("internalPorts")
    platform_address = reader.read_address("platform.address")
    decoded = gateway_settings.GatewaySettings(
        host_name=reader.read_text("nodeName"),
        zone=reader.read_text("zone"),
        listen=reader.read_address("listen.frontend"),
        ready_listen=reader.read_address("listen.ready"),
        peer_listen=http_client.Address(reader.read_text("ip"), first_port),
        metrics_listen=http_client.Address(
            reader.read_text("ip"), _METRICS_PORT
        ),
        log_address=platform_address,
        # The platform provides no secret. This key only keeps routers of
        # different fleets from connecting; the internal ports are reachable
        # from hosts only.
        fleet_key=hashlib.sha256(str(platform_address).encode()).digest(),
        stop_ms=int(1000 * reader.read_number("bounds.graceS", 8.0)),
        retry_ratio=reader.read_number("bounds.retryBudgetRatio", 0.2),
        retry_window_ms=int(
            1000 * reader.read_number("bounds.retryWindowS", 10.0)
        ),
        retry_slack=reader.read_number("bounds.retrySlack", 0.0),
        configuration_fresh_ms=int(
            reader.read_positive("bounds.configApplyMs", 2000.0)
        ),
        drain_ms=int(reader.read_positive("bounds.drainMs", 2000.0)),
        # cpuShare is a share of a core, cpuCores the speed of that core.
        processor_share=reader.read_positive("limits.cpuShare", 1.0)
        * reader.read_positive("limits.cpuCores", 1.0),
        region=reader.read_optional_text("region"),
        zone_regions=reader.read_table("zones"),
        crossing_ms_per_mb=_read_price(crossing_price, reader.findings),
        divides_room=_read_switch(divided_room, reader.findings),
        memory_mb=reader.read_positive(
            "limits.memoryMb", process_limits.DEFAULT_MEMORY_MB
        ),
        max_descriptors=reader.read_positive(
            "limits.maxFds", process_limits.DEFAULT_MAX_DESCRIPTORS
        ),
        read_limits=_read_limits(reader),
    )
    return (None if reader.findings else decoded), reader.findings


class _FieldReader:
    """Reads typed fields and collects findings about invalid ones.

    Attributes:
      findings: The findings so far.
    """

    def __init__(self, fields: dict[str, str], place: str) -> None:
        """Creates a reader.

        Args:
          fields: The fields of the settings file.
          place: The path of the file, for findings.
        """
        self.findings: list[data.Finding] = []
        self._fields = fields
        self._place = place

    def read_text(self, name: str) -> str:
        """Returns a required field as text."""
        if name not in self._fields:
            self._add_finding(name, "is missing")
        return self._fields.get(name, "")

    def read_optional_text(self, name: str) -> str:
        """Returns a field as text; empty if it is absent."""
        return self._fields.get(name, "")

    def read_table(self, name: str) -> dict[str, str]:
        """Returns the fields below a name, by the rest of their names."""
        prefix = f"{name}."
        return {
            field.removeprefix(prefix): value
            for field, value in self._fields.items()
            if field.startswith(prefix) and value
        }

    def read_address(self, name: str) -> http_client.Address:
        """Returns a required field of the form ip:port."""
        text = self.read_text(name)
        try:
            return http_client.Address.parse(text)
        except ValueError as error:
            self._add_finding(name, str(error))
            return http_client.Address("", 0)

    def read_ports(self, name: str) -> tuple[int, int]:
        """Returns a required range of ports of the form first,last."""
        first, _, last = self.read_text(name).partition(",")
        try:
            return int(first), int(last)
        except ValueError:
            self._add_finding(name, "is not of the form first,last")
            return 0, 0

    def read_number(self, name: str, default: float) -> float:
        """Returns an optional number; the default if the field is absent."""
        try:
            return float(self._fields.get(name, default))
        except ValueError:
            self._add_finding(name, "is not a number")
            return default

    def read_positive(self, name: str, default: float) -> float:
        """Returns an optional number that must be greater than 0."""
        number = self.read_number(name, default)
        if number > 0:
            return number
        self._add_finding(name, "is not greater than 0")
        return default

    def _add_finding(self, name: str, message: str) -> None:
        """Adds a finding about a field."""
        self.findings.append(data.Finding(f"{self._place}: {name}", message))


def _read_limits(reader: _FieldReader) -> read_size.ReadLimits:
    """Returns what bounds a read of the store.

    What is not a number greater than 0, or has no bound, counts as not stated.
    """
    stated = {
        "link_bytes_per_s": reader.read_number("limits.linkMbps", 0.0)
        * _LINK_BYTES_PER_MBPS,
        "record_bytes": reader.read_number("platform.recordBytes", 0.0),
        "keep_ms": 1000 * reader.read_number("platform.keep_s", 0.0),
    }
    return attrs.evolve(
        read_size.ReadLimits(),
        **{
            name: number
            for name, number in stated.items()
            if 0 < number < math.inf
        },
    )


def _read_price(text: str, findings: list[data.Finding]) -> float:
    """Returns the price of leaving the zone; adds a finding if it is none."""
    if not text:
        return 0.0
    try:
        price = float(text)
    except ValueError:
        price = math.nan
    if 0 <= price < math.inf:
        return price
    findings.append(
        data.Finding(CROSSING_PRICE_VARIABLE, "is not a number from 0 on")
    )
    return 0.0


def _read_switch(text: str, findings: list[data.Finding]) -> bool:
    """Returns whether room is divided; adds a finding if that is not said."""
    if text in ("", "0", "1"):
        return text == "1"
    findings.append(data.Finding(DIVIDED_ROOM_VARIABLE, "is neither 0 nor 1"))
    return False


def _split_lines(text: str) -> dict[str, str]:
    """Returns the fields of a settings file."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {name.strip(): value.strip() for name, _, value in pairs if name}
