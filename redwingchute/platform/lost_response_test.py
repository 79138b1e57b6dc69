"""Tests how late a version is applied if a response of the store is lost.

The response to the waiting read that should deliver the version is lost. The
router detects this only when the read times out, and then reads again.
"""

from redwingchute.platform import store_client
from redwingchute.process import gateway

# A version must be in force within 2 s of its acknowledgement, plus 5 s while
# the store is unstable.
_MAX_DELAY_MS = 7_000


def test_a_lost_response_delays_a_version_within_the_bound() -> None:
    detected_ms = (
        gateway.CONFIGURATION_POLL_TIMING.wait_ms + store_client.CALL_TIMEOUT_MS
    )
    retry_ms = store_client.CALL_TIMEOUT_MS
    assert detected_ms + retry_ms < _MAX_DELAY_MS
