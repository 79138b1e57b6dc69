"""Tests of the settings file and of the files in deploy/."""

import pathlib
import tomllib

import pytest

from redwingchute.platform import settings_file
from redwingchute.process import read_size

_LINES = """\
nodeName=edge-huon-1
ip=10.1.0.40
zone=huon
listen.frontend=10.1.0.40:8227
listen.ready=10.1.0.40:8220
internalPorts=7340,7355
bounds.graceS=8
bounds.retryBudgetRatio=0.2
bounds.retrySlack=56
platform.address=10.200.1.7:8223
newField=whatever
"""


def test_fields_become_settings() -> None:
    settings, findings = settings_file.decode_settings(_LINES, "file")
    assert not findings
    assert settings is not None
    assert settings.host_name == "edge-huon-1"
    assert str(settings.listen) == "10.1.0.40:8227"
    assert str(settings.peer_listen) == "10.1.0.40:7340"
    assert str(settings.log_address) == "10.200.1.7:8223"
    assert settings.stop_ms == 8_000
    assert settings.retry_slack == 56


def test_bounds_and_processor_time_become_settings() -> None:
    text = (
        _LINES
        + "bounds.drainMs=4000\nbounds.configApplyMs=3000\n"
        + "limits.cpuShare=0.537\nlimits.cpuCores=2\n"
    )
    settings, findings = settings_file.decode_settings(text, "file")
    assert not findings
    assert settings is not None
    assert settings.drain_ms == 4_000
    assert settings.configuration_fresh_ms == 3_000
    assert settings.processor_share == 0.537 * 2


# The limits of the host were ignored, so that nothing was bounded by them.
def test_the_limits_of_the_host_are_read() -> None:
    text = _LINES + "limits.memoryMb=150\nlimits.maxFds=4100\n"
    settings, findings = settings_file.decode_settings(text, "file")
    assert not findings
    assert settings is not None
    assert (settings.memory_mb, settings.max_descriptors) == (150, 4_100)
    text = _LINES + "limits.memoryMb=0\nlimits.maxFds=many\n"
    settings, findings = settings_file.decode_settings(text, "file")
    assert settings is None
    assert [finding.place for finding in findings] == [
        "file: limits.memoryMb",
        "file: limits.maxFds",
    ]


# Guards against reads that are sized by the figures of one deployment.
def test_the_limits_of_reads_are_those_of_the_deployment() -> None:
    text = _LINES + (
        "limits.linkMbps=5\nplatform.recordBytes=65536\nplatform.keep_s=300\n"
    )
    settings, findings = settings_file.decode_settings(text, "file")
    assert not findings
    assert settings is not None
    assert settings.read_limits == read_size.ReadLimits(
        625_000, 65_536, 300_000
    )


@pytest.mark.parametrize("number", ["0", "-1", "inf", "nan"])
def test_a_limit_of_reads_that_bounds_nothing_is_not_stated(
    number: str,
) -> None:
    names = ("limits.linkMbps", "platform.recordBytes", "platform.keep_s")
    text = _LINES + "".join(f"{name}={number}\n" for name in names)
    settings, findings = settings_file.decode_settings(text, "file")
    assert not findings
    assert settings is not None
    assert settings.read_limits == read_size.ReadLimits()


def test_zones_have_the_regions_of_the_settings() -> None:
    text = _LINES + "region=south\nzones.huon=south\nzones.a.b=east\nzones.c=\n"
    settings, findings = settings_file.decode_settings(text, "file")
    assert not findings
    assert settings is not None
    assert settings.region == "south"
    assert settings.zone_regions == {"huon": "south", "a.b": "east"}


def test_the_price_of_leaving_the_zone_is_a_variable(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "settings.conf"
    path.write_text(_LINES)
    for price, expected in (("", 0.0), ("1200.5", 1_200.5), ("0", 0.0)):
        settings, findings = settings_file.load_settings(
            {
                settings_file.PATH_VARIABLE: str(path),
                settings_file.CROSSING_PRICE_VARIABLE: price,
            }
        )
        assert not findings
        assert settings is not None
        assert settings.crossing_ms_per_mb == expected


@pytest.mark.parametrize("price", ["much", "-1", "nan", "inf"])
def test_a_price_that_is_none_is_reported(price: str) -> None:
    settings, findings = settings_file.decode_settings(_LINES, "file", price)
    assert settings is None
    assert [finding.place for finding in findings] == [
        settings_file.CROSSING_PRICE_VARIABLE
    ]


def test_an_interval_that_is_not_positive_is_reported() -> None:
    text = _LINES + "bounds.drainMs=0\nlimits.cpuShare=-1\n"
    _, findings = settings_file.decode_settings(text, "file")
    assert [finding.place for finding in findings] == [
        "file: bounds.drainMs",
        "file: limits.cpuShare",
    ]


def test_every_invalid_field_is_reported() -> None:
    text = _LINES.replace("zone=huon\n", "").replace(":8227", "")
    settings, findings = settings_file.decode_settings(text, "file")
    assert settings is None
    assert [finding.place for finding in findings] == [
        "file: zone",
        "file: listen.frontend",
    ]


def test_a_missing_file_is_a_finding() -> None:
    variable = {settings_file.PATH_VARIABLE: "no/such/file"}
    settings, findings = settings_file.load_settings(variable)
    assert settings is None
    assert findings


def test_the_deployed_packages_are_those_of_the_project() -> None:
    project = tomllib.loads(pathlib.Path("pyproject.toml").read_text())
    deployed = pathlib.Path("deploy/requirements.txt").read_text().split()
    assert deployed == project["project"]["dependencies"]


def test_the_deploy_file_starts_this_program() -> None:
    deploy = tomllib.loads(pathlib.Path("deploy/system.toml").read_text())
    assert deploy["roles"]["router"]["run"].endswith(
        "redwingchute.platform.main"
    )


def test_dividing_the_room_is_a_variable() -> None:
    for text, expected in (("", False), ("0", False), ("1", True)):
        settings, findings = settings_file.decode_settings(
            _LINES, "file", divided_room=text
        )
        assert not findings
        assert settings is not None
        assert settings.divides_room is expected
    _, findings = settings_file.decode_settings(
        _LINES, "file", divided_room="yes"
    )
    assert [finding.place for finding in findings] == [
        settings_file.DIVIDED_ROOM_VARIABLE
    ]
