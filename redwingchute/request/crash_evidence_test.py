"""Tests of what routers know of requests that end upstreams."""

import itertools

from redwingchute.core import requesting
from redwingchute.request import crash_evidence

_HOSTS = ("bruny-1", "huon-1", "tamar-1")
_SUBJECT = crash_evidence.RequestSubject("yield", "9f86d081")
_HOUR_MS = 3_600_000


def _make_evidence(host: str = "huon-1") -> crash_evidence.CrashEvidence:
    return crash_evidence.CrashEvidence(host, lambda: _HOSTS)


def _is_avoided(evidence: crash_evidence.CrashEvidence, now_ms: int) -> bool:
    return evidence.find_avoided((_SUBJECT,), now_ms) is not None


def test_a_request_is_avoided_after_it_ended_two_upstreams() -> None:
    evidence = _make_evidence()
    evidence.record_crash("m-1/5", _SUBJECT, 0, 0)
    assert not _is_avoided(evidence, 1)
    evidence.record_crash("m-2/5", _SUBJECT, 0, 10)
    assert _is_avoided(evidence, 11)
    other = crash_evidence.RequestSubject("other", _SUBJECT.digest)
    assert evidence.find_avoided((other,), 11) is None


# Guards against an upstream that starts again under its id and counts once.
def test_each_start_of_an_upstream_counts() -> None:
    evidence = _make_evidence()
    evidence.record_crash("m-1/5", _SUBJECT, 0, 0)
    evidence.record_crash("m-1/5", _SUBJECT, 0, 1)
    assert not _is_avoided(evidence, 2)
    evidence.record_crash("m-1/900", _SUBJECT, 0, 3)
    assert _is_avoided(evidence, 4)


def test_observations_of_other_routers_count_once_in_any_order() -> None:
    crashes = [
        requesting.CrashObservation(
            crash_evidence.encode_subject(_SUBJECT), start, level=1
        )
        for start in ("m-1/5", "m-2/5", "m-3/5")
    ]
    cleared = requesting.CrashObservation(
        crashes[0].subject, "m-1/5", is_cleared=True
    )
    for order in itertools.permutations([*crashes[:2], cleared]):
        evidence = _make_evidence()
        evidence.apply(order, 0)
        evidence.apply(order, 1)
        assert evidence.count_crashes(_SUBJECT) == 1
        evidence.apply(crashes[2:], 2)
        assert _is_avoided(evidence, 3)


# Guards against sound requests that are refused because they ran on upstreams
# that ended for other reasons.
def test_a_completed_request_is_cleared() -> None:
    evidence = _make_evidence()
    evidence.record_crash("m-1/5", _SUBJECT, 0, 0)
    told = evidence.record_success(_SUBJECT, 10)
    assert [observation.is_cleared for observation in told] == [True]
    evidence.record_crash("m-2/5", _SUBJECT, 0, 20)
    assert not _is_avoided(evidence, 21)
    assert evidence.record_success(_SUBJECT, 30)
    assert not evidence.record_success(_SUBJECT, 40)


# Guards against a request that is avoided for ever though it is sound, and
# against one that all routers try again.
def test_one_router_at_a_time_tries_an_avoided_request_again() -> None:
    evidences = [_make_evidence(host) for host in _HOSTS]
    for evidence in evidences:
        evidence.record_crash("m-1/5", _SUBJECT, 0, 0)
        evidence.record_crash("m-2/5", _SUBJECT, 0, 0)
    tries: list[int] = []
    for now_ms in range(0, 75_000, 50):
        for evidence in evidences:
            if _is_avoided(evidence, now_ms):
                continue
            assert evidence.begin_trials((_SUBJECT,), now_ms)
            tries.append(now_ms)
            for other in evidences:
                other.record_crash(f"m-{3 + len(tries)}/5", _SUBJECT, 0, now_ms)
    assert len(tries) == 1
    assert tries[0] >= 20_000


