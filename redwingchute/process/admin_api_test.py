"""Tests of the administration API over HTTP, with fakes of its dependencies."""

import asyncio
import collections
import json
from typing import Any

import attrs
import pytest

from redwingchute.connection import http_client
from redwingchute.connection import http_server
from redwingchute.core import data
from redwingchute.process import admin_api
from redwingchute.process import ask_client
from redwingchute.process import command_executor
from redwingchute.process import operator_ports
from redwingchute.testing import configuration_builders as builders
from redwingchute.testing import operator_fakes
from redwingchute.version import changes

_NOW_MS = 100_000
_TIMEOUT_MS = 5_000


class _ApiHarness:
    """An administration API with fake dependencies."""

    def __init__(self) -> None:
        self.stream = operator_fakes.FakeConfigurationStream()
        self.ledger = operator_fakes.FakeLedger()
        self.quarantine = operator_fakes.FakeQuarantine()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.now_ms = _NOW_MS
        executor = command_executor.CommandExecutor(
            self.stream,
            self.ledger,
            operator_fakes.FakeFleet(),
            self.quarantine,
            lambda: self.now_ms,
            operator_fakes.SequentialIds().make,
        )
        self._api = admin_api.AdminApi(
            executor,
            self.stream.find_current,
            lambda: self.now_ms,
            lambda code: self.refusals.update([code]),
        )

    @property
    def handle(self) -> http_server.Handler:
        """The API's HTTP handler."""
        return self._api.handle

    def post(
        self,
        command: str,
        key: str = builders.ADMIN_KEY,
        output: str = "json",
    ) -> tuple[int, Any]:
        """Sends a command and returns the status and the body."""
        body = json.dumps({"command": command, "output": output})
        status, text = self.send(body.encode(), key)
        return status, json.loads(text) if output == "json" else text

    def send(
        self,
        body: bytes,
        key: str = builders.ADMIN_KEY,
        path: str = admin_api.COMMAND_PATH,
        method: str = "POST",
    ) -> tuple[int, str]:
        """Sends a request over a loopback connection."""

        async def exchange() -> http_client.Fetched:
            headers = [("authorization", f"Bearer {key}")] if key else []
            server = http_server.HttpServer(self._api.handle, "127.0.0.1", 0)
            async with server, http_client.ClientPool() as pool:
                address = http_client.Address("127.0.0.1", server.port)
                fetched = await pool.fetch(
                    address, method, path, headers, body, _TIMEOUT_MS
                )
            assert isinstance(fetched, http_client.Fetched)
            return fetched

        fetched = asyncio.run(exchange())
        return fetched.status, fetched.body.decode()


def _read_codes(harness: _ApiHarness) -> list[changes.ChangeCode]:
    """Returns the codes of the entries in the audit trail."""
    return [entry.code for entry in harness.stream.list_audit()]


_QUERIES: list[tuple[str, list[Any], list[str]]] = [
    (
        "show spent",
        [builders.BUDGET, [builders.ACCOUNT], 1_000, 300, 200, 100, 50, 350],
        ["Budgets of these ledger shards are missing: 3."],
    ),
    (
        "show unaccounted",
        [builders.BUDGET, str((9 << 16) | 1), "bruny-1", 50],
        ["Budgets of these ledger shards are missing: 3."],
    ),
    (
        'show running where host = "huon-1"',
        [
            *("huon-1", "huon", builders.ACCOUNT, builders.MODEL, "batch"),
            *("runner-1", "running", 100_000),
        ],
        [
            "Availability zone bruny is missing.",
            "Availability zone tamar is missing.",
            "Host bruny-1 (bruny) did not answer.",
            "Host tamar-1 (tamar) has been unreachable for 60 s.",
        ],
    ),
    (
        "show in force where is_newest = 'no'",
        ["huon-2", "huon", 0, False, 10_000],
        [
            "Availability zone bruny is missing.",
            "Availability zone tamar is missing.",
            "Host bruny-1 (bruny) did not answer.",
            "Host tamar-1 (tamar) has been unreachable for 60 s.",
        ],
    ),
    (
        'show hosts where state = "unreachable"',
        ["tamar-1", "tamar", "unreachable", "127.0.0.1:4", "6", 60_000],
        [],
    ),
    (
        "show quarantine",
        [builders.ACCOUNT, "ab", "1970-01-01T00:01:00.000Z", "r"],
        [],
    ),
    (
        "show operators where role = 'budget'",
        ["bo", "budget"],
        ["Version 1 is in force on this host."],
    ),
    (
        "show services",
        [builders.SERVICE, ["ledger-1"], False, 1],
        ["Version 1 is in force on this host."],
    ),
]


@pytest.mark.parametrize(("command", "row", "notes"), _QUERIES)
def test_a_query_returns_its_rows_and_notes(
    command: str, row: list[Any], notes: list[str]
) -> None:
    status, body = _ApiHarness().post(command, builders.READ_KEY)
    assert status == 200
    assert body["rows"] == [row]
    assert body["notes"] == notes


