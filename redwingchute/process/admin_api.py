"""Serves the operators' command language over HTTP.

`POST /admin/v1/command` accepts `{"command": ..., "output": "text"|"json"}`
with an operator key as the bearer token. Only hashes of the keys are stored,
and they are compared in constant time. Every refusal is counted. A change
attempted with an unknown key or an insufficient role is also recorded in the
audit trail, at a limited rate for unknown keys.
"""

from collections.abc import Callable
import hmac
import json

import attrs

from redwingchute.connection import http_server
from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.process import command_executor
from redwingchute.request import authentication
from redwingchute.version import commands
from redwingchute.version import statement_parser
from redwingchute.version import tables

COMMAND_PATH = "/admin/v1/command"

_TEXT_TYPE = "text/plain; charset=utf-8"
_JSON_TYPE = "application/json"
_OUTPUTS = ("text", "json")
_ROLE_ORDER = (
    configuration.Role.READ,
    configuration.Role.BUDGET,
    configuration.Role.ADMIN,
)
# The minimum interval between audit entries for unknown keys. It keeps an
# attacker who guesses keys from exhausting the log's append rate; the metric
# counts every attempt.
_UNKNOWN_KEY_AUDIT_INTERVAL_MS = 10_000


@attrs.frozen
class _RequestBody:
    """The body of a request.

    Attributes:
      command: The text of the statement.
      output: `text` or `json`.
    """

    command: str
    output: str


class AdminApi:
    """Answers the requests of operators."""

    def __init__(
        self,
        executor: command_executor.CommandExecutor,
        find_current: Callable[[], configuration.Configuration | None],
        read_clock_ms: Callable[[], int],
        count_refusal: Callable[[str], None],
    ) -> None:
        """Initializes the API.

        Args:
          executor: Executes the statements.
          find_current: Returns the configuration in force, or None.
          read_clock_ms: Returns the current time.
          count_refusal: Called with the code of each refusal.
        """
        self._executor = executor
        self._find_current = find_current
        self._read_clock_ms = read_clock_ms
        self._count_refusal = count_refusal
        self._next_unknown_key_audit_ms = 0

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers one request."""
        body = _parse_request(request)
        if isinstance(body, command_executor.Refused):
            await self._send(responder, "json", body)
            return
        answer = await self._answer(request, body)
        await self._send(responder, body.output, answer)

    async def _answer(
        self, request: http_server.HttpRequest, body: _RequestBody
    ) -> command_executor.Answer:
        """Checks the key and the role, then executes the statement."""
        current = self._find_current()
        if current is None:
            return command_executor.refuse(
                503, "no_configuration", "No configuration is in force here."
            )
        statement, findings = statement_parser.parse_statement(body.command)
        operator = find_operator(current, request.headers)
        if operator is None:
            await self._record_unknown_key(statement)
            return command_executor.refuse(
                401, "unknown_key", "The operator key is missing or unknown."
            )
        if statement is None:
            return command_executor.Refused(400, "bad_command", findings)
        needed = commands.find_required_role(statement)
        if _ROLE_ORDER.index(operator.role) < _ROLE_ORDER.index(needed):
            message = f"This needs the role {needed}; yours is {operator.role}."
            if isinstance(statement, commands.Command):
                await self._executor.record_refusal(
                    statement, operator.name, message
                )
            return command_executor.refuse(403, "role_too_low", message)
        return await self._executor.execute(statement, operator.name)

    async def _record_unknown_key(
        self, statement: commands.Statement | None
    ) -> None:
        """Records a change attempted with an unknown key in the audit trail."""
        now_ms = self._read_clock_ms()
        is_due = now_ms >= self._next_unknown_key_audit_ms
        if isinstance(statement, commands.Command) and is_due:
            self._next_unknown_key_audit_ms = (
                now_ms + _UNKNOWN_KEY_AUDIT_INTERVAL_MS
            )
            await self._executor.record_refusal(
                statement, "", "The operator key is missing or unknown."
            )

    async def _send(
        self,
        responder: http_server.HttpResponder,
        output: str,
        answer: command_executor.Answer,
    ) -> None:
        """Sends an answer as an HTTP response in the requested format."""
        is_json = output == "json"
        match answer:
            case tables.Table():
                status = 200
                body = (
                    tables.render_json(answer)
                    if is_json
                    else tables.render_text(answer)
                )
            case command_executor.Refused(status, code, findings):
                self._count_refusal(code)
                body = (
                    tables.render_findings_json(code, findings)
                    if is_json
                    else tables.render_findings_text(findings)
                )
        content_type = _JSON_TYPE if is_json else _TEXT_TYPE
        await responder.send(
            status, body.encode(errors="replace"), content_type
        )


def find_operator(
    current: configuration.Configuration, headers: dict[str, str]
) -> configuration.Operator | None:
    """Returns the operator whose key is the bearer token, or None.

    Compares every stored hash, each in constant time.
    """
    key = authentication.read_bearer_key(headers)
    if key is None:
        return None
    given = authentication.hash_key(key)
    found = None
    for operator in current.operators:
        if hmac.compare_digest(given, operator.key_hash):
            found = operator
    return found


def _parse_request(
    request: http_server.HttpRequest,
) -> _RequestBody | command_executor.Refused:
    """Returns the parsed body of a request, or a refusal."""
    if request.path != COMMAND_PATH:
        return command_executor.refuse(
            404, "unknown_path", f"Send commands to {COMMAND_PATH}."
        )
    if request.method != "POST":
        return command_executor.refuse(
            405, "bad_method", "The method must be POST."
        )
    try:
        body = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        return command_executor.refuse(
            400, "bad_body", f"The body is not JSON: {error}."
        )
    findings = _check_body(body)
    if findings:
        return command_executor.Refused(400, "bad_body", findings)
    return _RequestBody(body["command"], body.get("output", "text"))


def _check_body(body: object) -> tuple[data.Finding, ...]:
    """Returns the findings on the JSON body."""
    if not isinstance(body, dict):
        return (data.Finding("$", "The body is not a JSON object."),)
    findings = []
    if not isinstance(body.get("command"), str):
        findings.append(data.Finding("$.command", "A string is required."))
    if body.get("output", "text") not in _OUTPUTS:
        message = f"Expected one of {', '.join(_OUTPUTS)}."
        findings.append(data.Finding("$.output", message))
    for name in sorted(set(body) - {"command", "output"}):
        findings.append(data.Finding(f"$.{name}", "The field is unknown."))
    return tuple(findings)
