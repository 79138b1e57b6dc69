"""An availability zone is cut off: its upstreams are left alone at once."""

import pytest

from redwingchute.core import forwarding
from redwingchute.request import upstream_directory

_NOW_MS = 50_000


def _make_upstream(name: str, zone: str) -> forwarding.Upstream:
    return forwarding.Upstream(name, "llm", "10.0.0.1:1", zone, True, 8)


@pytest.fixture(name="directory")
def make_directory() -> upstream_directory.UpstreamDirectory:
    directory = upstream_directory.UpstreamDirectory("huon")
    for zone in ("huon", "bruny"):
        for number in range(3):
            directory.take(_make_upstream(f"{zone}-{number}", zone))
    return directory


def _choose_many(
    directory: upstream_directory.UpstreamDirectory, now_ms: int
) -> set[str]:
    chosen = set()
    for number in range(60):
        upstream = directory.choose(
            "llm", f"prompt-{number}", frozenset(), "request", now_ms
        )
        if upstream is not None:
            chosen.add(upstream.id)
    return chosen


def test_one_silent_upstream_stands_for_a_silent_zone(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    directory.note_heard("huon-0", _NOW_MS)
    silent = directory.find("bruny-1")
    assert silent is not None
    found = directory.note_silent(silent, _NOW_MS)
    assert found == ("bruny-0", "bruny-1", "bruny-2")
    assert _choose_many(directory, _NOW_MS) == {"huon-0", "huon-1", "huon-2"}


def test_upstreams_that_are_heard_stay_in_use(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    silent = directory.find("bruny-1")
    assert silent is not None
    directory.note_heard("bruny-0", _NOW_MS - 100)
    directory.note_heard("bruny-2", _NOW_MS - 100)
    assert directory.note_silent(silent, _NOW_MS) == ("bruny-1",)
    assert "bruny-0" in _choose_many(directory, _NOW_MS)


def test_one_request_tries_a_silent_upstream_again(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    silent = directory.find("bruny-1")
    assert silent is not None
    directory.note_silent(silent, _NOW_MS)
    later_ms = _NOW_MS + 1_100
    with directory.hold(silent, later_ms):
        assert "bruny-1" not in _choose_many(directory, later_ms + 300)
    directory.note_heard("bruny-1", later_ms + 350)
    assert "bruny-1" in _choose_many(directory, later_ms + 400)


def test_nothing_is_chosen_while_all_are_silent(
    directory: upstream_directory.UpstreamDirectory,
) -> None:
    for name in ("huon-0", "bruny-0"):
        silent = directory.find(name)
        assert silent is not None
        directory.note_silent(silent, _NOW_MS)
    assert not _choose_many(directory, _NOW_MS + 100)
    assert directory.find_return_ms("llm", _NOW_MS + 100) == 900
    assert len(_choose_many(directory, _NOW_MS + 1_100)) == 6
