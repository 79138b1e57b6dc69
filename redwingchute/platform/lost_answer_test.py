"""The answer to a waiting read is lost while a version is published."""

from redwingchute.platform import store_client
from redwingchute.process import gateway

# A version is in force within 2 s of its acknowledgement, and within 5 s more
# while the store is unstable.
_BOUND_MS = 7_000


def test_a_lost_answer_is_noticed_before_the_version_is_late() -> None:
    noticed_ms = (
        gateway.CONFIGURATION_POLL_TIMING.wait_ms + store_client.CALL_TIMEOUT_MS
    )
    read_again_ms = store_client.CALL_TIMEOUT_MS
    assert noticed_ms + read_again_ms < _BOUND_MS