def test_upstreams_show_the_newest_load_and_those_unknown() -> None:
    status, body = _ApiHarness().post("show upstreams")
    assert status == 200
    assert body["rows"] == [
        [
            *("runner-1", builders.MODEL, "huon", "127.0.0.1:8001", "live"),
            *(3, 1, 8, 10_000),
        ],
        [
            *("ledger-1", builders.SERVICE, "huon", "127.0.0.1:8101"),
            *("unknown", None, None, 8, None),
        ],
    ]


@pytest.mark.parametrize(
    "subject", ["accounts", "budgets", "models", "document", "audit", "config"]
)
def test_every_other_table_renders_as_text(subject: str) -> None:
    status, text = _ApiHarness().post(f"show {subject}", output="text")
    assert status == 200
    assert len(text.splitlines()) >= 2


def test_a_change_takes_effect_and_is_in_the_audit_trail() -> None:
    harness = _ApiHarness()
    status, body = harness.post('drain upstream "runner-1" because "reboot"')
    assert (status, body["rows"]) == (
        200,
        [["applied", "drain upstream", "runner-1", 2]],
    )
    current = harness.stream.find_current()
    assert current is not None
    assert current.models[0].upstreams[0].is_drained
    _, audit = harness.post("show audit limit 1")
    row = dict(zip(audit["columns"], audit["rows"][0], strict=True))
    assert (row["author"], row["reason"], row["version"]) == (
        "ada",
        "reboot",
        2,
    )
    assert '"is_drained":true' in row["after"]
    assert "is_drained" not in row["before"]


def test_a_lost_race_reports_the_version_in_force() -> None:
    harness = _ApiHarness()
    first, second = (
        harness.post(
            f'set reserve for budget "{builders.BUDGET}" to 0.{digit}'
            ' because "x" if version 1'
        )
        for digit in (2, 3)
    )
    assert first[0] == 200
    assert second[0] == 409
    assert "version 2 by 'ada' is in force" in second[1]["error"]["message"]
    top_up = f'top up budget "{builders.BUDGET}" by 5 reference "r" because "x"'
    assert harness.post(f"{top_up} if version 1")[0] == 409
    assert harness.ledger.entries == []
    assert harness.post(f"{top_up} if version 2")[0] == 200


def test_an_invalid_change_is_refused_with_all_findings() -> None:
    harness = _ApiHarness()
    status, body = harness.post(
        'create account "b c" budget "none" because "x" if version 1'
    )
    assert status == 422
    assert len(body["error"]["findings"]) == 2
    assert _read_codes(harness)[-1] == changes.ChangeCode.REFUSED


def test_an_unknown_outcome_is_reported_with_its_record_id() -> None:
    harness = _ApiHarness()
    harness.stream.next_outcome = operator_ports.SubmissionUnknown(b"\x0a")
    status, body = harness.post('suspend account "huon" because "x"')
    assert status == 504
    assert 'record = "0a"' in body["error"]["message"]
    harness.stream.next_outcome = operator_ports.SubmissionFailed("it is down")
    assert harness.post('suspend account "huon" because "x"')[0] == 503


def test_a_top_up_reaches_the_ledger_and_the_audit_trail() -> None:
    harness = _ApiHarness()
    status, body = harness.post(
        f'top up budget "{builders.BUDGET}" by 500 reference "inv-7"'
        " because 'paid'",
        builders.BUDGET_KEY,
    )
    assert (status, body["rows"]) == (200, [["applied", "yield-books", 500]])
    assert harness.ledger.entries == [
        data.Credit(builders.BUDGET, "inv-7", 500, "bo", "paid")
    ]
    entry = harness.stream.list_audit()[-1]
    assert (entry.code, entry.action, entry.author) == (
        changes.ChangeCode.NOTED,
        "top up budget",
        "bo",
    )
    assert entry.before == "credited 1000, settled 300, unaccounted 50 tokens"
    assert entry.after.startswith("credited 1500, settled 300, ")


def test_a_partial_reduction_reports_the_tokens_requested() -> None:
    harness = _ApiHarness()
    harness.ledger.verdict = data.Verdict(data.VerdictCode.ACCEPTED, -20)
    status, body = harness.post(
        f'reduce budget "{builders.BUDGET}" by 500 reference "r" because "x"'
    )
    assert (status, body["rows"][0][2]) == (200, -20)
    assert "-500 tokens were requested" in body["notes"][0]


