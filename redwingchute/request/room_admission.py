"""Decides whether there is room for a request, before anything is charged.

Where room is divided and a configuration has several client accounts, an
account that uses more than its share of a service under pressure is refused
earlier, and plain services have admission too. Other deployments refuse
generations by their delay alone.
"""

from collections.abc import Callable

from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.process import decision_log
from redwingchute.request import account_shares
from redwingchute.request import forward_plan
from redwingchute.request import load_shedding
from redwingchute.request import returning_callers
from redwingchute.request import service_pressure
from redwingchute.request import upstream_directory
from redwingchute.version import route_index

# How long a division is used again; counts of other routers arrive less often.
_DIVISION_TTL_MS = 100
# The weight of the newest request in the mean work of a service's requests.
_SAMPLE_WEIGHT = 0.05


class RoomAdmission:
    """Admits or refuses the requests of one router."""

    def __init__(
        self,
        directory: upstream_directory.UpstreamDirectory,
        find_index: Callable[[], route_index.RouteIndex | None],
        divides_room: bool,
    ) -> None:
        """Creates the admission.

        Args:
          directory: The upstreams, with the load and work of the fleet.
          find_index: Returns the configuration in force, or None.
          divides_room: Whether too little room is divided among accounts.
        """
        self._directory = directory
        self._divides_room = divides_room
        self._find_index = find_index
        self._returning = returning_callers.ReturningCallers()
        self._weights: dict[str, float] = {}
        self._targets_ms: dict[str, set[tuple[int, int]]] = {}
        self._weighed_table: forwarding.RouteTable | None = None
        self._mean_units: dict[str, float] = {}
        self._divisions: dict[str, tuple[int, account_shares.Division]] = {}

    def refuse_if_busy(
        self, plan: forward_plan.Plan, now_ms: int
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request without room, or None."""
        is_shared = self._has_shares(plan)
        generation = plan.request.generation
        if generation is None and not is_shared:
            return None
        pressure = self._directory.measure_pressure(
            plan.service.name,
            plan.request,
            now_ms,
            forward_plan.is_urgent(plan),
            plan.homes,
            plan.route.target_latency_ms,
        )
        target_ms = plan.route.target_latency_ms
        priority = forward_plan.find_priority(plan) or 0
        if pressure is None:
            return None
        if not is_shared:
            return load_shedding.refuse_if_late(
                pressure.delay_ms, target_ms, priority
            )
        return self._refuse_by_share(plan, pressure, priority, now_ms)

    def record_admitted(self, plan: forward_plan.Plan, now_ms: int) -> None:
        """Records that a request is sent to an upstream."""
        self._record_work(plan, True, now_ms)

    def record_rejected(self, plan: forward_plan.Plan, now_ms: int) -> None:
        """Records that all tried upstreams rejected a request for room."""
        if self._has_shares(plan):
            assert plan.account is not None
            self._directory.works.record_rejected(
                plan.service.name,
                plan.account.name,
                _count_units(plan),
                now_ms,
            )

    def _has_shares(self, plan: forward_plan.Plan) -> bool:
        """Returns whether the account of a request competes with others."""
        return (
            self._divides_room
            and plan.account is not None
            and len(self._find_weights()) > 1
        )

    def _refuse_by_share(
        self,
        plan: forward_plan.Plan,
        pressure: service_pressure.ServicePressure,
        priority: int,
        now_ms: int,
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request of one of several accounts."""
        caller = load_shedding.Caller(
            plan.request.id,
            priority,
            plan.route.target_latency_ms,
            self._find_binding_target_ms(plan, priority),
            plan.request.patience_ms or plan.patience_ms,
            self._returning.record(
                plan.route.name, plan.request.patience_ms, now_ms
            ),
        )
        if pressure.delay_ms <= load_shedding.find_min_limit_ms(
            caller.binding_target_ms
        ) and (pressure.taken_share <= pressure.idle_share):
            return None
        assert plan.account is not None
        division = self._divide(plan.service.name, now_ms)
        work_age_ms = self._directory.works.find_age_ms(now_ms)
        share = None
        if work_age_ms is not None:
            share = division.find_share(plan.account.name)
        refusal = load_shedding.refuse_for_room(
            pressure, caller, division, share, work_age_ms
        )
        if refusal is not None:
            self._record_work(plan, False, now_ms)
            is_over = share is not None and share.is_exceeded
            decision_log.count_event(
                "refused_over_share" if is_over else "refused_within_share"
            )
        return refusal

    def _divide(self, service: str, now_ms: int) -> account_shares.Division:
        """Returns how the room of a service is divided."""
        known = self._divisions.get(service)
        if known is not None and now_ms - known[0] < _DIVISION_TTL_MS:
            return known[1]
        division = account_shares.divide(
            self._directory.works.list_works(service, now_ms),
            self._find_weights(),
            self._mean_units.get(service, 1.0),
        )
        self._divisions[service] = now_ms, division
        return division

    def _record_work(
        self, plan: forward_plan.Plan, is_admitted: bool, now_ms: int
    ) -> None:
        """Records the work of a request, if several accounts compete."""
        if not self._has_shares(plan):
            return
        assert plan.account is not None
        units = _count_units(plan)
        service = plan.service.name
        mean = self._mean_units.get(service, float(units))
        self._mean_units[service] = mean + _SAMPLE_WEIGHT * (units - mean)
        self._directory.works.record(
            service, plan.account.name, units, is_admitted, now_ms
        )

    def _find_binding_target_ms(
        self, plan: forward_plan.Plan, priority: int
    ) -> int:
        """Returns the least target of a service down to a priority."""
        return min(
            [
                target_ms
                for other, target_ms in self._targets_ms.get(
                    plan.service.name, ()
                )
                if other <= priority
            ],
            default=plan.route.target_latency_ms,
        )

    def _find_weights(self) -> dict[str, float]:
        """Returns the weight of each client account in force."""
        index = self._find_index()
        table = index.table if index is not None else None
        if table is not self._weighed_table:
            self._weighed_table = table
            accounts = table.accounts if table is not None else ()
            self._targets_ms = _list_targets(table)
            self._weights = account_shares.find_weights(
                {account.name: account.prepaid_tokens for account in accounts}
            )
        return self._weights


def _count_units(plan: forward_plan.Plan) -> int:
    """Returns the work of a request: its prompt tokens, or 1."""
    generation = plan.request.generation
    return generation.prompt_tokens if generation is not None else 1


def _list_targets(
    table: forwarding.RouteTable | None,
) -> dict[str, set[tuple[int, int]]]:
    """Returns the priorities and target latencies of each service's routes."""
    targets_ms: dict[str, set[tuple[int, int]]] = {}
    for route in table.routes if table is not None else ():
        for target in route.services:
            if route.target_latency_ms:
                targets_ms.setdefault(target.service, set()).add(
                    (route.priority, route.target_latency_ms)
                )
    return targets_ms
