@0x9f3b6b1b3c9f4a96;
# Messages between routers of one zone about unsettled bills and reserves.
# Field names mirror core/spending.py.

using Ledger = import "ledger.capnp";

struct HoldBills { shard @0 :UInt32; holder @1 :UInt64; bills @2 :List(Ledger.LedgerEntry); }
struct BillsHeld { shard @0 :UInt32; holder @1 :UInt64; keys @2 :List(Data); }
struct ForgetBills { shard @0 :UInt32; holder @1 :UInt64; keys @2 :List(Data); }
struct TransferRequest { budget @0 :Text; target @1 :UInt64; transferId @2 :Data; tokens @3 :Int64; demandTokensPerS @4 :Float64; }
struct TransferReply { transfer @0 :Ledger.Transfer; }