_ACTIONS = [
    (
        'resolve call "k" of account "huon" as succeeded because "x"',
        data.Verdict(data.VerdictCode.ACCEPTED),
        200,
    ),
    (
        'resolve call "k" of account "none" as failed because "x"',
        data.Verdict(data.VerdictCode.ACCEPTED),
        422,
    ),
    (
        f'release 5 tokens of budget "{builders.BUDGET}" held by 9'
        ' reference "r" because "x"',
        data.Verdict(data.VerdictCode.NOTHING_TO_RELEASE),
        422,
    ),
    (
        'top up budget "none" by 5 reference "r" because "x"',
        data.Verdict(data.VerdictCode.ACCEPTED),
        422,
    ),
    (
        f'top up budget "{builders.BUDGET}" by 5 reference "r" because "x"',
        data.Verdict(data.VerdictCode.REPEATED, 5),
        200,
    ),
    (
        f'top up budget "{builders.BUDGET}" by 5 reference "r" because "x"',
        operator_ports.LedgerUnavailable("No owner answered."),
        504,
    ),
    ('lift quarantine "ab" of account "huon" because "x"', None, 200),
    ('lift quarantine "ac" of account "huon" because "x"', None, 422),
]


@pytest.mark.parametrize(("command", "verdict", "status"), _ACTIONS)
def test_an_action_is_answered_and_audited(
    command: str,
    verdict: data.Verdict | operator_ports.LedgerUnavailable | None,
    status: int,
) -> None:
    harness = _ApiHarness()
    if verdict is not None:
        harness.ledger.verdict = verdict
    assert harness.post(command)[0] == status
    is_refused = _read_codes(harness)[-1] == changes.ChangeCode.REFUSED
    assert is_refused == (status != 200)


_KEYS = [
    ("show spent", "no-such-key", 401, None),
    ("show spent", "", 401, None),
    ('suspend account "huon" because "x"', "no-such-key", 401, ""),
    ('suspend account "huon" because "x"', builders.BUDGET_KEY, 403, "bo"),
    (
        'lift quarantine "ab" of account "huon" because "x"',
        builders.READ_KEY,
        403,
        "cy",
    ),
    ("show document", builders.BUDGET_KEY, 403, None),
]


@pytest.mark.parametrize(("command", "key", "status", "author"), _KEYS)
def test_wrong_keys_and_roles_are_refused_and_audited(
    command: str, key: str, status: int, author: str | None
) -> None:
    harness = _ApiHarness()
    assert harness.post(command, key)[0] == status
    assert harness.refusals.total() == 1
    refused = [
        entry.author
        for entry in harness.stream.list_audit()
        if entry.code == changes.ChangeCode.REFUSED
    ]
    assert refused == ([] if author is None else [author])
    assert harness.stream.fold.current.version == 1


def test_audit_entries_for_unknown_keys_are_rate_limited() -> None:
    harness = _ApiHarness()
    for _ in range(5):
        harness.post('suspend account "huon" because "x"', "guess")
    assert harness.refusals["unknown_key"] == 5
    # The first entry is that of the initial configuration.
    assert len(harness.stream.list_audit()) == 2
    harness.now_ms += 60_000
    harness.post('suspend account "huon" because "x"', "guess")
    assert len(harness.stream.list_audit()) == 3


_BAD_REQUESTS = [
    (b"{", "POST", admin_api.COMMAND_PATH, 400),
    (b"[]", "POST", admin_api.COMMAND_PATH, 400),
    (b"{}", "POST", admin_api.COMMAND_PATH, 400),
    (b'{"command": 5}', "POST", admin_api.COMMAND_PATH, 400),
    (b'{"command": "x", "more": 1}', "POST", admin_api.COMMAND_PATH, 400),
    (b'{"command": "x", "output": []}', "POST", admin_api.COMMAND_PATH, 400),
    (b'{"command": "shwo"}', "POST", admin_api.COMMAND_PATH, 400),
    (b'{"command": "\\ud800"}', "POST", admin_api.COMMAND_PATH, 400),
    (b"", "GET", admin_api.COMMAND_PATH, 405),
    (b"", "POST", "/admin/v2", 404),
]


@pytest.mark.parametrize(("body", "method", "path", "status"), _BAD_REQUESTS)
def test_a_bad_request_is_refused(
    body: bytes, method: str, path: str, status: int
) -> None:
    assert _ApiHarness().send(body, path=path, method=method)[0] == status


def test_a_syntax_error_names_its_place_in_text_output() -> None:
    status, text = _ApiHarness().post("show spend", output="text")
    assert status == 400
    assert text.startswith("line 1 column 6: Found 'spend'; expected")


def test_ask_without_a_key_is_refused(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def scenario() -> int:
        server = http_server.HttpServer(_ApiHarness().handle, "127.0.0.1", 0)
        async with server:
            return await asyncio.to_thread(
                ask_client.run_ask,
                "show spent",
                f"127.0.0.1:{server.port}",
                "",
                "text",
            )

    assert asyncio.run(scenario()) == 1
    assert "missing or unknown" in capsys.readouterr().err


def test_a_query_before_the_first_configuration_is_refused() -> None:
    harness = _ApiHarness()
    harness.stream.fold.current = attrs.evolve(
        harness.stream.fold.current, version=0
    )
    assert harness.post("show spent")[0] == 503
