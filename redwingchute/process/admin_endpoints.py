"""Serves health, metrics and the administration API on the admin address."""

from collections.abc import Callable

from redwingchute.connection import http_server
from redwingchute.process import telemetry

# The content type of the Prometheus text format.
_TEXT = "text/plain; version=0.0.4"


class AdminEndpoints:
    """Dispatches requests on the admin address."""

    def __init__(
        self,
        metrics: telemetry.Metrics,
        explain_not_ready: Callable[[], str | None],
        admin_handler: http_server.Handler,
    ) -> None:
        """Initializes the endpoints.

        Args:
          metrics: Served at `/metrics`.
          explain_not_ready: Returns why the router is not ready, or None if it
            is ready.
          admin_handler: Handles all paths below `/admin/`.
        """
        self._metrics = metrics
        self._explain_not_ready = explain_not_ready
        self._admin_handler = admin_handler

    async def handle(
        self,
        request: http_server.HttpRequest,
        responder: http_server.HttpResponder,
    ) -> None:
        """Answers one request."""
        if request.path.startswith("/admin/"):
            await self._admin_handler(request, responder)
            return
        match (request.method, request.path):
            case ("GET", "/healthz"):
                await responder.send(200, b"live\n", _TEXT)
            case ("GET", "/readyz"):
                reason = self._explain_not_ready()
                status = 200 if reason is None else 503
                body = f"{reason or 'ready'}\n".encode()
                await responder.send(status, body, _TEXT)
            case ("GET", "/metrics"):
                await responder.send(200, self._metrics.render(), _TEXT)
            case _:
                await responder.send(404, b"not found\n", _TEXT)
