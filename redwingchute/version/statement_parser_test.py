"""Tests of parsing the operators' command language."""

import re

import hypothesis
from hypothesis import strategies
import pytest

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.testing import configuration_builders as builders
from redwingchute.version import changes
from redwingchute.version import commands
from redwingchute.version import loader
from redwingchute.version import statement_parser

_HASH = builders.hash_key("new")


def _show(
    subject: commands.Subject, *filters: commands.Filter, limit: int = 0
) -> commands.Show:
    """Returns a query."""
    return commands.Show(subject, filters, limit)


_QUERIES = [
    ("show spent", _show(commands.Subject.SPENT)),
    ("SHOW in force", _show(commands.Subject.IN_FORCE)),
    ("show config", _show(commands.Subject.IN_FORCE)),
    ("show document", _show(commands.Subject.DOCUMENT)),
    ("show models", _show(commands.Subject.MODELS)),
    (
        'show running where account = "huon"\n  and running_ms > 500 limit 5',
        _show(
            commands.Subject.RUNNING,
            commands.Filter("account", commands.Comparison.EQUAL, "huon"),
            commands.Filter("running_ms", commands.Comparison.GREATER, 500),
            limit=5,
        ),
    ),
    (
        "show audit where author != 'ada' # a comment",
        _show(
            commands.Subject.AUDIT,
            commands.Filter("author", commands.Comparison.NOT_EQUAL, "ada"),
        ),
    ),
]


@pytest.mark.parametrize(("text", "expected"), _QUERIES)
def test_queries_are_parsed(text: str, expected: commands.Show) -> None:
    assert statement_parser.parse_statement(text) == (expected, ())


_RULE = configuration.PatienceRule(
    configuration.WorkKind.BATCH, 360, 1_110, (1, 2, 3, 6), 8_500, 1
)
_WHOLE_DAY = configuration.PatienceRule(
    configuration.WorkKind.BATCH, 0, 1_440, (1, 2, 3, 4, 5, 6, 7), 120_000, 4
)
_ACTIONS: list[tuple[str, commands.Action]] = [
    (
        'create account "tamar" budget "b" models "m", "n" services "s"'
        f' time zone "Australia/Hobart" key hash "{_HASH}"',
        changes.CreateClientAccount(
            configuration.ClientAccount(
                "tamar", (_HASH,), "b", ("m", "n"), ("s",), "Australia/Hobart"
            )
        ),
    ),
    (
        'create account "tamar" budget "b"',
        changes.CreateClientAccount(
            configuration.ClientAccount("tamar", (), "b")
        ),
    ),
    (
        'change account "a" set budget "b"',
        changes.SetClientAccountBudget("a", "b"),
    ),
    (
        'change account "a" set time zone "UTC"',
        changes.SetClientAccountTimeZone("a", "UTC"),
    ),
    (
        f'change account "a" add key hash "{_HASH}"',
        changes.AddClientKey("a", _HASH),
    ),
    (
        f'change account "a" remove key hash "{_HASH}"',
        changes.RemoveClientKey("a", _HASH),
    ),
    ('suspend account "a"', changes.SuspendClientAccount("a")),
    ('resume account "a"', changes.ResumeClientAccount("a")),
    ('allow model "m" for account "a"', changes.AllowModel("a", "m")),
    ('forbid model "m" for account "a"', changes.ForbidModel("a", "m")),
    ('allow service "s" for account "a"', changes.AllowService("a", "s")),
    ('forbid service "s" for account "a"', changes.ForbidService("a", "s")),
    ('create budget "b"', changes.PutBudget(configuration.Budget("b"))),
    (
        'create budget "b" reserve 0.5 lease horizon 3 s',
        changes.PutBudget(configuration.Budget("b", 0.5, 3_000)),
    ),
    (
        'top up budget "b" by 5000 reference "inv-7"',
        commands.TopUpBudget("b", 5_000, "inv-7"),
    ),
    (
        'reduce budget "b" by 50 reference "inv-8"',
        commands.ReduceBudget("b", 50, "inv-8"),
    ),
    ('set reserve for budget "b" to 0.25', changes.SetReserve("b", 0.25)),
    (
        "set retries ratio 0.2 attempts 2 delay 10 ms to 1.5 s",
        changes.SetRetry(configuration.RetryPolicy(0.2, 2, 10, 1_500)),
    ),
    (
        'set patience for account "a" batch on mon-wed, sat from 06:00 until'
        " 18:30 deadline 8.5 s priority 1 then deadline 2 min priority 4",
        changes.SetPatience(
            "a", configuration.WorkKind.BATCH, (_RULE, _WHOLE_DAY)
        ),
    ),
    (
        'clear patience for account "a" document',
        changes.SetPatience("a", configuration.WorkKind.DOCUMENT, ()),
    ),
    ('drain upstream "u"', changes.DrainUpstream("u")),
    ('return upstream "u"', changes.ReturnUpstream("u")),
    (
        'release 500 tokens of budget "b" held by 18446744073709551615'
        ' reference "r-1"',
        commands.ReleaseUnaccounted("b", 2**64 - 1, 500, "r-1"),
    ),
    (
        'resolve call "k 1" of account "a" as not run',
        commands.ResolveCall("a", "k 1", data.OutcomeStatus.NOT_RUN),
    ),
    (
        'resolve call "k" of account "a" as succeeded',
        commands.ResolveCall("a", "k", data.OutcomeStatus.SUCCEEDED),
    ),
    (
        'lift quarantine "0AFF" of account "a"',
        commands.LiftQuarantine("a", b"\x0a\xff"),
    ),
    (
        f'create operator "di" role budget key hash "{_HASH}"',
        changes.PutOperator(
            configuration.Operator("di", _HASH, configuration.Role.BUDGET)
        ),
    ),
    ('remove operator "di"', changes.RemoveOperator("di")),
    (
        """put model '{"name": "m", "upstreams": []}'""",
        changes.PutModel(configuration.Model("m", ())),
    ),
    (
        """put service '{"name": "s", "upstreams": [], "call_price": 4}'""",
        changes.PutService(configuration.Service("s", (), call_price=4)),
    ),
    (
        """put account '{"name": "a", "key_hashes": [], "budget": "b"}'""",
        changes.PutClientAccount(configuration.ClientAccount("a", (), "b")),
    ),
    (
        "replace configuration with '{}'",
        changes.ReplaceDocument(loader.compress_document("{}")),
    ),
]


