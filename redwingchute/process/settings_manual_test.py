"""Tests that the manual agrees with the code."""

import pathlib
import re

import pytest

from redwingchute.process import settings_manual
from redwingchute.version import commands
from redwingchute.version import statement_parser

_MANUAL = pathlib.Path(__file__).parents[2] / "docs" / "OPERATING.md"


def _read_examples() -> list[str]:
    """Returns the commands in the manual's examples."""
    text = _MANUAL.read_text(encoding="utf-8")
    blocks = re.findall(r"```command\n(.*?)```", text, re.DOTALL)
    return [line for block in blocks for line in block.splitlines()]


def test_the_table_of_settings_is_current() -> None:
    text = _MANUAL.read_text(encoding="utf-8")
    assert settings_manual.update_manual(text) == text


def test_a_manual_without_markers_is_refused() -> None:
    with pytest.raises(ValueError, match="no markers"):
        settings_manual.update_manual("text")


@pytest.mark.parametrize("example", _read_examples())
def test_every_example_is_a_command(example: str) -> None:
    statement, findings = statement_parser.parse_statement(example)
    assert statement is not None, findings


def test_every_table_has_an_example() -> None:
    shown = {
        statement.subject
        for example in _read_examples()
        for statement in [statement_parser.parse_statement(example)[0]]
        if isinstance(statement, commands.Show)
    }
    assert shown == set(commands.Subject)
