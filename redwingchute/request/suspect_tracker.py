"""Applies the evidence of crashing requests to the requests of one router."""

from collections.abc import Callable
from collections.abc import Sequence

import attrs

from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.core import requesting
from redwingchute.process import decision_log
from redwingchute.request import crash_evidence

# Observations of subjects with fewer ends are not kept: most are sound requests
# that ran on an upstream as it ended.
_KEPT_CRASHES = 2


@attrs.frozen
class Send:
    """A request that is sent to an upstream, and what was known of it then.

    Attributes:
      request_id: Identifies the request in the log.
      subjects: Its subjects.
      levels: The level of each subject, in the same order.
    """

    request_id: str
    subjects: tuple[crash_evidence.Subject, ...]
    levels: tuple[int, ...]


class SuspectTracker:
    """Refuses requests that are known to end upstreams, and observes others."""

    def __init__(
        self,
        evidence: crash_evidence.CrashEvidence,
        share: Callable[[tuple[requesting.CrashObservation, ...]], None],
        keep: Callable[[tuple[requesting.CrashObservation, ...]], None],
        read_clock_ms: Callable[[], int],
    ) -> None:
        """Creates the tracker of a router.

        Args:
          evidence: What the router knows.
          share: Has observations told to the other routers now.
          keep: Has observations kept for processes that start later.
          read_clock_ms: Returns the time on a steady clock.
        """
        self._evidence = evidence
        self._share = share
        self._keep = keep
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
            503,
            "quarantined",
            "The request, or a part of its prompt, crashed several upstreams.",
        )

    def begin_send(
        self, request_id: str, subjects: Sequence[crash_evidence.Subject]
    ) -> Send:
        """Records that a request is sent that `find_refusal` admitted.

        Args:
          request_id: Identifies the request in the log.
          subjects: Its subjects.

        Returns:
          What is known of the subjects at this moment.
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
        levels = tuple(map(self._evidence.find_level, subjects))
        return Send(request_id, tuple(subjects), levels)

    def record_crash(
        self, send: Send, upstream: forwarding.Upstream, event_count: int
    ) -> None:
        """Records that an upstream closed the connection of a request.

        Args:
          send: The request that was sent to it.
          upstream: The upstream.
          event_count: The events that the request had shown there.
        """
        if event_count > crash_evidence.MAX_SUSPECT_EVENTS:
            return
        now_ms = self._read_clock_ms()
        start = f"{upstream.id}/{upstream.born_ms}"
        news: list[requesting.CrashObservation] = []
        kept: list[requesting.CrashObservation] = []
        for subject, level in zip(send.subjects, send.levels, strict=True):
            found = self._evidence.record_crash(start, subject, level, now_ms)
            if not found:
                continue
            news.extend(found)
            crashes = self._evidence.list_crashes(subject)
            if len(crashes) >= _KEPT_CRASHES:
                kept.extend(crashes)
            decision_log.log_event(
                "crash_recorded",
                request_id=send.request_id,
                upstream=upstream.id,
                subject=crash_evidence.encode_subject(subject),
                crashes=len(crashes),
                level=self._evidence.find_level(subject),
            )
        self._publish(news, kept)

    def record_success(self, send: Send) -> None:
        """Records that a request completed, which clears its subjects."""
        now_ms = self._read_clock_ms()
        news: list[requesting.CrashObservation] = []
        kept: list[requesting.CrashObservation] = []
        for subject in send.subjects:
            found = self._evidence.record_success(subject, now_ms)
            if not found:
                continue
            news.extend(found)
            if len(found) >= _KEPT_CRASHES:
                kept.extend(found)
            decision_log.log_event(
                "suspect_cleared",
                request_id=send.request_id,
                subject=crash_evidence.encode_subject(subject),
                crashes=len(found),
            )
        self._publish(news, kept)

    def _publish(
        self,
        news: list[requesting.CrashObservation],
        kept: list[requesting.CrashObservation],
    ) -> None:
        """Tells the other routers, and keeps what must last."""
        if news:
            self._share(tuple(news))
        if kept:
            self._keep(tuple(kept))

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
