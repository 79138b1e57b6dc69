"""Plans requests by the configuration: route, account, service, deadline."""

import asyncio
from collections.abc import Callable
import hashlib

import attrs

from redwingchute.connection import http_server
from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.request import crash_evidence
from redwingchute.request import home_regions
from redwingchute.version import route_index

# The patience of callers that state none.
_DEFAULT_PATIENCE_MS = 30_000
# During a shutdown no new stream is accepted when less time than this is left.
# Most streams end within it.
_MIN_STREAM_MS = 5_000
# Events of a stream beyond two for each output token, such as comments.
_EXTRA_EVENTS = 64
# Retry-after while the configuration is missing or not confirmed as newest.
_RETRY_AFTER_MS = 500


@attrs.frozen
class Plan:
    """A request with its route, account, service and deadline.

    Attributes:
      request: The request as parsed from its headers.
      route: The route that matches it.
      account: The client account of the caller, or None on routes without
        keys.
      service: The service that runs it.
      arrived_ms: When it was read, on the steady clock.
      patience_ms: How long its response may take: the caller's patience, but
        at most the timeout of the route.
      deadline_s: When its response must be complete, on the event loop's
        clock.
      homes: Where it may run, and which hosts may carry it.
    """

    request: forwarding.ForwardRequest
    route: forwarding.Route
    account: forwarding.ClientAccount | None
    service: forwarding.Service
    arrived_ms: int
    patience_ms: int
    deadline_s: float
    homes: home_regions.Homes = home_regions.ANYWHERE


class Planner:
    """Plans requests by the configuration in force."""

    def __init__(
        self,
        find_index: Callable[[], route_index.RouteIndex | None],
        is_fresh: Callable[[], bool],
        find_time_left_ms: Callable[[], int | None],
        regions: home_regions.RegionMap,
    ) -> None:
        """Creates a planner.

        Args:
          find_index: Returns the configuration in force, or None.
          is_fresh: Returns whether that configuration is confirmed to be the
            newest version.
          find_time_left_ms: Returns the time until the process stops; None
            unless a shutdown has begun.
          regions: The regions of availability zones.
        """
        self._regions = regions
        self._find_index = find_index
        self._is_fresh = is_fresh
        self._find_time_left_ms = find_time_left_ms

    def plan(
        self, request: forwarding.ForwardRequest, arrived_ms: int
    ) -> Plan | outcomes.NotRun:
        """Returns the plan of a request, or its refusal."""
        index = self._find_index()
        if index is None:
            return outcomes.NotRun(
                503,
                "no_configuration",
                "This router has no configuration yet.",
                _RETRY_AFTER_MS,
            )
        route = index.find_route(request.host, request.path)
        if route is None:
            return self._refuse_unless_fresh(
                outcomes.NotRun(404, "no_route", "No route matches.")
            )
        account = None
        if index.needs_keys and not route.is_public:
            account = index.find_account(request.key or "")
            if account is None:
                return self._refuse_unless_fresh(
                    outcomes.NotRun(401, "unknown_key", "The key is unknown.")
                )
        if self._would_outlive_process(route):
            # A retry need not wait: a router that shuts down reports not
            # ready, so that the balancer sends retries to other routers.
            return outcomes.NotRun(
                503, "stopping", "This router is about to stop.", 0
            )
        patience_ms = request.patience_ms
        if patience_ms is None:
            patience_ms = _DEFAULT_PATIENCE_MS
        patience_ms = min(patience_ms, route.timeout_ms)
        return Plan(
            request=request,
            route=route,
            account=account,
            service=index.find_service(
                # The rest of a stream comes from the service that began it.
                route_index.choose_service(
                    route, request.resumed_id or request.id
                )
            ),
            arrived_ms=arrived_ms,
            patience_ms=patience_ms,
            deadline_s=asyncio.get_running_loop().time() + patience_ms / 1000,
            homes=self._regions.find_homes(route, account),
        )

    def _would_outlive_process(self, route: forwarding.Route) -> bool:
        """Returns whether a request may still run when the process stops."""
        remaining_ms = self._find_time_left_ms()
        if remaining_ms is None:
            return False
        if route.kind is forwarding.RequestKind.STREAMING:
            return remaining_ms < _MIN_STREAM_MS
        return remaining_ms < route.timeout_ms

    def _refuse_unless_fresh(self, refusal: outcomes.NotRun) -> outcomes.NotRun:
        """Returns a refusal that holds only for the newest configuration.

        An older configuration may lack a new route or key, so another refusal
        takes its place unless the configuration is confirmed as newest.
        """
        if self._is_fresh():
            return refusal
        return outcomes.NotRun(
            503,
            "configuration_out_of_date",
            "This router cannot confirm that its configuration is the newest.",
            _RETRY_AFTER_MS,
        )


def identify_request(
    plan: Plan, request: http_server.HttpRequest
) -> crash_evidence.RequestSubject:
    """Returns the subject that a request and its repeats have in common.

    Repeats have the same client account, method, host, target and body. They
    may come to any router, with other ids and deadlines, and may resume a
    stream.
    """
    head = f"{request.method} {plan.request.host} {request.target}\n"
    digest = hashlib.sha256(head.encode())
    digest.update(request.body)
    account = plan.account.name if plan.account else ""
    return crash_evidence.RequestSubject(account, digest.hexdigest()[:32])


def list_crash_subjects(
    plan: Plan, request_subject: crash_evidence.RequestSubject
) -> tuple[crash_evidence.Subject, ...]:
    """Returns what an upstream may end for when it runs a request.

    The last part of a prompt is no subject, since no other request has it.
    """
    generation = plan.request.generation
    parts = generation.shared_parts if generation else ()
    return (
        request_subject,
        crash_evidence.RepeatSubject(
            request_subject.client_account, request_subject.digest
        ),
        *(crash_evidence.PartSubject(part.id) for part in parts),
    )


def find_max_events(plan: Plan) -> int | None:
    """Returns the most events that the response to a request can have."""
    generation = plan.request.generation
    if generation is None:
        return None
    return _EXTRA_EVENTS + 2 * generation.max_output_tokens


def find_full_events(plan: Plan) -> int | None:
    """Returns the events of a response of the greatest length, if known."""
    generation = plan.request.generation
    per_event = plan.service.tokens_per_event
    if generation is None or per_event <= 0:
        return None
    return -(-generation.max_output_tokens // per_event)


def is_urgent(plan: Plan) -> bool:
    """Returns whether a request has the highest priority."""
    priority = plan.route.priority
    if plan.account is not None and plan.account.priority is not None:
        priority = plan.account.priority
    return priority <= 0


def find_priority(plan: Plan) -> int | None:
    """Returns a generation's priority at its upstream, else None."""
    if plan.request.generation is None:
        return None
    if plan.account is not None and plan.account.priority is not None:
        return plan.account.priority
    return plan.route.priority
