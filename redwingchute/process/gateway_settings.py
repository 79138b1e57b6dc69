"""The validated settings of a gateway process."""

from collections.abc import Mapping

import attrs

from redwingchute.connection import http_client
from redwingchute.process import process_limits
from redwingchute.process import read_size


@attrs.frozen
class GatewaySettings:
    """The settings that a gateway is started with.

    Attributes:
      host_name: The host's name, unique in the fleet.
      zone: The host's availability zone.
      listen: The address for callers.
      ready_listen: The address for the balancer's readiness checks.
      peer_listen: The address for other routers.
      metrics_listen: The address for metrics.
      log_address: The address of the shared log.
      fleet_key: The secret with which routers of the fleet authenticate.
      stop_ms: The time limit of a graceful shutdown.
      retry_ratio: The retries allowed per request of a service, over all
        routers.
      retry_window_ms: The window over which requests and retries are counted.
      retry_slack: The retries that are always allowed, over all routers.
      configuration_fresh_ms: How long a configuration counts as the newest
        after it was confirmed.
      drain_ms: How long an upstream that leaves still accepts requests.
      processor_share: The processor time that the host may use, in cores.
      region: The host's region; empty if it is not known.
      zone_regions: The region of each availability zone that is known.
      crossing_ms_per_mb: The delay that the operator would bear to keep one MB
        in its zone; 0 to choose upstreams without regard to that.
      divides_room: Whether too little room is divided among client accounts;
        otherwise requests are refused by their delay alone.
      memory_mb: The memory at which the host kills the process.
      max_descriptors: The descriptors that the process may have.
      read_limits: What bounds a read of the shared log.
    """

    host_name: str
    zone: str
    listen: http_client.Address
    ready_listen: http_client.Address
    peer_listen: http_client.Address
    metrics_listen: http_client.Address
    log_address: http_client.Address
    fleet_key: bytes
    stop_ms: int = 8_000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_slack: float = 0.0
    configuration_fresh_ms: int = 2_000
    drain_ms: int = 2_000
    processor_share: float = 1.0
    region: str = ""
    zone_regions: Mapping[str, str] = attrs.Factory(dict)
    crossing_ms_per_mb: float = 0.0
    divides_room: bool = False
    memory_mb: float = process_limits.DEFAULT_MEMORY_MB
    max_descriptors: float = process_limits.DEFAULT_MAX_DESCRIPTORS
    read_limits: read_size.ReadLimits = read_size.ReadLimits()
