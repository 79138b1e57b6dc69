"""Tests of the scenario language: its statements and its findings."""

from redwingchute.testing import scenario_language
from redwingchute.testing import scenario_steps as steps

_HEAD = """\
scenario "a cut"  # What it shows.
promise 1, 2
live
zone huon: h1 h2
engine e1 in huon of yield
service s1 in huon of register not repeatable
account derwent with budget books of 900 tokens reserve 0.5
"""


def _parse_steps(text: str) -> tuple[steps.Step, ...]:
    scenario, findings = scenario_language.parse_scenario("x", _HEAD + text)
    assert scenario is not None, findings
    return scenario.steps


def test_declarations_are_read() -> None:
    scenario, findings = scenario_language.parse_scenario("x", _HEAD)
    assert findings == ()
    assert scenario == steps.Scenario(
        path="x",
        name="a cut",
        promises=(1, 2),
        is_live=True,
        routers=(steps.Router("h1", "huon"), steps.Router("h2", "huon")),
        upstreams=(
            steps.Upstream("e1", "huon", "yield", is_engine=True),
            steps.Upstream("s1", "huon", "register", False, False),
        ),
        accounts=(steps.Account("derwent", "books", 900, 0.5),),
        steps=(),
    )


def test_every_statement_is_read() -> None:
    cases: dict[str, steps.Step] = {
        "kill h1": steps.Lifecycle(8, steps.Action.KILL, "h1"),
        "cut huon from platform": steps.Cut(8, "huon", "platform"),
        "heal h1 from h2": steps.Heal(8, "h1", "h2"),
        "heal all": steps.HealAll(8),
        "platform down": steps.PlatformFault(8, is_down=True),
        "platform up": steps.PlatformFault(8, is_down=False, slow_ms=0),
        "platform slow 500 ms": steps.PlatformFault(8, slow_ms=500),
        "platform loses 1 answer": steps.PlatformFault(8, lose_answers=1),
        "platform trims": steps.PlatformTrim(8),
        "upstream e1 leaves": steps.UpstreamFault(8, "e1", is_leaving=True),
        "upstream e1 returns": steps.UpstreamFault(8, "e1", is_leaving=False),
        "upstream e1 restarts": steps.UpstreamRestart(8, "e1"),
        "upstream e1 slow 2 s": steps.UpstreamFault(8, "e1", slow_ms=2_000),
        'upstream e1 crashes on "x"': steps.UpstreamFault(
            8, "e1", crash_on_text="x"
        ),
        "upstream e1 cuts after 3 tokens": steps.UpstreamFault(
            8, "e1", cut_after_tokens=3
        ),
        "upstream s1 closes after run 1 time": steps.UpstreamFault(
            8, "s1", close_after_run=1
        ),
        "upstream s1 mends": steps.UpstreamFault(
            8, "s1", close_before_run=0, close_after_run=0
        ),
        "wait 1.5 s": steps.Wait(8, 1_500),
        'request r from derwent to h1 of yield prompt "p" key "k"'
        " patience 5 s kind batch": steps.Request(
            8, "r", "derwent", "h1", "yield", "p", False, "k", 5_000, "batch"
        ),
        'call c from derwent to h1 of register body "b"': steps.Request(
            8, "c", "derwent", "h1", "register", "b", True
        ),
        'operator o at h1 "show spent"': steps.Command(
            8, "o", "h1", "show spent"
        ),
        "expect spend books <= 900": steps.ExpectSpend(8, "books", "<=", 900),
        'expect runs "k" = 1': steps.ExpectRuns(8, "k", "=", 1),
        "expect same version at h1 h2": steps.ExpectVersion(8, ("h1", "h2")),
        "expect dispatched e1 >= 1": steps.ExpectDispatched(8, "e1", ">=", 1),
    }
    for text, step in cases.items():
        assert _parse_steps(text) == (step,)


def test_expectations_name_earlier_requests_and_commands() -> None:
    found = _parse_steps(
        'request r from derwent to h1 of yield prompt "p"\n'
        'operator o at h1 "show spent"\n'
        "expect r answered or not_run\n"
        "expect operator o accepted\n"
        "expect one accepted of o"
    )
    answered, not_run = steps.Outcome.ANSWERED, steps.Outcome.NOT_RUN
    assert found[2:] == (
        steps.ExpectOutcome(10, "r", (answered, not_run)),
        steps.ExpectCommand(11, "o", (steps.CommandVerdict.ACCEPTED,)),
        steps.ExpectOneAccepted(12, ("o",)),
    )


def test_all_findings_are_returned_with_file_and_line() -> None:
    text = "zone huon: h1\nkill h9\ncut nowhere from h1\npromise 9\n"
    scenario, findings = scenario_language.parse_scenario("bad", text)
    assert scenario is None
    assert [finding.place for finding in findings] == [
        "bad:4",
        "bad:1",
        "bad:1",
        "bad:2",
        "bad:3",
    ]
    assert "there are: h1" in findings[3].message


def test_text_outside_the_language_is_a_finding() -> None:
    scenario, findings = scenario_language.parse_scenario("bad", "zone !\n")
    assert scenario is None
    assert [finding.place for finding in findings] == ["bad:1"]
