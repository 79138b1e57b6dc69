"""The metrics and the logging setup of a process.

Repeated events are counted by metrics; log lines are only written for changes
of state. Metrics are OpenTelemetry instruments, exported as Prometheus text
over HTTP.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import sys

from opentelemetry import metrics as api_metrics
from opentelemetry.exporter import prometheus as prometheus_exporter
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
import prometheus_client
from pythonjsonlogger import json as json_logger

from redwingchute.connection import resource_quota
from redwingchute.process.prepaid import grant
from redwingchute.request import request_metrics
from redwingchute.request import zone_crossings

# The histograms' upper bounds. They cover and tell apart all durations measured
# here, from a call to the log (some ms) to a complete request (some seconds).
_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 8_000)


class Metrics:
    """The instruments of one router and the registry that exposes them."""

    def __init__(self, host_name: str, zone: str) -> None:
        """Creates the instruments.

        Args:
          host_name: The host's name, an attribute of the metrics' resource.
          zone: The host's availability zone, likewise.
        """
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus_exporter.PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        self._provider = sdk_metrics.MeterProvider(
            [reader],
            resource=resources.Resource({"host": host_name, "zone": zone}),
            shutdown_on_exit=False,
        )
        meter = self._provider.get_meter("redwingchute")
        self._meter = meter
        self.requests = meter.create_counter("requests")
        self.refusals = meter.create_counter("refusals")
        self.attempts = meter.create_counter("attempts")
        self.attempt_failures = meter.create_counter("attempt_failures")
        self.tokens_delivered = meter.create_counter("tokens_delivered")
        self.tokens_settled = meter.create_counter("tokens_settled")
        self.callers_disconnected = meter.create_counter("callers_disconnected")
        self.authentication_failures = meter.create_counter(
            "authentication_failures"
        )
        self.admin_refusals = meter.create_counter("admin_refusals")
        self.peer_bytes_sent = meter.create_counter("peer_bytes_sent")
        self.peer_messages_sent = meter.create_counter("peer_messages_sent")
        self.peer_messages_unknown = meter.create_counter(
            "peer_messages_unknown"
        )
        self.peer_messages_malformed = meter.create_counter(
            "peer_messages_malformed"
        )
        self.peer_handshakes_failed = meter.create_counter(
            "peer_handshakes_failed"
        )
        self.first_token_ms = self._create_histogram("first_token_ms")
        self.event_gap_ms = self._create_histogram("event_gap_ms")
        self.request_ms = self._create_histogram("request_ms")
        self.log_call_ms = self._create_histogram("log_call_ms")
        self.log_bytes_received = meter.create_counter("log_bytes_received")
        self.grant_wait_ms = self._create_histogram("grant_wait_ms")
        self.open_requests = meter.create_up_down_counter("open_requests")

    def observe_events(self, read: Callable[[], Mapping[str, int]]) -> None:
        """Exposes the counts of the decision log's events.

        Args:
          read: Returns the count of each event.
        """

        def observe(
            options: api_metrics.CallbackOptions,
        ) -> Iterable[api_metrics.Observation]:
            del options
            return [
                api_metrics.Observation(count, {"event": event})
                for event, count in read().items()
            ]

        self._meter.create_observable_counter("events", [observe])

    def observe_members(
        self, name: str, label: str, read: Callable[[], Iterable[str]]
    ) -> None:
        """Exposes which things are in a state, each with the value 1.

        Args:
          name: The name of the metric.
          label: The label that holds the name of each thing.
          read: Returns the names of those that are in the state.
        """

        def observe(
            options: api_metrics.CallbackOptions,
        ) -> Iterable[api_metrics.Observation]:
            del options
            return [
                api_metrics.Observation(1, {label: member}) for member in read()
            ]

        self._meter.create_observable_gauge(name, [observe])

    def observe_quotas(
        self, quotas: Mapping[str, resource_quota.ResourceQuota]
    ) -> None:
        """Exposes what is held for clients, and who was refused for it.

        Args:
          quotas: The quota of each address, by what it serves.
        """

        def observe_held(
            options: api_metrics.CallbackOptions,
        ) -> Iterable[api_metrics.Observation]:
            del options
            return [
                api_metrics.Observation(
                    held, {"address": address, "resource": resource}
                )
                for address, quota in quotas.items()
                for resource, held in (
                    ("connections", quota.connection_count),
                    ("request_bytes", quota.request_bytes),
                )
            ]

        def observe_refused(
            options: api_metrics.CallbackOptions,
        ) -> Iterable[api_metrics.Observation]:
            del options
            return [
                api_metrics.Observation(
                    count, {"address": address, "cause": cause}
                )
                for address, quota in quotas.items()
                for cause, count in quota.counts.items()
            ]

        self._meter.create_observable_gauge("client_held", [observe_held])
        self._meter.create_observable_counter(
            "client_refused", [observe_refused]
        )

    def observe_grants(self, read: Callable[[], grant.GrantTotals]) -> None:
        """Exposes the tokens of grants, and those that a crash would lose.

        Args:
          read: Returns what the grants of the router add up to.
        """

        def observe_totals(
            options: api_metrics.CallbackOptions,
        ) -> Iterable[api_metrics.Observation]:
            del options
            totals = read()
            return [
                api_metrics.Observation(tokens, {"state": state})
                for state, tokens in (
                    ("granted", totals.granted_tokens),
                    ("committed", totals.committed_tokens),
                    ("unsure", totals.unsure_tokens),
                )
            ]

        def observe_exposed(
            options: api_metrics.CallbackOptions,
        ) -> Iterable[api_metrics.Observation]:
            del options
            return [
                api_metrics.Observation(tokens, {"account": account})
                for account, tokens in read().exposed_tokens.items()
            ]

        create_gauge = self._meter.create_observable_gauge
        create_gauge("grant_tokens", [observe_totals])
        create_gauge("grant_exposed_tokens", [observe_exposed])

    def observe_crossings(
        self, read: Callable[[], zone_crossings.CrossingCounts]
    ) -> None:
        """Exposes the requests that left the zone, and their bytes.

        Args:
          read: Returns what left since the process started.
        """

        def observe_requests(
            options: api_metrics.CallbackOptions,
        ) -> Iterable[api_metrics.Observation]:
            del options
            return [
                api_metrics.Observation(count, {"zone": zone, "reason": reason})
                for (zone, reason), count in read().requests.items()
            ]

        def observe_bytes(
            options: api_metrics.CallbackOptions,
        ) -> Iterable[api_metrics.Observation]:
            del options
            return [
                api_metrics.Observation(count, {"zone": zone})
                for zone, count in read().body_bytes.items()
            ]

        create_counter = self._meter.create_observable_counter
        create_counter("zone_crossings", [observe_requests])
        create_counter("zone_crossing_body_bytes", [observe_bytes])

    def _create_histogram(self, name: str) -> api_metrics.Histogram:
        """Returns a histogram of durations in milliseconds."""
        return self._meter.create_histogram(
            name, explicit_bucket_boundaries_advisory=_BUCKETS_MS
        )

    def render(self) -> bytes:
        """Returns all metrics as Prometheus text."""
        return prometheus_client.generate_latest(self._registry)

    def close(self) -> None:
        """Shuts down the provider; the instruments are unusable afterwards."""
        self._provider.shutdown()


def set_up_logging(level: str, host_name: str, zone: str) -> None:
    """Configures the root logger to write JSON lines to standard error.

    Args:
      level: The name of the lowest level that is written.
      host_name: The host's name, added to every line.
      zone: The host's availability zone, added to every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_logger.JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            static_fields={"host": host_name, "zone": zone},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def make_request_metrics(metrics: Metrics) -> request_metrics.RequestMetrics:
    """Returns the callbacks that record the metrics of forwarded requests."""

    def record_request(outcome: str, elapsed_ms: int) -> None:
        metrics.requests.add(1, {"outcome": outcome})
        metrics.request_ms.record(elapsed_ms, {"outcome": outcome})

    return request_metrics.RequestMetrics(
        record_outcome=record_request,
        record_grant_wait=lambda is_reserved, ms: metrics.grant_wait_ms.record(
            ms, {"reserved": is_reserved}
        ),
        record_first_event=metrics.first_token_ms.record,
        record_event_gap=metrics.event_gap_ms.record,
    )
