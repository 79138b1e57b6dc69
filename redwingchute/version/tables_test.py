"""Tests of filtering and rendering tables of query results."""

import json

import pytest

from redwingchute.core import data
from redwingchute.version import commands
from redwingchute.version import tables

_TABLE = tables.Table(
    ("budget", "account", "tokens", "suspended"),
    (
        ("yield", ("huon", "tamar"), 1_200, False),
        ("sheets", ("perth",), 7, True),
        ("idle", (), None, False),
    ),
    ("Availability zone bunbury-c did not answer.",),
)


def test_text_is_aligned_and_ends_with_the_notes() -> None:
    assert tables.render_text(_TABLE).splitlines() == [
        "budget  account      tokens  suspended",
        "yield   huon, tamar  1200    no",
        "sheets  perth        7       yes",
        "idle                 -       no",
        "note: Availability zone bunbury-c did not answer.",
    ]


def test_numbers_are_right_aligned() -> None:
    table = tables.Table(("tokens",), ((1_000,), (7,)))
    assert tables.render_text(table) == "tokens\n  1000\n     7\n"


def test_empty_tables_are_rendered() -> None:
    assert tables.render_text(tables.Table(("a", "b"))) == "a  b\n"
    assert tables.render_text(tables.Table(())) == "\n"


def test_json_keeps_the_types() -> None:
    loaded = json.loads(tables.render_json(_TABLE))
    assert loaded["rows"][0] == ["yield", ["huon", "tamar"], 1_200, False]
    assert loaded["notes"] == list(_TABLE.notes)


_FILTERS: list[tuple[str, str, str | float, list[str]]] = [
    ("budget", "=", "yield", ["yield"]),
    ("budget", "!=", "yield", ["sheets", "idle"]),
    ("account", "=", "tamar", ["yield"]),
    ("account", "!=", "tamar", ["sheets", "idle"]),
    ("account", "<", "tamar", []),
    ("tokens", ">", 7, ["yield"]),
    ("tokens", ">=", 7, ["yield", "sheets"]),
    ("tokens", "<", 1_200, ["sheets", "idle"]),
    ("tokens", "=", 1_200.0, ["yield"]),
    ("suspended", "=", "yes", ["sheets"]),
]


@pytest.mark.parametrize(
    ("column", "comparison", "value", "expected"), _FILTERS
)
def test_filters_select_matching_rows(
    column: str, comparison: str, value: str | float, expected: list[str]
) -> None:
    condition = commands.Filter(column, commands.Comparison(comparison), value)
    selected = tables.select_rows(_TABLE, (condition,), 0)
    assert [row[0] for row in selected.rows] == expected


def test_a_limit_adds_a_note_on_omitted_rows() -> None:
    selected = tables.select_rows(_TABLE, (), 1)
    assert len(selected.rows) == 1
    assert selected.notes[-1] == "2 more rows are not shown."


def test_findings_are_rendered_as_text_and_json() -> None:
    findings = (data.Finding("line 1 column 2", "Found 'x'."),)
    text = tables.render_findings_text(findings)
    assert text == "line 1 column 2: Found 'x'.\n"
    loaded = json.loads(tables.render_findings_json("bad_command", findings))
    assert loaded["error"]["findings"][0]["place"] == "line 1 column 2"
