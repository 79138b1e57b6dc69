"""What every request handler works with, made once for the process."""

from collections.abc import Callable

import attrs

from redwingchute.connection import http_client
from redwingchute.core import configuration
from redwingchute.process import telemetry
from redwingchute.process.ledger import holder_service
from redwingchute.request import dispatch


@attrs.frozen
class RequestContext:
    """The parts of the process that requests use.

    Attributes:
      ledger: Reserves and settles tokens.
      pool: Connections to upstreams.
      upstreams: Chooses upstreams.
      metrics: Counters.
      read_clock_ms: Returns the time.
      make_id: Returns fresh random bytes of the given number.
    """

    ledger: holder_service.LedgerClient
    pool: http_client.ClientPool
    upstreams: dispatch.UpstreamTable
    metrics: telemetry.Metrics
    read_clock_ms: Callable[[], int]
    make_id: Callable[[int], bytes]


@attrs.frozen
class Caller:
    """Who sent a request, under which configuration.

    Attributes:
      account: The client account.
      current: The configuration in force when the request arrived.
      arrived_ms: When it arrived.
    """

    account: configuration.ClientAccount
    current: configuration.Configuration
    arrived_ms: int
