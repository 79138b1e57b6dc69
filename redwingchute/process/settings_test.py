"""Tests of the settings."""

import pytest

from redwingchute.process import settings

_REQUIRED = {
    "host_name": "huon-1",
    "zone": "huon",
    "platform": "127.0.0.1:9000",
    "fleet_key": "0123456789abcdef",
}


def test_flags_take_precedence_over_variables() -> None:
    loaded, findings = settings.load_settings(
        {**_REQUIRED, "shards": "4"}, {"REDWINGCHUTE_SHARDS": "16"}
    )
    assert findings == ()
    assert loaded is not None
    assert loaded.shards == 4


def test_all_findings_are_reported_together() -> None:
    flags = {**_REQUIRED, "zone": "h u", "shards": "0", "peers": "nobody"}
    del flags["platform"]
    environment = {
        "REDWINGCHUTE_IDLE_MS": "soon",
        "REDWINGCHUTE_IDLE_MSS": "7",
    }
    loaded, findings = settings.load_settings(flags, environment)
    assert loaded is None
    assert [finding.place for finding in findings] == [
        "--zone",
        "--platform or REDWINGCHUTE_PLATFORM",
        "--peers",
        "--shards",
        "REDWINGCHUTE_IDLE_MS",
        "REDWINGCHUTE_IDLE_MSS",
    ]
    assert "from 1 to 4096" in findings[3].message


def test_a_bad_secret_is_not_shown() -> None:
    _, findings = settings.load_settings(
        {**_REQUIRED, "fleet_key": "hunter2"}, {}
    )
    assert "hunter2" not in findings[0].message


@pytest.mark.parametrize(
    "text", ["127.0.0.1", "nohost:1", "127.0.0.1:70000", ":8", "127.0.0.1:x"]
)
def test_bad_addresses_are_reported(text: str) -> None:
    loaded, findings = settings.load_settings({**_REQUIRED, "listen": text}, {})
    assert loaded is None
    assert findings[0].place == "--listen"


def test_peers_have_a_zone_and_an_address() -> None:
    loaded, _ = settings.load_settings(
        {**_REQUIRED, "peers": "a=z1@127.0.0.1:1,b=z2@127.0.0.1:2"}, {}
    )
    assert loaded is not None
    assert [(p.name, p.zone) for p in loaded.peers] == [
        ("a", "z1"),
        ("b", "z2"),
    ]
