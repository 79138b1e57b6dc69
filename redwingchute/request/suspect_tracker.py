"""Applies the evidence of crashing requests to the requests of one router."""

from collections.abc import Callable
from collections.abc import Sequence

import attrs

from redwingchute.connection import http_client
from redwingchute.core import forwarding
from redwingchute.core import outcomes
from redwingchute.core import requesting
from redwingchute.process import decision_log
from redwingchute.request import crash_evidence
from redwingchute.request import outlived_ends
from redwingchute.request import unfinished_sends

# Observations of subjects with fewer ends are not kept: most are sound requests
# that ran on an upstream as it ended.
_KEPT_CRASHES = 2
# Ends that this router observes within this time are one observation; a proof
# that one was none takes longer to come by entries.
_OBSERVATION_MS = 1_000


@attrs.frozen
class Send:
    """A request that is sent to an upstream, and what was known of it then.

    Attributes:
      request_id: Identifies the request in the log.
      subjects: Its subjects.
      levels: The level of each subject, in the same order.
      mark: A mark of before it was sent, see `http_client.take_mark`.
    """

    request_id: str
    subjects: tuple[crash_evidence.Subject, ...]
    levels: tuple[int, ...]
    mark: int = 0


class SuspectTracker:
    """Refuses requests that are known to end upstreams, and observes others."""

    def __init__(
        self,
        evidence: crash_evidence.CrashEvidence,
        share: Callable[[tuple[requesting.CrashObservation, ...]], None],
        keep: Callable[[tuple[requesting.CrashObservation, ...]], None],
        read_clock_ms: Callable[[], int],
        observer: str = "",
        take_mark: Callable[[], int] = http_client.take_mark,
    ) -> None:
        """Creates the tracker of a router.

        Args:
          evidence: What the router knows.
          share: Has observations told to the other routers now.
          keep: Has observations kept for processes that start later.
          read_clock_ms: Returns the time on a steady clock.
          observer: Identifies this process among the observers of ends; empty
            if what it observes is never withdrawn.
          take_mark: Returns a mark, see `http_client.take_mark`.
        """
        self._observer = observer and f"{observer}/"
        self._take_mark = take_mark
        self._withdrawals = 0
        self._outlived = outlived_ends.OutlivedEnds()
        self._unfinished = unfinished_sends.UnfinishedSends[Send]()
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
        return Send(request_id, tuple(subjects), levels, self._take_mark())

    def record_crash(
        self, send: Send, upstream: forwarding.Upstream, event_count: int
    ) -> None:
        """Records that an upstream closed the connection of a request.

        Args:
          send: The request that was sent to it.
          upstream: The upstream.
          event_count: The events that the request had shown there.
        """
        # What was withdrawn is never observed again under the same name, also
        # if another router has withdrawn it before this one does.
        number = (
            f"{self._withdrawals}.{self._read_clock_ms() // _OBSERVATION_MS}"
        )
        observer = self._observer and f"{self._observer}{number}"
        is_late = event_count > crash_evidence.MAX_SUSPECT_EVENTS
        self._record_end(send, upstream, is_late, observer)
        self._record_unfinished_ends(upstream, observer)

    def record_unfinished(
        self, send: Send, upstream: forwarding.Upstream
    ) -> None:
        """Records that a request ended here while its upstream ran it.

        Args:
          send: The request.
          upstream: The upstream, which has not closed its connection.
        """
        self._unfinished.add(
            outlived_ends.name_start(upstream), send, self._read_clock_ms()
        )

    def record_down(self, upstream: forwarding.Upstream) -> None:
        """Records that the process of an upstream has ended for certain."""
        self._record_unfinished_ends(upstream, "")

    def _record_unfinished_ends(
        self, upstream: forwarding.Upstream, observer: str
    ) -> None:
        """Records an end of an upstream under its unfinished requests."""
        start = outlived_ends.name_start(upstream)
        for send in self._unfinished.pop(start, self._read_clock_ms()):
            self._record_end(send, upstream, True, observer)

    def _record_end(
        self,
        send: Send,
        upstream: forwarding.Upstream,
        is_late: bool,
        observer: str,
    ) -> None:
        """Records the end of an upstream under the subjects of a request.

        Args:
          send: The request.
          upstream: The upstream.
          is_late: Whether the end likely has another cause.
          observer: Identifies the observation; empty if it is certain.
        """
        now_ms = self._read_clock_ms()
        start = outlived_ends.name_start(upstream)
        marks = (send.mark, self._take_mark())
        news: list[requesting.CrashObservation] = []
        kept: list[requesting.CrashObservation] = []
        for subject, level in zip(send.subjects, send.levels, strict=True):
            if is_late is not isinstance(subject, crash_evidence.RepeatSubject):
                continue
            found = self._evidence.record_crash(
                start, subject, level, now_ms, observer
            )
            if observer and observer in self._evidence.list_observers(
                subject, start
            ):
                self._outlived.record_own(
                    start, subject, observer, marks, now_ms
                )
            if not found:
                continue
            news.extend(found)
            crashes = self._evidence.count_crashes(subject)
            if crashes >= _KEPT_CRASHES:
                kept.extend(self._evidence.list_crashes(subject))
            decision_log.log_event(
                "crash_recorded",
                request_id=send.request_id,
                upstream=upstream.id,
                subject=crash_evidence.encode_subject(subject),
                crashes=crashes,
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

    def record_response(
        self, send: Send, upstream: forwarding.Upstream, connection: int
    ) -> None:
        """Records that an upstream responded; it may have outlived an end.

        Args:
          send: The request that it responded to.
          upstream: The upstream.
          connection: The number of the connection.
        """
        self._withdraw(
            self._outlived.pop_by_response(
                outlived_ends.name_start(upstream),
                connection,
                send.mark,
                self._observer,
            )
        )

    def handle_entry(
        self,
        known: forwarding.Upstream | None,
        upstream: forwarding.Upstream,
        appended_after_ms: int,
    ) -> None:
        """Handles the entry of an upstream, or of its next start.

        The upstream may have outlived an end that was observed of it.

        Args:
          known: The entry before; None if there was none.
          upstream: The entry.
          appended_after_ms: The entry was appended to the log after this time,
            if it is newer than the one before.
        """
        if known is not None and known.start != upstream.start:
            self.record_down(known)
        if (
            known is not None
            and known.start == upstream.start
            and known.sequence < upstream.sequence
        ):
            self._withdraw(
                self._outlived.pop_by_entry(upstream, appended_after_ms)
            )

    def _withdraw(self, ends: list[outlived_ends.OutlivedEnd]) -> None:
        """Withdraws ends that were none; tells the others of the own ones."""
        if not ends:
            return
        self._withdrawals += 1
        withdrawn = [
            requesting.CrashObservation(
                crash_evidence.encode_subject(end.subject),
                end.start,
                observer=observer,
                is_withdrawn=True,
            )
            for end in ends
            for observer in sorted(end.observers)
            if observer
        ]
        self._evidence.apply(withdrawn, self._read_clock_ms())
        own = [
            found
            for found in withdrawn
            if self._observer and found.observer.startswith(self._observer)
        ]
        for start in sorted({end.start for end in ends}):
            decision_log.log_event(
                "crash_withdrawn",
                start=start,
                subjects=sum(end.start == start for end in ends),
                is_own=any(found.upstream_start == start for found in own),
            )
        self._publish(own, own)

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
        now_ms = self._read_clock_ms()
        objections: list[requesting.CrashObservation] = []
        for observation in observations:
            subject = crash_evidence.decode_subject(observation.subject)
            if subject is None:
                continue
            was_avoided = self._evidence.is_avoided(subject, now_ms)
            if not self._evidence.apply((observation,), now_ms):
                continue
            objections += self._follow(subject, observation, now_ms)
            is_avoided = self._evidence.is_avoided(subject, now_ms)
            if is_avoided is was_avoided:
                decision_log.count_event("crash_observation_received")
                continue
            decision_log.log_event(
                "crash_observation_received",
                source=source,
                subject=observation.subject,
                upstream=observation.upstream_start,
                is_avoided=is_avoided,
            )
        self._publish(objections, [])

    def _follow(
        self,
        subject: crash_evidence.Subject,
        observation: requesting.CrashObservation,
        now_ms: int,
    ) -> list[requesting.CrashObservation]:
        """Waits for proof against an end that another router observed.

        Returns:
          What this router observed itself of an end that the other withdraws.
        """
        start = observation.upstream_start
        observers = self._evidence.list_observers(subject, start)
        if observation.is_withdrawn:
            return [
                requesting.CrashObservation(
                    observation.subject,
                    start,
                    level=self._evidence.find_level(subject),
                    observer=observer,
                )
                for observer in observers
                if self._observer and observer.startswith(self._observer)
            ]
        if observation.observer in observers:
            self._outlived.record_other(
                start, subject, observation.observer, now_ms
            )
        return []
