"""Tests of loading and validating configuration documents."""

import json
from typing import Any

import attrs
import hypothesis
from hypothesis import strategies
import pytest

from redwingchute.core import configuration
from redwingchute.testing import configuration_builders as builders
from redwingchute.version import loader
from redwingchute.version import validation


def _load_document() -> Any:
    """Returns a valid document as JSON values for a test to modify."""
    return json.loads(loader.dump_configuration(builders.make_configuration()))


def test_document_survives_a_round_trip() -> None:
    expected = builders.make_configuration(version=7)
    text = loader.dump_configuration(expected)
    assert loader.load_configuration(text, 7) == (expected, ())


def test_empty_document_is_an_empty_configuration() -> None:
    loaded, findings = loader.load_configuration("{}", 3)
    assert findings == ()
    assert loaded == configuration.Configuration(version=3)


# The path of a value, the invalid value to set there, the start of the place
# that the finding must have, and a text that its message must contain.
_FAULTS = [
    ("client_accounts.0.budgte", "x", "$.client_accounts[0]", "budgte"),
    ("client_accounts.0.budget", "none", "$.client_accounts[0].budget", "no"),
    ("client_accounts.0.budget", 5, "$.client_accounts[0].budget", "text"),
    ("client_accounts.0.models.0", "m", "$.client_accounts[0].models[0]", "m"),
    ("client_accounts.0.services.0", "m", "$.client_accounts[0].serv", "m"),
    ("client_accounts.0.time_zone", "Mars/X", "$.client_accounts[0].t", "IA"),
    ("client_accounts.0.key_hashes.0", "ab", "$.client_accounts[0].k", "SHA"),
    ("client_accounts.0.patience.0.kind", "x", "$.client_accounts[0].p", "x"),
    (
        "client_accounts.0.patience.0.deadline_ms",
        0,
        "$.client_accounts[0].patience[0].deadline_ms",
        "between",
    ),
    ("client_accounts.0.name", "a b", "$.client_accounts[0].name", "name"),
    ("budgets.0.reserve_share", 1.5, "$.budgets[0].reserve_share", "betw"),
    ("budgets.0.lease_horizon_ms", "9", "$.budgets[0].lease_hor", "whole"),
    ("models.0.upstreams.0.address", "host:1", "$.models[0].up", "IP"),
    ("models.0.upstreams.0.address", "127.0.0.1:0", "$.models[0].up", "IP"),
    ("models.0.upstreams.0.slots", 0, "$.models[0].upstreams[0].slots", "bet"),
    ("models.0.upstreams.0.name", "ledger-1", "$.services[0].up", "already"),
    ("services.0.is_repeatable", "no", "$.services[0].is_rep", "true"),
    ("operators.0.role", "root", "$.operators[0].role", "root"),
    ("operators.0.name", "bo", "$.operators[1].name", "already"),
    ("retry", {"base_delay_ms": 2_000}, "$.retry.base_delay_ms", "larger"),
    ("client_accounts.0.models", "ab", "$.client_accounts[0].models", "arr"),
    ("client_accounts.0", 5, "$.client_accounts[0]", "object"),
    ("surprise", 1, "$", "surprise"),
]


@pytest.mark.parametrize(("path", "value", "place", "expected_text"), _FAULTS)
def test_fault_is_reported_at_its_place(
    path: str, value: Any, place: str, expected_text: str
) -> None:
    document = _load_document()
    target = document
    *parents, last = path.split(".")
    for name in parents:
        target = target[int(name) if name.isdigit() else name]
    target[int(last) if last.isdigit() else last] = value
    loaded, findings = loader.load_configuration(json.dumps(document), 1)
    assert loaded is None
    assert any(
        finding.place.startswith(place) and expected_text in finding.message
        for finding in findings
    ), findings


def test_all_findings_are_reported_together() -> None:
    document = _load_document()
    document["budgets"][0]["reserve_share"] = 2
    document["client_accounts"][0]["time_zone"] = "Nowhere"
    document["models"][0]["upstreams"][0]["slots"] = -1
    _, findings = loader.load_configuration(json.dumps(document), 1)
    assert len(findings) == 3


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('{"budgets": [', "line 1 column 14"),
        ('{"budgets": [], "budgets": []}', "$"),
        ('{"retry": {"budget_ratio": NaN}}', "$"),
        ("[" * 100_000, "$"),
        ("[]", "$"),
        ("null", "$"),
        ('{"budgets": {"name": "x"}}', "$.budgets"),
    ],
)
def test_text_that_is_not_a_document_is_reported(text: str, place: str) -> None:
    loaded, findings = loader.load_configuration(text, 1)
    assert loaded is None
    assert findings[0].place.startswith(place)


def test_unknown_fields_are_ignored_on_request() -> None:
    document = _load_document()
    document["from_a_newer_release"] = 1
    document["budgets"][0]["also_new"] = 1
    loaded, findings = loader.load_configuration(
        json.dumps(document), 1, allows_unknown=True
    )
    assert findings == ()
    assert loaded == builders.make_configuration()


def test_validating_only_changes_gives_the_same_findings() -> None:
    known = builders.make_large_configuration(3, 20, 2, 6, 2)
    wrong = configuration.Budget("budget-3", reserve_share=7)
    duplicate = configuration.Budget("budget-4")
    for position, budget in ((7, wrong), (9, duplicate), (20, duplicate)):
        budgets = (*known.budgets[:position], budget, *known.budgets[position:])
        candidate = attrs.evolve(known, budgets=budgets)
        findings = validation.validate_configuration(candidate)
        assert findings
        assert validation.validate_configuration(candidate, known) == findings


_JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(max_size=8),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ["client_accounts", "budgets", "models", "name", "upstreams"]
            ),
            children,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@hypothesis.given(_JSON)
def test_arbitrary_json_never_raises(document: Any) -> None:
    loaded, findings = loader.load_configuration(json.dumps(document), 1)
    assert (loaded is None) == bool(findings)


@hypothesis.given(strategies.text(max_size=60))
def test_arbitrary_text_never_raises(text: str) -> None:
    loaded, findings = loader.load_configuration(text, 1)
    assert (loaded is None) == bool(findings)
