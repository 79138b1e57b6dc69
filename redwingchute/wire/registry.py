"""Lists the wire number of every record that is sent or logged.

Numbers are grouped by area and are never reused: 1-99 ledger records in the
log, 100-199 messages about the ledger and prepaid grants, 200-299 links and
membership, 300-399 configuration and status, 400-499 requests and upstreams.
"""

from redwingchute.core import data
from redwingchute.core import distribution
from redwingchute.core import evacuation
from redwingchute.core import fleet
from redwingchute.core import prepaid
from redwingchute.core import rate_limiting
from redwingchute.core import requesting
from redwingchute.core import spending
from redwingchute.core import status
from redwingchute.core import streams
from redwingchute.version import changes
from redwingchute.wire import codec

_LEDGER = "ledger.capnp"
_FLEET = "fleet.capnp"
_CONFIGURATION = "configuration.capnp"
_STATUS = "status.capnp"
_REQUEST = "request.capnp"
_SPEND = "spend.capnp"
_PREPAID = "prepaid.capnp"

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
    codec.Registration(160, prepaid.RemoteCharge, _PREPAID),
    codec.Registration(161, prepaid.RemoteChargeReply, _PREPAID),
    codec.Registration(162, prepaid.RemoteSettlement, _PREPAID),
    codec.Registration(163, prepaid.RemoteSettlementReply, _PREPAID),
    codec.Registration(200, fleet.LinkHello, _FLEET),
    codec.Registration(201, fleet.LinkWelcome, _FLEET),
    codec.Registration(202, fleet.LinkProof, _FLEET),
    codec.Registration(203, fleet.Heartbeat, _FLEET),
    codec.Registration(204, fleet.MemberList, _FLEET),
    codec.Registration(205, fleet.TunnelRequest, _FLEET),
    codec.Registration(206, fleet.TunnelReply, _FLEET),
    codec.Registration(300, changes.ConfigurationChange, _CONFIGURATION),
    codec.Registration(301, changes.AuditNote, _CONFIGURATION),
    codec.Registration(302, changes.ConfigurationCheckpoint, _CONFIGURATION),
    codec.Registration(310, distribution.ConfigurationDigest, _CONFIGURATION),
    codec.Registration(311, distribution.ConfigurationPull, _CONFIGURATION),
    codec.Registration(312, distribution.ConfigurationRecords, _CONFIGURATION),
    codec.Registration(320, status.StatusQuery, _STATUS),
    codec.Registration(321, status.StatusReport, _STATUS),
    codec.Registration(400, requesting.CrashNotice, _REQUEST),
    codec.Registration(401, requesting.QuarantineNotice, _REQUEST),
    codec.Registration(402, requesting.LeavingNotice, _REQUEST),
    codec.Registration(403, requesting.LoadNotice, _REQUEST),
    codec.Registration(404, requesting.CrashReport, _REQUEST),
    codec.Registration(405, rate_limiting.LimitNotice, _REQUEST),
    codec.Registration(406, rate_limiting.PermitRequest, _REQUEST),
    codec.Registration(407, rate_limiting.PermitReply, _REQUEST),
    codec.Registration(408, rate_limiting.PermitReturn, _REQUEST),
    codec.Registration(410, streams.OriginNotice, _REQUEST),
    codec.Registration(411, streams.OriginRequest, _REQUEST),
    codec.Registration(412, streams.OriginReply, _REQUEST),
    codec.Registration(420, rate_limiting.ColdNotice, _REQUEST),
    codec.Registration(421, evacuation.EvacuationNotice, _FLEET),
)


def make_codec() -> codec.Codec:
    """Returns a codec for all records in `REGISTRATIONS`."""
    return codec.Codec(REGISTRATIONS)
