"""Tests of the metrics."""

from redwingchute.process import telemetry
from redwingchute.process.prepaid import grant
from redwingchute.request import zone_crossings


def test_metrics_render_and_close() -> None:
    metrics = telemetry.Metrics("huon-1", "huon")
    metrics.refusals.add(2, {"code": "no_key"})
    assert b'refusals_total{code="no_key"} 2.0' in metrics.render()
    metrics.close()


def test_times_fall_into_buckets_and_events_are_counted() -> None:
    metrics = telemetry.Metrics("huon-1", "huon")
    metrics.grant_wait_ms.record(7, {"outcome": "reserved"})
    metrics.observe_events(lambda: {"grants_cut_off": 3})
    text = metrics.render().decode()
    assert 'grant_wait_ms_bucket{le="10",outcome="reserved"} 1.0' in text
    assert 'events_total{event="grants_cut_off"} 3.0' in text
    metrics.close()


def test_tokens_that_a_crash_would_lose_are_exposed_by_account() -> None:
    metrics = telemetry.Metrics("huon-1", "huon")
    metrics.observe_grants(
        lambda: grant.GrantTotals(9_000, 4_000, 500, {"yield": 1_200})
    )
    text = metrics.render().decode()
    assert 'grant_tokens{state="unsure"} 500.0' in text
    assert 'grant_exposed_tokens{account="yield"} 1200.0' in text
    metrics.close()


def test_what_leaves_the_zone_is_counted_by_zone_and_reason() -> None:
    metrics = telemetry.Metrics("huon-1", "huon")
    metrics.observe_crossings(
        lambda: zone_crossings.CrossingCounts(
            {("bruny", "load"): 3, ("bruny", "part"): 1}, {"bruny": 8_000}
        )
    )
    text = metrics.render().decode()
    assert 'zone_crossings_total{reason="load",zone="bruny"} 3.0' in text
    assert 'zone_crossings_total{reason="part",zone="bruny"} 1.0' in text
    assert 'zone_crossing_body_bytes_total{zone="bruny"} 8000.0' in text
    metrics.close()
