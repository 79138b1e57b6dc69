"""Tracks the upstreams that bear few requests because they started lately.

The configuration says for how long a start of a service is cold and how many
requests a second it bears meanwhile; an upstream's entry says how long it stays
cold. Requests to a cold upstream need permits of its limiters, which issue them
at that rate.

An upstream whose connections fail may be back as a new start that has written
no entry yet. It counts as cold, too, until entries that were written later say
that it is not.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math

import attrs

from redwingchute.core import forwarding
from redwingchute.core import rate_limiting
from redwingchute.process import decision_log
from redwingchute.request import upstream_choice

# The first entry read after a failure may have been written before it, and so
# may all that one read brings.
_ENTRIES_UNTIL_SURE = 2
_MIN_READ_INTERVAL_MS = 100
# A cold upstream is worth a permit, which may be refused, if it begins a
# response sooner than a warm one by a good part of the time that callers allow.
_MIN_GAIN_MS = 300.0
# After this many cold upstreams a request is offered to warm ones only: each
# permit that is refused costs a round trip.
_MAX_COLD_TRIES = 3


@attrs.define
class _State:
    """What is known of the newest start of an upstream.

    Attributes:
      service: Its service.
      born_ms: Its start time; 0 if it is not known.
      sequence: The number of its newest entry.
      first_read_ms: When its first entry was read, on the steady clock.
      age_ms: How long it had run by then, as far as its start time tells.
      end_ms: When it is warm; None if it states nothing.
      unsure_entries: How many entries must be read before it counts as warm,
        because a connection failed.
      read_ms: When the newest entry was read.
      since_ms: Since when it counts as cold; None if it does not.
      permits: The requests that this router was permitted to send it since.
    """

    service: str
    born_ms: int
    sequence: int
    first_read_ms: int
    age_ms: int
    end_ms: int | None = None
    unsure_entries: int = 0
    read_ms: int = 0
    since_ms: int | None = None
    permits: int = 0


class ColdUpstreams:
    """The cold upstreams, as one router knows them.

    A state is found by the id of an instance, whatever its start: a request for
    an earlier start reaches the present one.
    """

    def __init__(
        self,
        read_clock_ms: Callable[[], int],
        read_wall_ms: Callable[[], int],
        broadcast: Callable[[rate_limiting.ColdNotice], None],
    ) -> None:
        """Creates an instance that knows no service.

        Args:
          read_clock_ms: Returns the time on a steady clock.
          read_wall_ms: Returns the time since the Unix epoch.
          broadcast: Sends a notice to all other routers, best effort.
        """
        self._read_clock_ms = read_clock_ms
        self._read_wall_ms = read_wall_ms
        self._broadcast = broadcast
        self._services: dict[str, forwarding.Service] = {}
        self._states: dict[str, _State] = {}
        # The upstreams that were cold when something was last heard of them.
        self._cold_ids: set[str] = set()

    def set_services(self, services: Iterable[forwarding.Service]) -> None:
        """Sets the services of the configuration in force."""
        self._services = {
            service.name: service
            for service in services
            if service.cold_requests_per_s > 0
        }
        for upstream_id, state in self._states.items():
            self._record_change(upstream_id, state, "configuration")

    def record_entry(self, upstream: forwarding.Upstream) -> None:
        """Records an entry that an upstream has written."""
        now_ms = self._read_clock_ms()
        state = self._states.get(upstream.id)
        if state is None or (state.service, state.born_ms) != (
            upstream.service,
            upstream.born_ms,
        ):
            age_ms = max(0, self._read_wall_ms() - upstream.born_ms)
            state = _State(
                upstream.service, upstream.born_ms, 0, now_ms, age_ms
            )
            self._states[upstream.id] = state
            self._cold_ids.discard(upstream.id)
        state.sequence = upstream.sequence
        if now_ms - state.read_ms >= _MIN_READ_INTERVAL_MS:
            state.unsure_entries = max(0, state.unsure_entries - 1)
        state.read_ms = now_ms
        state.end_ms = (
            None if upstream.cold_ms is None else now_ms + upstream.cold_ms
        )
        self._record_change(upstream.id, state, "entry")

    def record_response(
        self, upstream: forwarding.Upstream, cold_ms: int | None
    ) -> None:
        """Records how long an upstream stays cold, as a response states it.

        Args:
          upstream: The upstream.
          cold_ms: The time; None if the response states none.
        """
        if cold_ms is None:
            return
        if self.mark_cold(upstream.start, cold_ms, "response") and cold_ms:
            self._broadcast(
                rate_limiting.ColdNotice(
                    upstream.id, upstream.born_ms, upstream.sequence, cold_ms
                )
            )

    def mark_cold(
        self, start: forwarding.UpstreamStart, cold_ms: int, source: str
    ) -> bool:
        """Marks an upstream as cold for some time; returns whether it is new.

        Args:
          start: The start of the upstream.
          cold_ms: The time; 0 if it is warm.
          source: Where this router learned it from.
        """
        state = self._states.get(start.id)
        if state is None or state.born_ms != start.born_ms:
            return False
        was_cold = self._is_cold(state)
        state.end_ms = self._read_clock_ms() + cold_ms
        state.unsure_entries = 0
        self._record_change(start.id, state, source)
        return was_cold != self._is_cold(state)

    def record_failure(self, upstream: forwarding.Upstream) -> None:
        """Records that a connection to an upstream was refused or broke."""
        if upstream.service not in self._services:
            return
        state = self._states.get(upstream.id)
        if state is None or state.born_ms != upstream.born_ms:
            return
        if not state.unsure_entries:
            self._broadcast(
                rate_limiting.ColdNotice(
                    upstream.id, upstream.born_ms, state.sequence, 0
                )
            )
        self._mark_unsure(upstream.id, state, "failure")

    def handle_notice(
        self, host: str, notice: rate_limiting.ColdNotice
    ) -> None:
        """Handles what another router observed.

        Args:
          host: The host of the other router.
          notice: Its observation.
        """
        state = self._states.get(notice.upstream)
        if state is None or state.born_ms != notice.born_ms:
            return
        if notice.cold_ms:
            start = forwarding.UpstreamStart(notice.upstream, notice.born_ms)
            self.mark_cold(start, notice.cold_ms, host)
        elif state.sequence - notice.sequence < _ENTRIES_UNTIL_SURE:
            self._mark_unsure(notice.upstream, state, host)

    def _mark_unsure(
        self, upstream_id: str, state: _State, source: str
    ) -> None:
        """Counts an upstream as cold until its later entries say otherwise."""
        state.unsure_entries = _ENTRIES_UNTIL_SURE
        self._record_change(upstream_id, state, source)

    def remove(self, upstream_id: str) -> None:
        """Removes an upstream whose entry is gone; unknown ones are ignored."""
        self._states.pop(upstream_id, None)
        self._cold_ids.discard(upstream_id)

    def find_rate(self, upstream_id: str) -> float:
        """Returns the requests a second that a cold upstream bears.

        Returns:
          Infinity if it is not cold.
        """
        # The usual case: nothing has to be looked up.
        if upstream_id not in self._cold_ids:
            return math.inf
        state = self._states[upstream_id]
        if not self._is_cold(state):
            return math.inf
        return self._services[state.service].cold_requests_per_s

    def choose(
        self,
        candidates: Sequence[upstream_choice.Candidate],
        excluded: frozenset[str],
        choose: Callable[
            [Sequence[upstream_choice.Candidate]],
            upstream_choice.Candidate | None,
        ],
    ) -> upstream_choice.Candidate | None:
        """Returns the upstream for a request, a warm one if it is good enough.

        An upstream whose connections failed, and which states nothing, is taken
        like a warm one: it is cold in few cases.

        Args:
          candidates: The upstreams that the request may be sent to.
          excluded: Upstreams that were tried for it.
          choose: Chooses among some of the candidates.
        """
        if not self._cold_ids:
            return choose(candidates)
        if sum(map(self._needs_permit, excluded)) >= _MAX_COLD_TRIES:
            candidates = [
                candidate
                for candidate in candidates
                if not self._needs_permit(candidate.upstream.id)
            ]
        starting, others = [], []
        for candidate in candidates:
            if self._is_starting(candidate.upstream.id):
                starting.append(candidate)
            else:
                others.append(candidate)
        return _prefer_warm(choose(others), choose(starting))

    def _needs_permit(self, upstream_id: str) -> bool:
        """Returns whether an upstream counts as cold."""
        return self.find_rate(upstream_id) < math.inf

    def _is_starting(self, upstream_id: str) -> bool:
        """Returns whether an upstream is cold by its statement or its age."""
        if upstream_id not in self._cold_ids:
            return False
        state = self._states[upstream_id]
        return self._find_end_ms(state) > self._read_clock_ms()

    def record_permit(self, upstream_id: str) -> None:
        """Counts a request that this router may send to a cold upstream."""
        decision_log.count_event("cold_permit_acquired")
        state = self._states.get(upstream_id)
        if state is not None:
            state.permits += 1

    def list_cold(self) -> tuple[str, ...]:
        """Returns the ids of the upstreams that count as cold."""
        return tuple(
            upstream_id
            for upstream_id in sorted(self._cold_ids)
            if self._is_cold(self._states[upstream_id])
        )

    def _is_cold(self, state: _State) -> bool:
        """Returns whether a start counts as cold."""
        if state.service not in self._services:
            return False
        return (
            state.unsure_entries > 0
            or self._find_end_ms(state) > self._read_clock_ms()
        )

    def _find_end_ms(self, state: _State) -> int:
        """Returns when a start is warm, by what it states or by its age."""
        service = self._services.get(state.service)
        if service is None:
            return 0
        if state.end_ms is not None:
            return state.end_ms
        return state.first_read_ms + service.cold_start_ms - state.age_ms

    def _record_change(
        self, upstream_id: str, state: _State, source: str
    ) -> None:
        """Records and logs that an upstream has turned cold or warm."""
        is_cold = self._is_cold(state)
        if is_cold == (state.since_ms is not None):
            return
        now_ms = self._read_clock_ms()
        if is_cold:
            self._cold_ids.add(upstream_id)
            state.since_ms, state.permits = now_ms, 0
            decision_log.log_event(
                "upstream_cold",
                upstream=upstream_id,
                source=source,
                born_ms=state.born_ms,
                remaining_ms=max(0, self._find_end_ms(state) - now_ms),
            )
            return
        self._cold_ids.discard(upstream_id)
        decision_log.log_event(
            "upstream_warm",
            upstream=upstream_id,
            source=source,
            born_ms=state.born_ms,
            cold_for_ms=now_ms - (state.since_ms or now_ms),
            permits=state.permits,
        )
        state.since_ms = None


def _prefer_warm(
    warm: upstream_choice.Candidate | None,
    cold: upstream_choice.Candidate | None,
) -> upstream_choice.Candidate | None:
    """Returns the better one of a warm and a cold upstream."""
    if warm is None or cold is None:
        return warm or cold
    warm_ms = warm.delay_ms + warm.cost_ms
    cold_ms = cold.delay_ms + cold.cost_ms
    is_sooner = warm_ms > cold_ms + _MIN_GAIN_MS
    has_room = (
        cold.load < cold.upstream.slots and warm.load >= warm.upstream.slots
    )
    return cold if is_sooner or has_room else warm
