"""The `redwingchute` command line.

Subcommands:
  router: Runs the daemon of an entry host.
  gateway: Runs the daemon of a host that forwards by route, with the settings
    file that its platform writes.
  publish: Publishes the first configuration of a fleet.
  ask: Sends an operator's query or command to a router.
  check-configuration: Checks a configuration of gateways before it is sent.
  explain: Prints the timeline of a request from the logs of routers.
  soak: Runs real processes under faults and checks what callers see.
  stand-in: Runs a stand-in for the platform or for an upstream, for trials and
    tests.
"""

from collections.abc import Callable
import inspect
import os
import sys
from typing import Any

import defopt

from redwingchute.platform import configuration_document
from redwingchute.platform import main as platform_main
from redwingchute.process import ask_client
from redwingchute.process import configuration_check
from redwingchute.process import explanation
from redwingchute.process import publisher
from redwingchute.process import router
from redwingchute.process import settings
from redwingchute.soak import soak_command
from redwingchute.standin import engine
from redwingchute.standin import metadata_store
from redwingchute.standin import platform
from redwingchute.standin import runner
from redwingchute.standin import service

_EXIT_BAD_SETTINGS = 2


def _make_router_command() -> Callable[..., Any]:
    """Returns the router command with one flag for each setting."""

    def router_command(**flags: str | None) -> int:
        loaded, findings = settings.load_settings(flags, os.environ)
        if loaded is None:
            for finding in findings:
                print(f"{finding.place}: {finding.message}", file=sys.stderr)
            return _EXIT_BAD_SETTINGS
        return router.run_router(loaded)

    parameters = []
    lines = ["Run the daemon of an entry host.", ""]
    for description in settings.describe_settings():
        name = description.flag.removeprefix("--").replace("-", "_")
        parameters.append(
            inspect.Parameter(
                name,
                inspect.Parameter.KEYWORD_ONLY,
                default=None,
                annotation=str | None,
            )
        )
        lines.append(
            f":param {name}: {description.help} Allowed: "
            f"{description.allowed}. Variable {description.variable}, "
            f"default {description.default}."
        )
    # defopt takes the flags from the signature and the annotations, and their
    # help from the docstring.
    router_command.__signature__ = inspect.Signature(  # type: ignore[attr-defined]
        parameters, return_annotation=int
    )
    router_command.__annotations__ = {
        parameter.name: parameter.annotation for parameter in parameters
    }
    router_command.__doc__ = "\n".join(lines)
    return router_command


def ask(
    command: str,
    *,
    admin: str | None = None,
    key: str | None = None,
    output: str = "text",
) -> int:
    """Send an operator's query or command to a router.

    Args:
      command: The query or command, for example 'show spent'.
      admin: The ip:port of any router's admin address. Variable
        REDWINGCHUTE_ADMIN.
      key: The operator's key. Variable REDWINGCHUTE_OPERATOR_KEY.
      output: text or json.
    """
    admin = admin or os.environ.get("REDWINGCHUTE_ADMIN", "127.0.0.1:8081")
    key = key or os.environ.get("REDWINGCHUTE_OPERATOR_KEY", "")
    return ask_client.run_ask(command, admin, key, output)


def publish(path: str, *, platform: str, author: str, reason: str) -> int:
    """Publish a configuration document to the platform's log.

    Args:
      path: The file of the JSON document.
      platform: The ip:port of the platform's log service.
      author: The author in the audit trail.
      reason: The reason in the audit trail.
    """
    return publisher.run_publish(path, platform, author, reason)


def check_configuration(path: str, *, against: str | None = None) -> int:
    """Check a configuration of gateways before it is sent.

    Prints errors, entries that no request can reach, limits that contradict
    each other, and what differs from the version in force. The exit status is
    0 without findings, 1 with findings, and 2 if a file is invalid.

    Args:
      path: The file of the configuration document.
      against: The file of the version in force.
    """
    return configuration_check.run_check(
        path,
        against,
        configuration_document.decode_configuration,
        configuration_document.find_errors,
    )


def explain(request_id: str, *paths: str) -> int:
    """Print the timeline of a request from the logs of routers.

    Args:
      request_id: The id that the caller gave the request.
      paths: Files with the logs of one or more processes.
    """
    return explanation.run_explain(request_id, list(paths))


def main() -> None:
    """Runs the command line and exits with the command's status."""
    commands = {
        "router": _make_router_command(),
        "ask": ask,
        "publish": publish,
        "gateway": platform_main.main,
        "check-configuration": check_configuration,
        "explain": explain,
        "soak": soak_command.run_soak,
        "stand-in": {
            "platform": platform.run_platform,
            "engine": engine.run_engine,
            "service": service.run_service,
            "metadata-store": metadata_store.run_metadata_store,
            "runner": runner.run_runner,
        },
    }
    status = defopt.run(commands, no_negated_flags=True)
    sys.exit(status or 0)


if __name__ == "__main__":
    main()
