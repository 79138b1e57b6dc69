"""Tests the stand-in of the users' runners."""

import asyncio

import pytest

from redwingchute.connection import http_client
from redwingchute.standin import runner
from redwingchute.testing import standin_calls


# Guards against a stand-in whose rejections lack the id that the users' runners
# send, so that tests of misattributed rejections would prove nothing.
@pytest.mark.parametrize(
    ("instance", "status"), [("another", 421), ("l-1", 503)]
)
def test_rejections_echo_the_id_of_the_request(
    instance: str, status: int
) -> None:
    async def send() -> http_client.Fetched:
        faults = runner.RunnerFaults(is_full=True)
        async with runner.Runner("l-1", "ledger", faults=faults) as stand_in:
            fetched = await standin_calls.fetch(
                stand_in.port,
                "GET",
                "/a",
                headers=[("attempt-id", "7"), ("target-instance", instance)],
            )
        assert isinstance(fetched, http_client.Fetched)
        return fetched

    fetched = asyncio.run(send())
    assert fetched.status == status
    assert fetched.headers["attempt-id"] == "7"
