"""Tests of the command that checks a configuration before it is sent."""

import json
import pathlib
from typing import Any

import pytest

from redwingchute import main
from redwingchute.testing import gateway_rig


def _write(folder: pathlib.Path, name: str, document: dict[str, Any]) -> str:
    """Writes a document and returns its path."""
    path = folder / name
    path.write_text(json.dumps(document))
    return str(path)


def test_a_sound_configuration_passes(tmp_path: pathlib.Path) -> None:
    path = _write(tmp_path, "new.json", gateway_rig.make_document())
    assert main.check_configuration(path) == 0


# Guards against a check that shows only the first of several errors.
def test_all_errors_are_printed_with_their_places(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    document = gateway_rig.make_document()
    del document["routes"][0]["host"]
    document["routes"][2]["type"] = "odd"
    document["tenants"][0]["reserved"] = "many"
    path = _write(tmp_path, "new.json", document)
    assert main.check_configuration(path) == 2
    printed = capsys.readouterr().err
    for place in ("routes[0]", "routes[2]", "tenants[0]"):
        assert f"{path}: {place}: " in printed


def test_a_file_that_is_no_document_is_refused(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "new.json"
    path.write_text('{"version": 1,\n}')
    assert main.check_configuration(str(path)) == 2
    assert "line 2, column 1" in capsys.readouterr().err
    assert main.check_configuration(str(tmp_path / "missing.json")) == 2


def test_differences_from_the_version_in_force_are_printed(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    in_force = _write(tmp_path, "old.json", gateway_rig.make_document(3))
    document = gateway_rig.make_document(version=3)
    document["routes"][0]["timeoutMs"] = 900
    path = _write(tmp_path, "new.json", document)
    assert main.check_configuration(path, against=in_force) == 1
    printed = capsys.readouterr()
    assert "route lookup: timeout_ms 2000 -> 900" in printed.out
    assert "Version 3 is not above 3" in printed.err