def test_a_trial_that_completes_ends_the_avoidance() -> None:
    evidence = crash_evidence.CrashEvidence("huon-1", lambda: ("huon-1",))
    evidence.record_crash("m-1/5", _SUBJECT, 0, 0)
    evidence.record_crash("m-2/5", _SUBJECT, 0, 0)
    assert _is_avoided(evidence, 19_000)
    assert not _is_avoided(evidence, 20_100)
    assert evidence.begin_trials((_SUBJECT,), 20_100) == (_SUBJECT,)
    assert _is_avoided(evidence, 20_150)
    evidence.record_success(_SUBJECT, 20_400)
    assert not _is_avoided(evidence, 20_401)


def test_old_ends_no_longer_count() -> None:
    evidence = _make_evidence()
    evidence.record_crash("m-1/5", _SUBJECT, 0, 0)
    evidence.record_crash("m-2/5", _SUBJECT, 0, 0)
    assert not _is_avoided(evidence, _HOUR_MS)


def test_many_suspects_do_not_displace_a_known_request() -> None:
    evidence = _make_evidence()
    evidence.record_crash("m-1/5", _SUBJECT, 0, 0)
    evidence.record_crash("m-2/5", _SUBJECT, 0, 0)
    for number in range(3_000):
        subject = crash_evidence.RequestSubject("yield", f"{number:x}")
        evidence.record_crash("m-1/5", subject, 0, number)
    assert _is_avoided(evidence, 3_000)


_PART = crash_evidence.PartSubject("5c1e07a2")


def _end_under_part(
    evidence: crash_evidence.CrashEvidence, start: str, now_ms: int
) -> None:
    """Records an end under a request that was sent just before."""
    level = evidence.find_level(_PART)
    evidence.record_crash(start, _PART, level, now_ms)


def test_a_part_is_avoided_after_three_ends_in_a_row() -> None:
    evidence = _make_evidence()
    for number in range(3):
        assert evidence.find_avoided((_PART,), number) is None
        _end_under_part(evidence, f"m-{number}/5", number)
    assert evidence.find_avoided((_PART,), 3) == _PART


# Guards against a part that all requests share and that is avoided because many
# upstreams lost power together.
def test_ends_of_the_same_moment_count_once_against_a_part() -> None:
    evidence = _make_evidence()
    for number in range(12):
        evidence.record_crash(f"m-{number}/5", _PART, 0, 0)
    assert evidence.find_avoided((_PART,), 1) is None


# Guards against a part that is avoided although a request with it completed
# while the one that broke was running.
def test_a_level_that_was_cleared_meanwhile_does_not_count() -> None:
    evidence = _make_evidence()
    for number in range(2):
        _end_under_part(evidence, f"m-{number}/5", number)
    level_when_sent = evidence.find_level(_PART)
    assert level_when_sent == 2
    evidence.apply(
        tuple(
            requesting.CrashObservation(
                crash_evidence.encode_subject(_PART), start, is_cleared=True
            )
            for start in ("m-0/5", "m-1/5")
        ),
        10,
    )
    evidence.record_crash("m-2/5", _PART, level_when_sent, 20)
    assert evidence.find_level(_PART) == 1
    assert evidence.find_avoided((_PART,), 21) is None


# Guards against sound requests that are refused because they share a part with
# one that ends upstreams.
def test_a_part_that_sound_requests_share_is_never_avoided() -> None:
    evidence = _make_evidence()
    for number in range(20):
        now_ms = 12_000 * number
        _end_under_part(evidence, f"m-{number}/5", now_ms)
        assert evidence.find_avoided((_PART,), now_ms) is None
        evidence.record_success(_PART, now_ms + 500)
        assert not evidence.record_crash(
            f"m-{number}/6", _PART, 0, now_ms + 600
        )


