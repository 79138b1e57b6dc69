"""Tests of requests on routes whose requests are split over services."""

import asyncio

from redwingchute.core import forwarding
from redwingchute.request import forward_plan
from redwingchute.request import home_regions
from redwingchute.version import route_index

_ROUTE = forwarding.Route(
    name="summary",
    host="a.example",
    path_prefix="/",
    kind=forwarding.RequestKind.STREAMING,
    services=(
        forwarding.WeightedService("llm-1", 1.0),
        forwarding.WeightedService("llm-2", 1.0),
    ),
    timeout_ms=2_000,
    target_latency_ms=300,
    max_attempts=2,
    is_resumable=True,
)
_REQUESTS = [f"request-{number}" for number in range(32)]


# Guards against a stream whose rest comes from another service, since the
# caller's second request has another id.
def test_the_rest_of_a_stream_comes_from_the_service_that_began_it() -> None:
    index = route_index.RouteIndex(
        forwarding.RouteTable(version=1, routes=(_ROUTE,))
    )
    planner = forward_plan.Planner(
        lambda: index, lambda: True, lambda: None, home_regions.RegionMap()
    )

    def find_service(request_id: str, resumed_id: str | None) -> str:
        request = forwarding.ForwardRequest(
            id=request_id,
            host="a.example",
            path="/1",
            patience_ms=1_000,
            key=None,
            resumed_id=resumed_id,
        )
        plan = planner.plan(request, 0)
        assert isinstance(plan, forward_plan.Plan)
        return plan.service.name

    async def main() -> None:
        services = [find_service(first, None) for first in _REQUESTS]
        assert len(set(services)) == 2
        assert services == [
            find_service(f"again-{first}", first) for first in _REQUESTS
        ]

    asyncio.run(main())
