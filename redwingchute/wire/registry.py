"""Lists every record that is sent or logged, with its wire number.

Numbers are grouped by area and are never reused: 1-99 ledger records in the
log, 100-199 ledger messages, 200-299 membership, 300-399 configuration,
400-499 requests and upstreams.
"""

from redwingchute.core import data
from redwingchute.core import spending
from redwingchute.wire import codec

_LEDGER = "ledger.capnp"
_SPEND = "spend.capnp"

REGISTRATIONS: tuple[codec.Registration, ...] = (
    codec.Registration(1, data.Takeover, _LEDGER),
    codec.Registration(2, data.Batch, _LEDGER),
    codec.Registration(3, data.Checkpoint, _LEDGER),
    codec.Registration(4, data.ShardSnapshot, _LEDGER),
    codec.Registration(100, data.LedgerCall, _LEDGER),
    codec.Registration(101, data.LedgerReply, _LEDGER),
    codec.Registration(102, data.Recall, _LEDGER),
    codec.Registration(110, data.BalanceQuery, _LEDGER),
    codec.Registration(111, data.BalanceReport, _LEDGER),
    codec.Registration(150, spending.HoldBills, _SPEND),
    codec.Registration(151, spending.BillsHeld, _SPEND),
    codec.Registration(152, spending.ForgetBills, _SPEND),
    codec.Registration(153, spending.TransferRequest, _SPEND),
    codec.Registration(154, spending.TransferReply, _SPEND),
)


def make_codec() -> codec.Codec:
    """Returns a codec that knows every registered record."""
    return codec.Codec(REGISTRATIONS)