def test_an_unknown_kind_of_subject_is_ignored() -> None:
    evidence = _make_evidence()
    news = evidence.apply(
        (requesting.CrashObservation("later/kind", "m-1/5", level=1),), 0
    )
    assert news == ()


# Guards against a lookup that many callers share and that is refused because
# upstreams lost power together while copies of it were running.
def test_a_request_that_proved_sound_is_avoided_after_three_ends_in_a_row() -> (
    None
):
    evidence = _make_evidence()
    evidence.record_success(_SUBJECT, 0)
    for number in range(6):
        evidence.record_crash(f"m-{number}/5", _SUBJECT, 0, 1_000)
    assert not _is_avoided(evidence, 1_001)
    evidence.record_crash("m-7/5", _SUBJECT, 1, 1_100)
    assert not _is_avoided(evidence, 1_101)
    evidence.record_crash("m-8/5", _SUBJECT, 2, 1_200)
    assert _is_avoided(evidence, 1_201)


# Guards against a request that once completed and whose ends never count again.
def test_a_request_does_not_count_as_sound_for_ever() -> None:
    evidence = _make_evidence()
    evidence.record_success(_SUBJECT, 0)
    evidence.record_crash("m-1/5", _SUBJECT, 0, 70_000)
    evidence.record_crash("m-2/5", _SUBJECT, 0, 70_100)
    assert _is_avoided(evidence, 70_101)


# Guards against a sound request that is refused for minutes because many
# upstreams ended together while copies of it were running.
def test_ends_of_the_same_moment_do_not_prolong_the_pause_of_a_trial() -> None:
    evidence = crash_evidence.CrashEvidence("huon-1", lambda: ("huon-1",))
    for number in range(6):
        evidence.record_crash(f"m-{number}/5", _SUBJECT, 0, 0)
    assert _is_avoided(evidence, 19_900)
    assert not _is_avoided(evidence, 20_100)
    evidence.begin_trials((_SUBJECT,), 20_100)
    evidence.record_crash("m-7/5", _SUBJECT, 1, 20_200)
    assert _is_avoided(evidence, 100_100)
    assert not _is_avoided(evidence, 100_300)


# Guards against a crashing request that is never known, because requests with
# more ends fill the memory.
def test_a_new_suspect_has_room_among_many_older_ones() -> None:
    evidence = _make_evidence()
    for number in range(2_000):
        other = crash_evidence.RequestSubject("yield", f"{number:x}")
        for start in ("m-1/5", "m-2/5", "m-3/5"):
            evidence.record_crash(start, other, 0, number)
    evidence.record_crash("m-1/900", _SUBJECT, 0, 3_000)
    evidence.record_crash("m-2/900", _SUBJECT, 0, 3_001)
    assert _is_avoided(evidence, 3_002)


# Guards against an avoided request that keeps coming and is forgotten for
# others that do not.
def test_a_request_that_still_comes_is_not_displaced() -> None:
    evidence = _make_evidence()
    evidence.record_crash("m-1/5", _SUBJECT, 0, 0)
    evidence.record_crash("m-2/5", _SUBJECT, 0, 0)
    for number in range(3_000):
        other = crash_evidence.RequestSubject("yield", f"{number:x}")
        evidence.record_crash("m-1/5", other, 0, number)
        evidence.record_crash("m-2/5", other, 0, number)
        assert _is_avoided(evidence, number)


# Guards against routers that start one after the other, and each of which tries
# a crashing request again soon, as if no trial had failed.
def test_a_process_that_starts_knows_of_failed_trials_by_the_level() -> None:
    evidence = crash_evidence.CrashEvidence("huon-1", lambda: ("huon-1",))
    subject = crash_evidence.encode_subject(_SUBJECT)
    evidence.apply(
        [
            requesting.CrashObservation(subject, f"m-{level}/5", level=level)
            for level in (1, 2, 3)
        ],
        0,
    )
    assert _is_avoided(evidence, 20_100)
    assert not _is_avoided(evidence, 80_100)
