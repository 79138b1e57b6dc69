"""Tests of what a process may hold on hosts of different sizes."""

import pytest

from redwingchute.core import forwarding
from redwingchute.process import process_limits

_HOSTS = ((128, 4_100), (136, 1_638), (150, 4_100), (300, 4_100), (552, 10_250))


# All that is held together must fit into a host, beside the process itself.
@pytest.mark.parametrize(("memory_mb", "descriptors"), _HOSTS)
def test_limits_fit_into_the_host(memory_mb: int, descriptors: int) -> None:
    limits = process_limits.size_limits(memory_mb, descriptors)
    held_bytes = limits.request_bytes + limits.response_bytes
    held_bytes += 56 * 1024 * limits.caller_connections
    assert held_bytes <= (memory_mb - 64) * 1024 * 1024
    sockets = limits.caller_connections + limits.upstream_connections
    assert sockets + 3 * limits.internal_connections <= descriptors - 200


@pytest.mark.parametrize("memory_mb", [0, 64, 128, float("inf")])
def test_a_single_request_fits(memory_mb: float) -> None:
    limits = process_limits.size_limits(memory_mb, 1_638)
    body_bytes = forwarding.ConnectionLimits().body_bytes
    assert 0.75 * limits.request_bytes > body_bytes
