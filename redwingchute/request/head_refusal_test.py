"""Tests of requests that are refused by their heads."""

import asyncio

import attrs
import pytest

from redwingchute.testing import gateway_rig
from redwingchute.testing import raw_caller

_BODY = bytes(1024 * 1024)
_LENGTH = f"content-length: {len(_BODY)}"
_ID = "attempt-id: 1"
# Longer than a configuration counts as the newest.
_STALE_S = 2.3
_REFUSED = {
    "unknown key": (
        raw_caller.make_head("/lookup/a", _ID, _LENGTH, key="unknown"),
        401,
    ),
    "no route": (
        raw_caller.make_head("/none/a", _ID, _LENGTH, key=gateway_rig.KEY),
        404,
    ),
    "no id": (
        raw_caller.make_head("/lookup/a", _LENGTH, key=gateway_rig.KEY),
        400,
    ),
    "chunked": (
        raw_caller.make_head(
            "/lookup/a", _ID, "transfer-encoding: chunked", key="unknown"
        ),
        401,
    ),
    "too long": (
        raw_caller.make_head(
            "/lookup/a", _ID, "content-length: 900000000", key=gateway_rig.KEY
        ),
        413,
    ),
}


async def _send(*segments: bytes, is_stale: bool = False) -> bytes:
    """Returns what a gateway answers; its configuration may be stale."""
    async with gateway_rig.GatewayRig() as rig:
        if is_stale:
            rig.store.faults = attrs.evolve(rig.store.faults, is_down=True)
            await asyncio.sleep(_STALE_S)
        return await raw_caller.send(
            rig.gateways[0].settings.listen, *segments, pause_s=0.01
        )


# The whole body of a request that can only be refused was read first.
@pytest.mark.parametrize("name", _REFUSED)
def test_a_request_is_refused_before_its_body_is_read(name: str) -> None:
    head, status = _REFUSED[name]
    assert raw_caller.list_statuses(asyncio.run(_send(head))) == [status]


# A client that was still sending its body saw a reset in place of the refusal.
@pytest.mark.parametrize("name", ["unknown key", "no route"])
def test_a_client_that_sends_its_whole_body_gets_the_refusal(name: str) -> None:
    head, status = _REFUSED[name]
    received = asyncio.run(_send(head, _BODY))
    assert raw_caller.list_statuses(received) == [status]


# Guards against a proper request that gets a 401 or 404 by an old version.
@pytest.mark.parametrize("name", ["unknown key", "no route"])
def test_an_unconfirmed_version_refuses_nobody_for_good(name: str) -> None:
    received = asyncio.run(_send(_REFUSED[name][0], is_stale=True))
    assert raw_caller.list_statuses(received) == [503]


def test_a_proper_request_in_parts_is_served() -> None:
    head = raw_caller.make_head(
        "/lookup/a", _ID, _LENGTH, "connection: close", key=gateway_rig.KEY
    )
    received = asyncio.run(_send(head, _BODY[:1_000], _BODY[1_000:]))
    assert raw_caller.list_statuses(received) == [200]