@pytest.mark.parametrize(("text", "action"), _ACTIONS)
def test_commands_are_parsed(text: str, action: commands.Action) -> None:
    assert statement_parser.parse_statement(
        f'{text} because "a \\"reason\\""'
    ) == (
        commands.Command(action, 'a "reason"'),
        (),
    )
    assert statement_parser.parse_statement(
        f"{text} because 'x' if version 12"
    ) == (
        commands.Command(action, "x", 12),
        (),
    )


@pytest.mark.parametrize(("text", "action"), _ACTIONS)
def test_every_command_needs_a_reason(
    text: str, action: commands.Action
) -> None:
    statement, findings = statement_parser.parse_statement(text)
    assert statement is None
    assert findings[0].place == f"line 1 column {len(text) + 1}"
    assert "Found the end; expected" in findings[0].message
    assert "'because'" in findings[0].message


_FAULTS = [
    ("", "line 1 column 1", "Found the end; expected 'allow', 'change'"),
    ("shwo spent", "line 1 column 1", "Found 'shwo'; expected 'allow'"),
    ("show\n  spend", "line 2 column 3", "Found 'spend'; expected 'accounts'"),
    ("show spent because", "line 1 column 12", "'limit', 'where' or the end"),
    ("show spent where x = 1", "line 1 column 18", "Found 'x'; expected one"),
    ('show spent where account "x"', "line 1 column 26", "one of = != <"),
    (
        'top up budget "b" by "5"',
        "line 1 column 22",
        "Found '\"'; expected a whole number.",
    ),
    (
        'top up budget "b" by 0 reference "r" because "x"',
        "line 1 column 22",
        "is 0",
    ),
    ('drain upstream "u" because ""', "line 1 column 28", "reason is empty"),
    ('drain upstream "u', "line 1 column 16", "expected a text in quotes"),
    (
        'drain upstream "\\x" because "y"',
        "line 1 column 16",
        "wrong escape",
    ),
    (
        'lift quarantine "xyz" of account "a" because "y"',
        "line 1 column 17",
        "not a digest",
    ),
    (
        'set patience for account "a" batch from 25:00 until 26:00 deadline'
        ' 1 s priority 1 because "x"',
        "line 1 column 41",
        "not a time",
    ),
    (
        "put model '{\"nme\": 1}' because 'x'",
        "line 1 column 11, $",
        "unknown fields: nme",
    ),
    (
        "replace configuration with '{\"budgets\": 1}' because 'x'",
        "line 1 column 28, $.budgets",
        "not an array",
    ),
]


@pytest.mark.parametrize(("text", "place", "expected_text"), _FAULTS)
def test_faults_are_reported_at_their_place(
    text: str, place: str, expected_text: str
) -> None:
    statement, findings = statement_parser.parse_statement(text)
    assert statement is None
    assert any(
        item.place == place and expected_text.lower() in item.message.lower()
        for item in findings
    ), findings


def test_statements_require_their_lowest_role() -> None:
    show = commands.Show(commands.Subject.SPENT)
    top_up = commands.Command(commands.TopUpBudget("b", 1, "r"), "x")
    drain = commands.Command(changes.DrainUpstream("u"), "x")
    roles = [
        commands.find_required_role(item) for item in (show, top_up, drain)
    ]
    assert roles == [
        configuration.Role.READ,
        configuration.Role.BUDGET,
        configuration.Role.ADMIN,
    ]


def _check_result(text: str) -> None:
    """Checks that a text gives either a statement or findings."""
    statement, findings = statement_parser.parse_statement(text)
    assert (statement is None) == bool(findings)
    assert all(re.match(r"line \d+ column \d+", f.place) for f in findings)


@hypothesis.given(strategies.text(max_size=80))
def test_arbitrary_text_never_raises(text: str) -> None:
    _check_result(text)


_WORDS = sorted(
    {word for text, _ in _ACTIONS for word in text.split()}
    | {word for text, _ in _QUERIES for word in text.split()}
    | {"because", '"x"', "'", '"', "9" * 30, "-1", "\\", "\x00", "\ud800", ","}
)


@hypothesis.given(
    strategies.lists(strategies.sampled_from(_WORDS), max_size=14)
)
def test_shuffled_words_never_raise(words: list[str]) -> None:
    _check_result(" ".join(words))


@hypothesis.given(
    strategies.sampled_from([text for text, _ in _ACTIONS]),
    strategies.integers(0, 120),
    strategies.text(max_size=3),
)
def test_damaged_commands_never_raise(
    text: str, position: int, insertion: str
) -> None:
    command = f'{text} because "x"'
    _check_result(command[:position] + insertion + command[position + 1 :])
