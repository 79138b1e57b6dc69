"""Applies the evidence of crashing requests to the requests of one router."""

from collections.abc import Callable
from collections.abc import Sequence

from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.core import requesting
from redwingchute.process import decision_log
from redwingchute.request import crash_evidence


class SuspectTracker:
    """Refuses requests that are known to end upstreams, and observes others."""

    def __init__(
        self,
        evidence: crash_evidence.CrashEvidence,
        share: Callable[[tuple[requesting.CrashObservation, ...]], None],
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates the tracker of a router.

        Args:
          evidence: What the router knows.
          share: Has observations told to other routers and kept.
          read_clock_ms: Returns the time on a steady clock.
        """
        self._evidence = evidence
        self._share = share
        self._read_clock_ms = read_clock_ms

    def find_refusal(
        self, subjects: Sequence[crash_evidence.Subject]
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request that must not be sent now.

        Args:
          subjects: The subjects of the request.
        """
        now_ms = self._read_clock_ms()
        if self._evidence.find_avoided(subjects, now_ms) is None:
            return None
        return outcomes.NotRun(
            503, "quarantined", "The request crashed several upstreams."
        )

    def begin_send(
        self, request_id: str, subjects: Sequence[crash_evidence.Subject]
    ) -> None:
        """Records that a request is sent that `find_refusal` admitted.

        Args:
          request_id: Identifies the request in the log.
          subjects: Its subjects.
        """
        for subject in self._evidence.begin_trials(
            subjects, self._read_clock_ms()
        ):
            decision_log.log_event(
                "suspect_tried",
                request_id=request_id,
                subject=crash_evidence.encode_subject(subject),
                crashes=self._evidence.count_crashes(subject),
            )

    def record_crash(
        self,
        request_id: str,
        subjects: Sequence[crash_evidence.Subject],
        upstream: forwarding.Upstream,
        event_count: int,
    ) -> None:
        """Records that an upstream closed the connection of a request.

        Args:
          request_id: Identifies the request in the log.
          subjects: Its subjects.
          upstream: The upstream.
          event_count: The events that the request had shown there.
        """
        if event_count > crash_evidence.MAX_SUSPECT_EVENTS:
            return
        now_ms = self._read_clock_ms()
        start = f"{upstream.id}/{upstream.born_ms}"
        for subject in subjects:
            news = self._evidence.record_crash(start, subject, now_ms)
            if not news:
                continue
            self._share(news)
            decision_log.log_event(
                "crash_recorded",
                request_id=request_id,
                upstream=upstream.id,
                subject=crash_evidence.encode_subject(subject),
                crashes=self._evidence.count_crashes(subject),
            )

    def record_success(
        self, request_id: str, subjects: Sequence[crash_evidence.Subject]
    ) -> None:
        """Records that a request completed, which clears its subjects.

        Args:
          request_id: Identifies the request in the log.
          subjects: Its subjects.
        """
        now_ms = self._read_clock_ms()
        for subject in subjects:
            news = self._evidence.record_success(subject, now_ms)
            if not news:
                continue
            self._share(news)
            decision_log.log_event(
                "suspect_cleared",
                request_id=request_id,
                subject=crash_evidence.encode_subject(subject),
                crashes=len(news),
            )

    def handle_observations(
        self,
        source: str,
        observations: tuple[requesting.CrashObservation, ...],
    ) -> None:
        """Applies what other routers observed.

        Args:
          source: Where the observations come from, for the log.
          observations: The observations; known ones have no effect.
        """
        news = self._evidence.apply(observations, self._read_clock_ms())
        for observation in news:
            decision_log.log_event(
                "crash_observation_received",
                source=source,
                subject=observation.subject,
                upstream=observation.upstream_start,
                is_cleared=observation.is_cleared,
            )
