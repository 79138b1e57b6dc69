"""Tests that upstreams of an unreachable availability zone are paused."""

import pytest

from redwingchute.core import forwarding
from redwingchute.request import upstream_directory
from redwingchute.testing import forwarding_builders

_NOW_MS = 50_000


@pytest.fixture(name="directory")
def make_directory() -> upstream_directory.UpstreamDirectory:
    directory = upstream_directory.UpstreamDirectory("huon")
    for zone in ("huon", "bruny"):
        for number in range(3):
            directory.set_upstream(
                forwarding_builders.make_upstream(f"{zone}-{number}", zone)
            )
    return directory


def _choose_many(
    directory: upstream_directory.UpstreamDirectory, now_ms: int
) -> set[str]:
    chosen = set()
    for number in range(60):
        generation = forwarding_builders.make_generation(f"prompt-{number}")
        request = forwarding_builders.make_request(number, generation)
        candidate = directory.choose("llm", request, frozenset(), now_ms)
        if candidate is not None:
            chosen.add(candidate.upstream.id)
    return chosen


def _find(
    directory: upstream_directory.UpstreamDirectory, name: str
) -> forwarding.Upstream:
    upstream = directory.find(name)
    assert upstream is not None
    return upstream


def _mark_unresponsive(
    directory: upstream_directory.UpstreamDirectory, name: str, now_ms: int
) -> tuple[str, ...]:
    return directory.mark_unresponsive(_find(directory, name), now_ms)


def test_two_unresponsive_upstreams_pause_their_zone(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    assert _mark_unresponsive(directory, "bruny-1", _NOW_MS) == ("bruny-1",)
    found = _mark_unresponsive(directory, "bruny-0", _NOW_MS + 100)
    assert found == ("bruny-0", "bruny-2")
    chosen = _choose_many(directory, _NOW_MS + 100)
    assert chosen == {"huon-0", "huon-1", "huon-2"}


def test_a_single_lost_packet_does_not_pause_a_zone(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    assert _mark_unresponsive(directory, "bruny-1", _NOW_MS) == ("bruny-1",)
    chosen = _choose_many(directory, _NOW_MS)
    assert {"bruny-0", "bruny-2"} <= chosen
    found = _mark_unresponsive(directory, "bruny-0", _NOW_MS + 5_000)
    assert found == ("bruny-0",)


def test_responsive_upstreams_of_the_zone_stay_in_use(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    _mark_unresponsive(directory, "bruny-0", _NOW_MS)
    directory.mark_responsive("bruny-2", _NOW_MS + 50)
    found = _mark_unresponsive(directory, "bruny-1", _NOW_MS + 100)
    assert found == ("bruny-1",)
    assert "bruny-2" in _choose_many(directory, _NOW_MS + 100)


def test_one_request_probes_a_paused_upstream(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    _mark_unresponsive(directory, "bruny-1", _NOW_MS)
    upstream = _find(directory, "bruny-1")
    later_ms = _NOW_MS + 1_100
    with directory.track_request(upstream, None, later_ms):
        assert "bruny-1" not in _choose_many(directory, later_ms + 300)
    directory.mark_responsive("bruny-1", later_ms + 350)
    assert "bruny-1" in _choose_many(directory, later_ms + 400)


def test_no_upstream_is_chosen_while_all_are_paused(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    for name in ("huon-0", "huon-1", "bruny-0", "bruny-1"):
        _mark_unresponsive(directory, name, _NOW_MS)
    assert not _choose_many(directory, _NOW_MS + 100)
    assert directory.find_retry_delay_ms("llm", _NOW_MS + 100) == 900
    assert len(_choose_many(directory, _NOW_MS + 1_100)) == 6


def test_a_failed_probe_doubles_the_pause(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    _mark_unresponsive(directory, "bruny-1", _NOW_MS)
    upstream = _find(directory, "bruny-1")
    later_ms = _NOW_MS + 1_100
    with directory.track_request(upstream, None, later_ms):
        _mark_unresponsive(directory, "bruny-1", later_ms + 400)
    assert "bruny-1" not in _choose_many(directory, later_ms + 2_000)
    assert "bruny-1" in _choose_many(directory, later_ms + 2_500)
