"""The settings of a gateway process, checked and typed."""

import attrs

from redwingchute.connection import http_client


@attrs.frozen
class GatewaySettings:
    """What a gateway needs to know at its start.

    Attributes:
      host_name: The host's name, unique in the fleet.
      zone: Its availability zone.
      listen: Where callers connect.
      ready_listen: Where the balancer asks whether the host is ready.
      peer_listen: Where other routers connect.
      metrics_listen: Where metrics are served.
      log_address: Where the shared log is.
      fleet_key: What routers of this fleet prove to each other.
      stop_ms: How long a planned stop may take.
      retry_ratio: Repeats at upstreams for each request of a service, over
        all routers.
      retry_window_ms: The window over which repeats are counted.
      retry_slack: Repeats that are always allowed, over all routers.
      configuration_fresh_ms: How long a configuration counts as the newest
        after it was confirmed.
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
