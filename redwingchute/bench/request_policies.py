"""The routing policies that the request bench compares.

Each instance is one router in front of the shared engines. `PoolPolicy` runs
the router's own admission and routing code; the two baselines dispatch every
request at once, without admission control.
"""

import abc
from collections.abc import Sequence
import itertools

import attrs

from redwingchute.bench import request_clock
from redwingchute.bench import request_engine
from redwingchute.core import configuration
from redwingchute.request import admission
from redwingchute.request import leaving_upstreams
from redwingchute.request import output_estimator
from redwingchute.request import pool

_TICK_INTERVAL_MS = 50
_REPORT_INTERVAL_MS = 1_000


class Policy(request_engine.Listener, abc.ABC):
    """One simulated router with its routing policy."""

    @abc.abstractmethod
    def handle_request(self, request: request_engine.SimulatedRequest) -> None:
        """Handles a request that arrives now."""


class PoolPolicy(Policy):
    """Runs the router's own request pool, with delayed load reports."""

    def __init__(
        self,
        clock: request_clock.Clock,
        engines: Sequence[request_engine.SimulatedEngine],
        router_count: int,
        report_lag_ms: int,
    ) -> None:
        """Creates the pool and starts its timers.

        Args:
          clock: The simulated clock.
          engines: The engines, which all routers share.
          router_count: The number of routers that share the engines.
          report_lag_ms: The age of the load reports when they arrive.
        """
        self._clock = clock
        self._engines = {engine.name: engine for engine in engines}
        self._report_lag_ms = report_lag_ms
        upstreams = [
            configuration.Upstream(
                engine.name, "127.0.0.1:1", "zone", engine.slots
            )
            for engine in engines
        ]
        self._pool = pool.Pool(
            pool.PoolSettings("zone"),
            upstreams,
            leaving_upstreams.LeavingUpstreams(),
            router_count,
        )
        self._estimator = output_estimator.OutputEstimator()
        self._ids = itertools.count(1)
        # Requests that wait in the pool, by ticket id.
        self._requests: dict[int, request_engine.SimulatedRequest] = {}
        # Ticket ids of the requests at an engine, by `id` of the request.
        self._ticket_ids: dict[int, int] = {}
        self._tick()
        self._poll_load()

    def handle_request(self, request: request_engine.SimulatedRequest) -> None:
        """Submits a request to the pool."""
        ticket_id = next(self._ids)
        template = request.ticket_template
        ticket = attrs.evolve(
            template,
            ticket_id=ticket_id,
            expected_output_tokens=self._estimator.estimate_tokens(
                template.client_account,
                template.kind,
                request.max_output_tokens,
            ),
        )
        self._requests[ticket_id] = request
        match self._pool.submit(ticket, None, self._now_ms()):
            case admission.Refused():
                request.is_refused = True
                del self._requests[ticket_id]
            case pool.Accepted(displaced):
                if displaced is not None:
                    self._refuse(displaced.ticket.ticket_id)
        self._advance()

    def handle_first_token(
        self, request: request_engine.SimulatedRequest
    ) -> None:
        """Records in the pool that output began."""
        self._pool.record_first_token(
            self._ticket_ids[id(request)], self._now_ms()
        )

    def handle_end(self, request: request_engine.SimulatedRequest) -> None:
        """Records in the pool and the estimator that a response ended."""
        template = request.ticket_template
        self._estimator.record_output(
            template.client_account,
            template.kind,
            request.max_output_tokens,
            request.output_tokens,
        )
        ticket_id = self._ticket_ids.pop(id(request))
        self._pool.record_end(ticket_id, self._now_ms(), request.output_tokens)
        self._advance()

    def _now_ms(self) -> int:
        """Returns the current time in whole milliseconds."""
        return int(self._clock.now_ms)

    def _refuse(self, ticket_id: int) -> None:
        """Refuses a waiting request."""
        self._requests.pop(ticket_id).is_refused = True

    def _advance(self) -> None:
        """Refuses expired requests and dispatches the next ones of the pool."""
        now_ms = self._now_ms()
        for expired in self._pool.expire(now_ms):
            self._refuse(expired.ticket.ticket_id)
        while (assignment := self._pool.start_next(now_ms)) is not None:
            self._dispatch(assignment, now_ms)

    def _dispatch(self, assignment: pool.Assignment, now_ms: int) -> None:
        """Dispatches a request; resubmits it if the engine is unreachable."""
        ticket_id = assignment.ticket.ticket_id
        request = self._requests.pop(ticket_id)
        engine = self._engines[assignment.upstream.name]
        self._ticket_ids[id(request)] = ticket_id
        if engine.submit(request, self):
            return
        del self._ticket_ids[id(request)]
        self._pool.upstreams.mark_unreachable(engine.name, now_ms)
        self._pool.record_end(ticket_id, now_ms, None)
        self.handle_request(request)

    def _tick(self) -> None:
        """Advances the pool periodically while requests wait."""
        if self._pool.queued_count:
            self._advance()
        self._clock.call_later(_TICK_INTERVAL_MS, self._tick)

    def _poll_load(self) -> None:
        """Polls the engines for their delayed load reports."""
        for engine in self._engines.values():
            if engine.is_unreachable:
                self._pool.upstreams.mark_unreachable(
                    engine.name, self._now_ms()
                )
                continue
            report = engine.get_delayed_load_report(self._report_lag_ms)
            self._pool.upstreams.handle_load_report(
                engine.name, report, self._now_ms()
            )
        self._advance()
        self._clock.call_later(_REPORT_INTERVAL_MS, self._poll_load)


class RoundRobinPolicy(Policy):
    """Sends each request to the next engine, without admission."""

    def __init__(
        self, engines: Sequence[request_engine.SimulatedEngine], offset: int
    ) -> None:
        """Creates a policy that starts at the engine with index `offset`."""
        self._engines = engines
        self._next_index = offset

    def handle_request(self, request: request_engine.SimulatedRequest) -> None:
        """Tries engines in turn until one accepts the request."""
        for _ in self._engines:
            engine = self._engines[self._next_index % len(self._engines)]
            self._next_index += 1
            if engine.submit(request, self):
                return


class LeastOutstandingPolicy(Policy):
    """Sends each request to the engine with the fewest outstanding requests.

    It counts this router's requests only.
    """

    def __init__(
        self, engines: Sequence[request_engine.SimulatedEngine]
    ) -> None:
        """Creates a policy without outstanding requests."""
        self._outstanding = {engine.name: 0 for engine in engines}
        self._engines = engines
        # The engine of each outstanding request, by `id` of the request.
        self._engine_names: dict[int, str] = {}

    def handle_request(self, request: request_engine.SimulatedRequest) -> None:
        """Tries engines in ascending order of outstanding requests."""
        ranked = sorted(
            self._engines, key=lambda engine: self._outstanding[engine.name]
        )
        for engine in ranked:
            if engine.submit(request, self):
                self._outstanding[engine.name] += 1
                self._engine_names[id(request)] = engine.name
                return

    def handle_end(self, request: request_engine.SimulatedRequest) -> None:
        """Decrements the outstanding requests of the engine."""
        self._outstanding[self._engine_names.pop(id(request))] -= 1
