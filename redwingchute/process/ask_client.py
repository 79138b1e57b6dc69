"""Sends an operator's command to a router's administration API."""

import asyncio
import json
import sys

from redwingchute.connection import http_client

_TIMEOUT_MS = 30_000
_EXIT_REFUSED = 1
_EXIT_USAGE = 2


def run_ask(command: str, admin: str, key: str, output: str) -> int:
    """Sends a query or command and prints the response.

    Args:
      command: The query or command.
      admin: The `ip:port` of a router's admin address.
      key: The operator's key; empty for none.
      output: `text` or `json`.

    Returns:
      The exit status: 0 for success; 1 if the command was refused, its outcome
      is unknown or no router answered; 2 for invalid arguments.
    """
    if output not in ("text", "json"):
        print(
            f"--output: Found '{output}'; allowed is text or json.",
            file=sys.stderr,
        )
        return _EXIT_USAGE
    try:
        address = http_client.Address.parse(admin)
    except ValueError as error:
        print(f"--admin: {error}.", file=sys.stderr)
        return _EXIT_USAGE
    return asyncio.run(_send_command(command, address, key, output))


async def _send_command(
    command: str, address: http_client.Address, key: str, output: str
) -> int:
    """Sends the request and prints the response."""
    body = json.dumps({"command": command, "output": output}).encode()
    headers = [("content-type", "application/json")]
    if key:
        headers.append(("authorization", f"Bearer {key}"))
    async with http_client.ClientPool() as pool:
        result = await pool.fetch(
            address, "POST", "/admin/v1/command", headers, body, _TIMEOUT_MS
        )
    match result:
        case http_client.Fetched(status=200, body=answer):
            print(answer.decode().rstrip("\n"))
            return 0
        case http_client.Fetched(body=answer):
            print(answer.decode().rstrip("\n"), file=sys.stderr)
            return _EXIT_REFUSED
        case http_client.ConnectFailed(message):
            print(f"No router answers at {address}: {message}", file=sys.stderr)
            return _EXIT_REFUSED
        case http_client.ExchangeBroken(message):
            print(
                f"The connection to the router at {address} broke ({message}); "
                "the command may have taken effect.",
                file=sys.stderr,
            )
            return _EXIT_REFUSED
