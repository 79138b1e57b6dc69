"""Tests of the metrics."""

from redwingchute.process import telemetry


def test_metrics_render_and_close() -> None:
    metrics = telemetry.Metrics("huon-1", "huon")
    metrics.refusals.add(2, {"code": "no_key"})
    assert b'refusals_total{code="no_key"} 2.0' in metrics.render()
    metrics.close()
