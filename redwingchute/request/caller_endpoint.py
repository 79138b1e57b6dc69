"""The HTTP endpoint for callers: authentication and routing by path.

A caller gets a final response even if a handler raises an exception. The type
of every refusal tells whether the request may have run.
"""

from collections.abc import Callable
import logging

from redwingchute.connection import http_server
from redwingchute.core import configuration
from redwingchute.core import outcomes
from redwingchute.request import authentication
from redwingchute.request import chat_handler
from redwingchute.request import context
from redwingchute.request import refusal_response
from redwingchute.request import service_handler

_LOG = logging.getLogger(__name__)
_NOT_READY_RETRY_MS = 1_000


class CallerEndpoint:
    """Authenticates the requests of callers and passes them to handlers."""

    def __init__(
        self,
        request_context: context.RequestContext,
        find_configuration: Callable[[], configuration.Configuration | None],
    ) -> None:
        """Creates the endpoint and its handlers.

        Args:
          request_context: The shared dependencies of request handlers.
          find_configuration: Returns the configuration in force, or None if
            the router has none yet.
        """
        self._context = request_context
        self._find_configuration = find_configuration
        self._chat_handler = chat_handler.ChatHandler(request_context)
        self._service_handler = service_handler.ServiceHandler(request_context)

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Handles one request and counts its result."""
        metrics = self._context.metrics
        metrics.requests.add(1, {"route": _name_route(request.path)})
        metrics.open_requests.add(1)
        try:
            refusal = await self._route(request, responder)
        except http_server.ClientDisconnectedError:
            metrics.callers_disconnected.add(1)
            raise
        except Exception:
            _LOG.exception("request handler raised an exception")
            refusal = outcomes.Failed(
                500, "internal_error", "The router had an internal error."
            )
        finally:
            metrics.open_requests.add(-1)
        if refusal is not None:
            metrics.refusals.add(
                1,
                {
                    "type": outcomes.name_refusal_type(refusal),
                    "code": refusal.code,
                },
            )
            await refusal_response.send_refusal(responder, refusal)

    async def _route(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> outcomes.Refusal | None:
        """Authenticates the caller and runs the handler for the path."""
        current = self._find_configuration()
        if current is None:
            return outcomes.NotRun(
                503,
                "not_ready",
                "The router has no configuration yet.",
                _NOT_READY_RETRY_MS,
            )
        account = authentication.find_client_account(current, request.headers)
        if isinstance(account, outcomes.NotRun):
            self._context.metrics.authentication_failures.add(1)
            return account
        caller = context.Caller(account, current, self._context.read_clock_ms())
        match (request.method, request.path):
            case ("POST", "/v1/chat/completions"):
                return await self._chat_handler.handle(
                    request, responder, caller
                )
            case ("GET", "/v1/models"):
                await chat_handler.send_models(responder, caller)
                return None
            case (_, path) if path.startswith(service_handler.PREFIX):
                return await self._service_handler.handle(
                    request, responder, caller
                )
            case (_, "/v1/chat/completions" | "/v1/models"):
                return outcomes.NotRun(
                    405, "bad_method", "The path does not support the method."
                )
            case _:
                return outcomes.NotRun(
                    404, "unknown_path", "The path does not exist."
                )


def _name_route(path: str) -> str:
    """Returns the metric label of a path, from a small fixed set."""
    if path.startswith(service_handler.PREFIX):
        return "services"
    if path in ("/v1/chat/completions", "/v1/models"):
        return path
    return "other"
