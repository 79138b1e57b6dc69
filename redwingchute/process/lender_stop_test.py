"""Tests what a planned stop of a router that lends tokens costs an account."""

import asyncio

from redwingchute.core import prepaid
from redwingchute.process import gateway
from redwingchute.testing import gateway_rig

_ACCOUNT = gateway_rig.ACCOUNT
_LENT_TOKENS = 400
_SPENT_TOKENS = 150
_TIMEOUT_MS = 500
_EXPIRES_IN_MS = 10_000
_LENDER = "huon-1"
# The borrower's request ends after the lender has left rotation.
_REQUEST_S = 2.6


async def _borrow(
    borrower: gateway.Gateway, charge_id: str
) -> prepaid.RemoteChargeReply:
    """Asks the lender for tokens."""
    reply = await borrower.network.call(
        _LENDER,
        prepaid.RemoteCharge(charge_id, _ACCOUNT, _LENT_TOKENS, _EXPIRES_IN_MS),
        _TIMEOUT_MS,
    )
    assert isinstance(reply, prepaid.RemoteChargeReply)
    return reply


# Guards against tokens that nobody may spend any more, since a router that is
# about to exit lent them and cannot learn what was consumed.
def test_a_router_lends_no_tokens_while_it_stops() -> None:
    async def main() -> int:
        async with gateway_rig.GatewayRig(gateway_count=2) as rig:
            lender, borrower = rig.gateways
            assert (await _borrow(borrower, "before")).reserved_tokens
            await borrower.network.call(
                _LENDER,
                prepaid.RemoteSettlement("before", _ACCOUNT, 0),
                _TIMEOUT_MS,
            )
            stop = asyncio.ensure_future(lender.stop())
            await asyncio.sleep(1)
            reply = await _borrow(borrower, "late")
            await stop
            return reply.reserved_tokens

    assert asyncio.run(main()) == 0


# Guards against tokens that count as spent for ever, since their lender exited
# before the borrower's request ended.
def test_a_stopping_router_records_the_end_of_what_it_has_lent() -> None:
    async def main() -> prepaid.GrantRow | None:
        async with gateway_rig.GatewayRig(gateway_count=2) as rig:
            lender, borrower = rig.gateways
            assert (await _borrow(borrower, "open")).reserved_tokens
            stop = asyncio.ensure_future(lender.stop())
            await asyncio.sleep(_REQUEST_S)
            await borrower.network.call(
                _LENDER,
                prepaid.RemoteSettlement("open", _ACCOUNT, _SPENT_TOKENS),
                _TIMEOUT_MS,
            )
            await stop
            await lender.__aexit__(None, None, None)
            return rig.read_grant_row(_LENDER)

    row = asyncio.run(main())
    assert row is not None
    assert row.spent_tokens == row.granted_tokens == _SPENT_TOKENS
