"""Requests of callers and commands of operators in a scenario."""

import json
from typing import Any

import attrs

from redwingchute.connection import http_client
from redwingchute.standin import completions
from redwingchute.testing import scenario_steps as steps
from redwingchute.testing import standin_calls

_CHAT_PATH = "/v1/chat/completions"
_COMMAND_PATH = "/admin/v1/command"
_TIMEOUT_MS = 300_000
_OPERATOR_KEY = "scenario-operator-key"


@attrs.define(eq=False)
class RequestResult:
    """The result of a request, as its caller sees it.

    Attributes:
      step: The request.
      outcome: How it ended, PENDING until then.
      code: The code of a refusal, or why the connection ended early.
      text: The completion of an engine, or the text that a service echoed.
      tokens: The usage that the response reported.
      is_replayed: Whether the response is that of an earlier run.
    """

    step: steps.Request
    outcome: steps.Outcome = steps.Outcome.PENDING
    code: str = ""
    text: str = ""
    tokens: int = 0
    is_replayed: bool = False


@attrs.define(eq=False)
class CommandResult:
    """The result of a command, as its operator sees it.

    Attributes:
      step: The command.
      verdict: How it ended, None until then.
      message: The body of the response, or why none came.
    """

    step: steps.Command
    verdict: steps.CommandVerdict | None = None
    message: str = ""


def make_account_key(account: str) -> str:
    """Returns the bearer key of a client account."""
    return f"scenario-key-of-{account}"


def get_operator_key() -> str:
    """Returns the bearer key of the operator."""
    return _OPERATOR_KEY


async def run_request(
    pool: http_client.ClientPool,
    address: http_client.Address,
    result: RequestResult,
) -> None:
    """Sends a request and records its result."""
    step = result.step
    headers = [
        ("authorization", f"Bearer {make_account_key(step.account)}"),
        ("x-work-kind", step.kind),
    ]
    if step.key:
        headers.append(("idempotency-key", step.key))
    if step.patience_ms:
        headers.append(("x-deadline-ms", str(step.patience_ms)))
    if step.is_call:
        target = f"/services/{step.pool}/post"
        body = step.text.encode()
    else:
        target = _CHAT_PATH
        body = standin_calls.make_chat(step.text, stream=True, model=step.pool)
    fetched = await pool.fetch(
        address, "POST", target, headers, body, _TIMEOUT_MS
    )
    if isinstance(fetched, http_client.Fetched):
        _record_response(fetched, result)
    else:
        result.outcome = steps.Outcome.CUT_OFF
        result.code = fetched.message


def _record_response(
    fetched: http_client.Fetched, result: RequestResult
) -> None:
    """Records the outcome of a whole response."""
    content_type = fetched.headers.get("content-type", "")
    if content_type.startswith("text/event-stream"):
        _record_stream(fetched.body.decode(), result)
        return
    fields = json.loads(fetched.body)
    if "error" in fields and isinstance(fields["error"], dict):
        _record_refusal(fields["error"], result)
        return
    result.outcome = steps.Outcome.ANSWERED
    result.text = str(fields.get("echo", ""))
    result.is_replayed = "idempotency-replayed" in fetched.headers


def _record_refusal(error: dict[str, str], result: RequestResult) -> None:
    """Records a refusal."""
    result.outcome = steps.Outcome(error["type"])
    result.code = error["code"]


def _record_stream(text: str, result: RequestResult) -> None:
    """Records the outcome of a stream of server-sent events."""
    if "event: error" in text:
        _, _, rest = text.partition("event: error\ndata: ")
        _record_refusal(json.loads(rest.split("\n")[0])["error"], result)
        return
    if "data: [DONE]" not in text:
        result.outcome = steps.Outcome.CUT_OFF
        return
    chunks = standin_calls.parse_stream(text.encode())
    result.text = standin_calls.join_content(chunks)
    for chunk in chunks:
        if usage := chunk.get("usage"):
            result.tokens = usage["total_tokens"]
    result.outcome = steps.Outcome.ANSWERED


def find_expected_text(step: steps.Request, completion_tokens: int) -> str:
    """Returns the expected text of an answered request."""
    if step.is_call:
        return step.text
    tokens = completions.list_completion_tokens(
        step.pool, step.text, completion_tokens
    )
    return "".join(tokens)


async def run_command(
    pool: http_client.ClientPool,
    address: http_client.Address,
    result: CommandResult,
) -> None:
    """Sends an operator's command and records its verdict."""
    response = await send_command(pool, address, result.step.text)
    match response:
        case http_client.Fetched(status=200, body=body):
            result.verdict = steps.CommandVerdict.ACCEPTED
            result.message = body.decode()
        case http_client.Fetched(body=body) if b"unknown" in body:
            result.verdict = steps.CommandVerdict.UNKNOWN
            result.message = body.decode()
        case http_client.Fetched(body=body):
            result.verdict = steps.CommandVerdict.REFUSED
            result.message = body.decode()
        case _:
            result.verdict = steps.CommandVerdict.UNKNOWN
            result.message = response.message


async def send_command(
    pool: http_client.ClientPool, address: http_client.Address, command: str
) -> (
    http_client.Fetched | http_client.ConnectFailed | http_client.ExchangeBroken
):
    """Sends a command to a router's administration API."""
    headers = [("authorization", f"Bearer {get_operator_key()}")]
    body = json.dumps({"command": command, "output": "json"}).encode()
    return await pool.fetch(
        address, "POST", _COMMAND_PATH, headers, body, _TIMEOUT_MS
    )


async def call_control(
    pool: http_client.ClientPool,
    address: http_client.Address,
    method: str,
    path: str,
    body: Any,
) -> Any:
    """Sends a request to a stand-in's control port; returns its state."""
    payload = b"" if body is None else json.dumps(body).encode()
    response = await pool.fetch(address, method, path, [], payload, _TIMEOUT_MS)
    assert isinstance(response, http_client.Fetched), response
    assert response.status == 200, response.body
    return json.loads(response.body)


def parse_json(response: http_client.Fetched) -> Any:
    """Returns the parsed JSON body of a response."""
    return json.loads(response.body)
