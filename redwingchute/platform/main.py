"""Runs a router on the platform's hosts; the platform starts this module."""

import asyncio
import os
import signal
import sys

from redwingchute.connection import http_client
from redwingchute.platform import allocator
from redwingchute.platform import configuration_document
from redwingchute.platform import headers
from redwingchute.platform import settings_file
from redwingchute.platform import store_client
from redwingchute.platform import upstream_entries
from redwingchute.process import decision_log
from redwingchute.process import gateway
from redwingchute.process import gateway_settings
from redwingchute.process import operator_records
from redwingchute.process import read_size

_EXIT_BAD_SETTINGS = 2
# The path of the balancer's readiness checks.
READY_PATH = "/v1/readyz"
# The round trip between hosts takes milliseconds, and TCP retransmits a lost
# packet within 0.3 s.
_CONNECT_TIMEOUT_MS = 400
# A host that acknowledges nothing for this long is unreachable: TCP retransmits
# a lost packet within 0.3 s.
_UNACKNOWLEDGED_TIMEOUT_MS = 500


def make_ports(
    pool: http_client.ClientPool, settings: gateway_settings.GatewaySettings
) -> gateway.GatewayPorts:
    """Returns the gateway's ports, implemented for this platform.

    Args:
      pool: The connections to the platform's store.
      settings: The settings of the process.
    """
    size = read_size.ReadSize(settings.read_limits)
    return gateway.GatewayPorts(
        log=store_client.StoreClient(pool, settings.log_address, size),
        translator=headers.PlatformHeaderTranslator(),
        operator_topic=operator_records.OperatorTopic(
            name=configuration_document.TOPIC,
            configuration_key=configuration_document.KEY,
            evacuation_prefix=configuration_document.EVACUATION_PREFIX,
            decode_configuration=configuration_document.decode_configuration,
        ),
        upstream_topic=upstream_entries.TOPIC,
        decode_upstream=upstream_entries.decode_upstream,
        ready_path=READY_PATH,
    )


def make_pool(
    open_stream: http_client.StreamOpener = http_client.open_stream,
) -> http_client.ClientPool:
    """Returns the pool of connections to upstreams and to the store.

    Args:
      open_stream: Opens TCP connections.
    """
    return http_client.ClientPool(
        connect_timeout_ms=_CONNECT_TIMEOUT_MS,
        tcp_user_timeout_ms=_UNACKNOWLEDGED_TIMEOUT_MS,
        open_stream=open_stream,
    )


async def run_gateway(settings: gateway_settings.GatewaySettings) -> None:
    """Runs a router until it receives SIGTERM or SIGINT.

    Args:
      settings: The settings, already validated.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    # No setting can change while the process runs, so that a reload only logs.
    loop.add_signal_handler(
        signal.SIGHUP, lambda: decision_log.log_event("reloaded")
    )
    async with make_pool() as pool:
        ports = make_ports(pool, settings)
        async with gateway.Gateway(settings, ports, pool) as running:
            await stopping.wait()
            await running.stop()


def main() -> None:
    """Loads the settings and runs the router; exits with 2 on bad settings."""
    settings, findings = settings_file.load_settings(os.environ)
    if settings is None:
        for finding in findings:
            print(f"{finding.place}: {finding.message}", file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    allocator.return_large_blocks()
    decision_log.LOG.open(host=settings.host_name, zone=settings.zone)
    asyncio.run(run_gateway(settings))


if __name__ == "__main__":
    main()
