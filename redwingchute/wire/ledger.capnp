@0x9f3b6b1b3c9f4a01;
# Entries and records of a ledger shard. Field names mirror core/data.py.

struct Credit { budget @0 :Text; reference @1 :Text; tokens @2 :Int64; author @3 :Text; reason @4 :Text; }
struct Grant { budget @0 :Text; holder @1 :UInt64; kind @2 :UInt8; tokens @3 :Int64; }
struct GiveBack { budget @0 :Text; holder @1 :UInt64; kind @2 :UInt8; tokens @3 :Int64; sequence @4 :UInt64; }
struct Settle { budget @0 :Text; holder @1 :UInt64; kind @2 :UInt8; key @3 :Data; bodyDigest @4 :Data; tokens @5 :Int64; settledAtMs @6 :Int64; }
struct Claim { budget @0 :Text; holder @1 :UInt64; key @2 :Data; bodyDigest @3 :Data; claimedAtMs @4 :Int64; }
struct RecordOutcome { budget @0 :Text; holder @1 :UInt64; key @2 :Data; status @3 :UInt8; tokens @4 :Int64; kind @5 :UInt8; answer @6 :Data; }
struct Resolve { budget @0 :Text; key @1 :Data; status @2 :UInt8; author @3 :Text; reason @4 :Text; }
struct Retire { holder @0 :UInt64; }
struct Release { budget @0 :Text; holder @1 :UInt64; tokens @2 :Int64; author @3 :Text; reason @4 :Text; }
struct Transfer { budget @0 :Text; source @1 :UInt64; target @2 :UInt64; transferId @3 :Data; tokens @4 :Int64; }

struct LedgerEntry {
  union {
    credit @0 :Credit;
    grant @1 :Grant;
    giveBack @2 :GiveBack;
    settle @3 :Settle;
    claim @4 :Claim;
    recordOutcome @5 :RecordOutcome;
    resolve @6 :Resolve;
    retire @7 :Retire;
    release @8 :Release;
    transfer @9 :Transfer;
  }
}

struct Verdict { code @0 :UInt8; tokens @1 :Int64; status @2 :UInt8; answer @3 :Data; }
struct Takeover { recordId @0 :Data; epoch @1 :UInt64; owner @2 :UInt64; host @3 :Text; }
struct Batch { recordId @0 :Data; epoch @1 :UInt64; owner @2 :UInt64; entries @3 :List(LedgerEntry); }

struct Ask { budget @0 :Text; leaseTokens @1 :Int64; reserveTokens @2 :Int64; demandTokensPerS @3 :Float64; }
struct Granted { budget @0 :Text; leaseTokens @1 :Int64; reserveTokens @2 :Int64; availableTokens @3 :Int64; leaseMs @4 :Int64; }
struct Lookup { budget @0 :Text; key @1 :Data; bodyDigest @2 :Data; }
struct KeyReport { state @0 :UInt8; status @1 :UInt8; answer @2 :Data; }
struct LedgerCall { shard @0 :UInt32; holder @1 :UInt64; host @2 :Text; entries @3 :List(LedgerEntry); asks @4 :List(Ask); lookups @5 :List(Lookup); }
struct LedgerReply { shard @0 :UInt32; epoch @1 :UInt64; status @2 :UInt8; ownerHost @3 :Text; verdicts @4 :List(Verdict); grants @5 :List(Granted); reports @6 :List(KeyReport); }
struct Recall { budget @0 :Text; kind @1 :UInt8; tokens @2 :Int64; }
