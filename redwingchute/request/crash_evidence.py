"""Finds out which requests end the upstreams that run them.

An upstream that ends breaks all requests that it runs, most of which are sound.
Each of them that had shown no output is suspected, under its subjects: the
request itself, which its caller may repeat, and the parts of its prompt that
other requests share. A subject is avoided once more upstreams have ended under
it than can be chance, and cleared when a request of it completes.

Many sound requests share a part, and upstreams may end together, as when a
zone loses power. The ends under a part therefore count by their level: one more
than the level that was known when the request was sent. Ends of the same moment
have the same level. Many callers may also send the same lookup. Where a request
has completed lately, its ends count by their level too; any other request is
avoided after two ends, since its copies are likely to be a caller's retries.

A request that had shown more output, or whose caller had left or whose deadline
had passed just before, is seldom the cause. It is suspected as well, as a
subject of its own whose ends count by their level.

Routers tell each other what they observe, and keep it in the shared log. What
is known is the union of all observations, so that they may arrive in any order
and more than once. Clearing names the ends that no longer count instead of a
time, since clocks of different hosts differ.

A subject that is avoided wrongly is tried again: one router at a time, chosen
by the subject, may send one request of it after a pause that grows with each
further end.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
from typing import TypeAlias
from typing import TypeVar

import attrs
import xxhash

from redwingchute.core import requesting

# A request that has not proved sound is avoided after this many ends.
_MAX_REQUEST_CRASHES = 2
# A part, or a request that has proved sound, is avoided after an end of this
# level.
_MAX_LEVEL = 3
# A part of which a request completed within this time is not suspected.
_PROVEN_MS = 10_000
# How long a request that completed counts as one that has proved sound.
_PROVEN_REQUEST_MS = 60_000
# How many subjects of each kind that proved sound are remembered.
_MAX_PROVEN = 2_048
# Observations older than this no longer count.
WINDOW_MS = 1_800_000
# The pause before a subject is tried again, and its factor for each further
# end of an upstream.
_TRIAL_PAUSE_MS = 20_000
_TRIAL_PAUSE_FACTOR = 4
_MAX_TRIAL_PAUSE_MS = 900_000
# Copies that were sent before a request was avoided have ended by this time.
# Later ends are those of trials.
_COPIES_END_MS = 3_000
# How long a router has the turn to try a subject. It uses the first half only,
# since routers learn of the last end at slightly different times.
_TURN_MS = 2_000
# The ends of requests that have shown more events than this count by level.
MAX_SUSPECT_EVENTS = 2
# Bounds the memory that many suspects can take.
_MAX_SUBJECTS = 1_024
_MAX_CRASHES_PER_SUBJECT = 16
# Of those who observed one end, how many are told apart; all of them must
# withdraw it, and what cannot be told apart is never withdrawn.
_MAX_OBSERVERS = 32
_MAX_LISTED_OBSERVERS = 2
_MAX_WITHDRAWN = _MAX_CRASHES_PER_SUBJECT * _MAX_OBSERVERS


@attrs.frozen(cache_hash=True)
class RequestSubject:
    """A request and its repeats by the caller.

    Requests of different client accounts are different subjects, so that no
    account can get the requests of another one refused.

    Attributes:
      client_account: The client account; empty on routes without keys.
      digest: The digest of what its repeats have in common, in hexadecimal.
    """

    client_account: str
    digest: str


@attrs.frozen(cache_hash=True)
class RepeatSubject:
    """A request and its repeats, by ends that likely have another cause.

    They come after several events of the response, or shortly after the caller
    has left or the deadline has passed.

    Attributes:
      client_account: As of `RequestSubject`.
      digest: As of `RequestSubject`.
    """

    client_account: str
    digest: str


@attrs.frozen(cache_hash=True)
class PartSubject:
    """A part of prompts, whatever request it is in.

    Attributes:
      part_id: The id of the part.
    """

    part_id: str


Subject: TypeAlias = RequestSubject | RepeatSubject | PartSubject
_SubjectT = TypeVar("_SubjectT", RequestSubject, PartSubject)


@attrs.define
class _Suspicion:
    """What is known of one subject.

    Attributes:
      crashes: The level of each end under it, by the start of the upstream.
      cleared: Those of them that no longer count.
      observers: Who observed each end.
      withdrawn: The ends and observers of which the upstream outlived what was
        observed.
      changed_ms: When the newest of them became known here.
      tried_ms: When this router last tried the subject.
      failed_trials: The ends that became known after the subject was avoided
        and its copies had ended.
    """

    # Both in order of their addition, so that the oldest can be removed.
    crashes: dict[str, int] = attrs.field(factory=dict)
    cleared: dict[str, None] = attrs.field(factory=dict)
    observers: dict[str, dict[str, None]] = attrs.field(factory=dict)
    withdrawn: dict[tuple[str, str], None] = attrs.field(factory=dict)
    changed_ms: int = 0
    tried_ms: int | None = None
    failed_trials: int = 0

    @property
    def counted(self) -> list[str]:
        """The starts of the upstreams whose ends count."""
        return [
            start
            for start in self.crashes
            if start not in self.cleared and self.list_observers(start)
        ]

    def list_observers(self, start: str) -> list[str]:
        """Returns who observed an end and has not withdrawn it."""
        return [
            observer
            for observer in self.observers.get(start, ())
            if (start, observer) not in self.withdrawn
        ]

    def has_observed_before(self, start: str, observer: str) -> bool:
        """Returns whether the same router observed an end of a start before."""
        router = observer.rpartition("/")[0]
        return bool(router) and any(
            other != observer and other.rpartition("/")[0] == router
            for other in self.observers[start]
        )

    def add_observer(self, start: str, observer: str) -> bool:
        """Adds who observed an end; returns whether that is new."""
        known = self.observers.setdefault(start, {})
        if observer not in known and len(known) >= _MAX_OBSERVERS:
            observer = ""
        is_new = observer not in known
        known[observer] = None
        return is_new

    @property
    def level(self) -> int:
        """The highest level of the ends that count; 0 if there are none."""
        return max((self.crashes[start] for start in self.counted), default=0)


class CrashEvidence:
    """What one router knows of requests that end upstreams."""

    def __init__(
        self, own_host: str, list_hosts: Callable[[], Sequence[str]]
    ) -> None:
        """Starts without observations.

        Args:
          own_host: This router's host.
          list_hosts: Returns the names of all hosts in a stable order.
        """
        self._own_host = own_host
        self._list_hosts = list_hosts
        self._suspicions: dict[Subject, _Suspicion] = {}
        # When a request of a subject completed, in order of time.
        self._proven_parts_ms: dict[PartSubject, int] = {}
        self._proven_requests_ms: dict[RequestSubject, int] = {}

    def record_crash(
        self,
        start: str,
        subject: Subject,
        level_before: int,
        now_ms: int,
        observer: str = "",
    ) -> tuple[requesting.CrashObservation, ...]:
        """Records that an upstream ended under a subject.

        Args:
          start: Identifies the start of the upstream.
          subject: A subject that had shown no output there.
          level_before: The level of the subject when the request was sent.
          now_ms: The time on a steady clock.
          observer: Identifies the observation, if it may be withdrawn.

        Returns:
          What other routers should be told.
        """
        if isinstance(subject, PartSubject) and self._is_proven(
            subject, now_ms
        ):
            return ()
        # Ends that were cleared while the request ran do not count.
        level = 1 + min(level_before, self.find_level(subject))
        observation = requesting.CrashObservation(
            encode_subject(subject), start, level=level, observer=observer
        )
        return self.apply((observation,), now_ms)

    def record_success(
        self, subject: Subject, now_ms: int
    ) -> tuple[requesting.CrashObservation, ...]:
        """Records that a request of a subject completed; it is then cleared.

        Args:
          subject: The subject.
          now_ms: The time on a steady clock.

        Returns:
          What other routers should be told.
        """
        self._mark_proven(subject, now_ms)
        suspicion = self._suspicions.get(subject)
        if suspicion is None:
            return ()
        text = encode_subject(subject)
        return self.apply(
            tuple(
                requesting.CrashObservation(text, start, is_cleared=True)
                for start in suspicion.counted
            ),
            now_ms,
        )

    def apply(
        self,
        observations: Iterable[requesting.CrashObservation],
        now_ms: int,
    ) -> tuple[requesting.CrashObservation, ...]:
        """Applies what this or other routers observed.

        Args:
          observations: The observations; known ones have no effect.
          now_ms: The time on a steady clock.

        Returns:
          Those that were not known.
        """
        return tuple(
            observation
            for observation in observations
            if self._apply_one(observation, now_ms)
        )

    def find_avoided(
        self, subjects: Iterable[Subject], now_ms: int
    ) -> Subject | None:
        """Returns a subject because of which a request must not be sent now.

        Args:
          subjects: The subjects of the request.
          now_ms: The time on a steady clock.

        Returns:
          The subject, or None if the request may be sent: nothing is known
          against it, or this router has the turn to try it.
        """
        for subject in subjects:
            if self.is_avoided(subject, now_ms) and not self._has_turn(
                subject, now_ms
            ):
                # Subjects that still come are the last to be evicted.
                self._suspicions[subject] = self._suspicions.pop(subject)
                return subject
        return None

    def begin_trials(
        self, subjects: Iterable[Subject], now_ms: int
    ) -> tuple[Subject, ...]:
        """Uses up the turns of this router that a request needs to be sent.

        Args:
          subjects: The subjects of the request, none of which must be avoided.
          now_ms: The time on a steady clock.

        Returns:
          The subjects that the request tries.
        """
        tried = tuple(
            subject for subject in subjects if self.is_avoided(subject, now_ms)
        )
        for subject in tried:
            self._suspicions[subject].tried_ms = now_ms
        return tried

    def count_crashes(self, subject: Subject) -> int:
        """Returns how many ends of upstreams count against a subject."""
        suspicion = self._suspicions.get(subject)
        return 0 if suspicion is None else len(suspicion.counted)

    def find_level(self, subject: Subject) -> int:
        """Returns the highest level of the ends that count against it."""
        suspicion = self._suspicions.get(subject)
        return 0 if suspicion is None else suspicion.level

    def list_crashes(
        self, subject: Subject
    ) -> tuple[requesting.CrashObservation, ...]:
        """Returns the ends that count against a subject."""
        suspicion = self._suspicions.get(subject)
        if suspicion is None:
            return ()
        text = encode_subject(subject)
        return tuple(
            requesting.CrashObservation(
                text, start, level=suspicion.crashes[start], observer=observer
            )
            for start in suspicion.counted
            for observer in _shorten(suspicion.list_observers(start))
        )

    def list_observers(self, subject: Subject, start: str) -> list[str]:
        """Returns whose observations of an end count against a subject."""
        suspicion = self._suspicions.get(subject)
        if suspicion is None or start not in suspicion.counted:
            return []
        return suspicion.list_observers(start)

    def _mark_proven(self, subject: Subject, now_ms: int) -> None:
        """Records that a request of a subject completed."""
        match subject:
            case PartSubject():
                _set_newest(self._proven_parts_ms, subject, now_ms)
            case RequestSubject():
                _set_newest(self._proven_requests_ms, subject, now_ms)
            case RepeatSubject():
                # Its ends count by their level in any case.
                pass

    def _is_proven(self, subject: Subject, now_ms: int) -> bool:
        """Returns whether a request of a subject completed lately."""
        match subject:
            case PartSubject():
                proven_ms = self._proven_parts_ms.get(subject)
                max_age_ms = _PROVEN_MS
            case RequestSubject():
                proven_ms = self._proven_requests_ms.get(subject)
                max_age_ms = _PROVEN_REQUEST_MS
            case RepeatSubject():
                return False
        return proven_ms is not None and now_ms - proven_ms < max_age_ms

    def _apply_one(
        self, observation: requesting.CrashObservation, now_ms: int
    ) -> bool:
        """Applies an observation; returns whether it was new."""
        subject = decode_subject(observation.subject)
        if subject is None:
            return False
        suspicion = self._suspicions.get(subject)
        if suspicion is None:
            suspicion = _Suspicion()
        start = observation.upstream_start
        if observation.is_withdrawn:
            key = (start, observation.observer)
            if key in suspicion.withdrawn:
                return False
            suspicion.withdrawn[key] = None
            if not suspicion.counted:
                suspicion.failed_trials = 0
        elif observation.is_cleared:
            if start in suspicion.cleared:
                return False
            suspicion.cleared[start] = None
            if not suspicion.counted:
                suspicion.failed_trials = 0
        elif not self._apply_crash(suspicion, subject, observation, now_ms):
            return False
        _drop_oldest(suspicion)
        # The most recently changed suspicion is the last to be evicted.
        self._suspicions.pop(subject, None)
        self._suspicions[subject] = suspicion
        self._evict()
        return True

    def _apply_crash(
        self,
        suspicion: _Suspicion,
        subject: Subject,
        observation: requesting.CrashObservation,
        now_ms: int,
    ) -> bool:
        """Adds an end of an upstream; returns whether it was new."""
        start = observation.upstream_start
        if (start, observation.observer) in suspicion.withdrawn:
            return False
        was_avoided = self.is_avoided(subject, now_ms)
        # An end that all had withdrawn counts again if there is another one.
        was_counted = start in suspicion.crashes and (
            start in suspicion.cleared or bool(suspicion.list_observers(start))
        )
        is_new = suspicion.add_observer(start, observation.observer)
        if was_counted and suspicion.crashes.get(start, 0) >= observation.level:
            # Many routers observe one end under a part; one of them tells it,
            # and whoever observes another one of the same start.
            return is_new and (
                not isinstance(subject, PartSubject)
                or suspicion.has_observed_before(start, observation.observer)
            )
        if now_ms - suspicion.changed_ms > _COPIES_END_MS and was_avoided:
            suspicion.failed_trials += 1
        suspicion.crashes[start] = max(
            observation.level, suspicion.crashes.get(start, 0)
        )
        suspicion.changed_ms = now_ms
        return True

    def _evict(self) -> None:
        """Forgets the suspicion that matters least, if there are too many.

        It is not the one that changed last: it may be of a request that comes
        again.
        """
        if len(self._suspicions) <= _MAX_SUBJECTS:
            return
        least, least_count = None, 0
        earlier = itertools.islice(self._suspicions, len(self._suspicions) - 1)
        for subject in earlier:
            count = self.count_crashes(subject)
            if least is None or count < least_count:
                least, least_count = subject, count
            if least_count <= 1:
                break
        if least is not None:
            del self._suspicions[least]

    def is_avoided(self, subject: Subject, now_ms: int) -> bool:
        """Returns whether enough is known against a subject."""
        suspicion = self._suspicions.get(subject)
        if suspicion is None or now_ms - suspicion.changed_ms > WINDOW_MS:
            return False
        if not isinstance(subject, RequestSubject) or self._is_proven(
            subject, now_ms
        ):
            return suspicion.level >= _MAX_LEVEL
        return len(suspicion.counted) >= _MAX_REQUEST_CRASHES

    def _find_trial_pause_ms(
        self, subject: Subject, suspicion: _Suspicion, now_ms: int
    ) -> int:
        """Returns how long after its last end a subject is tried again.

        Upstreams that end together under a request, as when a zone loses power,
        do not prolong the pause.
        """
        match subject:
            case PartSubject():
                excess = suspicion.level - _MAX_LEVEL
            case RepeatSubject():
                excess = max(
                    suspicion.failed_trials, suspicion.level - _MAX_LEVEL
                )
            case RequestSubject():
                is_proven = self._is_proven(subject, now_ms)
                base = _MAX_LEVEL if is_proven else _MAX_REQUEST_CRASHES
                # A process that starts knows of failed trials by the level.
                excess = max(suspicion.failed_trials, suspicion.level - base)
        pause_ms: int = _TRIAL_PAUSE_MS * _TRIAL_PAUSE_FACTOR**excess
        return min(_MAX_TRIAL_PAUSE_MS, pause_ms)

    def _has_turn(self, subject: Subject, now_ms: int) -> bool:
        """Returns whether this router may try an avoided subject now."""
        suspicion = self._suspicions[subject]
        pause_ms = self._find_trial_pause_ms(subject, suspicion, now_ms)
        since_ms = now_ms - suspicion.changed_ms - pause_ms
        if since_ms < 0 or since_ms % _TURN_MS >= _TURN_MS // 2:
            return False
        tried_ms = suspicion.tried_ms
        if tried_ms is not None and now_ms - tried_ms < pause_ms:
            return False
        hosts = self._list_hosts()
        if not hosts:
            return False
        first = xxhash.xxh64_intdigest(encode_subject(subject).encode())
        turn = (first + since_ms // _TURN_MS) % len(hosts)
        return bool(hosts[turn] == self._own_host)


def encode_subject(subject: Subject) -> str:
    """Returns the text that names a subject in messages and records."""
    match subject:
        case RequestSubject(client_account, digest):
            return f"request/{digest}/{client_account}"
        case RepeatSubject(client_account, digest):
            return f"repeat/{digest}/{client_account}"
        case PartSubject(part_id):
            return f"part/{part_id}"


def decode_subject(text: str) -> Subject | None:
    """Returns the subject that a text names; None for an unknown kind."""
    kind, _, rest = text.partition("/")
    if kind == "part" and rest:
        return PartSubject(rest)
    digest, separator, client_account = rest.partition("/")
    if kind == "request" and separator:
        return RequestSubject(client_account, digest)
    if kind == "repeat" and separator:
        return RepeatSubject(client_account, digest)
    return None


def _set_newest(
    proven_ms: dict[_SubjectT, int], subject: _SubjectT, now_ms: int
) -> None:
    """Adds a subject that proved sound as the newest one."""
    proven_ms.pop(subject, None)
    proven_ms[subject] = now_ms
    while len(proven_ms) > _MAX_PROVEN:
        del proven_ms[next(iter(proven_ms))]


def _drop_oldest(suspicion: _Suspicion) -> None:
    """Bounds the number of upstreams that a suspicion names."""
    for starts in (suspicion.crashes, suspicion.cleared):
        while len(starts) > _MAX_CRASHES_PER_SUBJECT:
            del starts[next(iter(starts))]
    for start in list(suspicion.observers):
        if start not in suspicion.crashes:
            del suspicion.observers[start]
    while len(suspicion.withdrawn) > _MAX_WITHDRAWN:
        del suspicion.withdrawn[next(iter(suspicion.withdrawn))]


def _shorten(observers: list[str]) -> list[str]:
    """Returns observers, or none in particular if there are many."""
    return observers if len(observers) <= _MAX_LISTED_OBSERVERS else [""]
