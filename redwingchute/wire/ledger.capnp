@0x9f3b6b1b3c9f4a01;
# Entries, log records and messages of a ledger shard. Field names mirror
# core/data.py.

struct Credit { budget @0 :Text; reference @1 :Text; tokens @2 :Int64; author @3 :Text; reason @4 :Text; }
struct Grant { budget @0 :Text; holder @1 :UInt64; kind @2 :UInt8; tokens @3 :Int64; }
struct GiveBack { budget @0 :Text; holder @1 :UInt64; kind @2 :UInt8; tokens @3 :Int64; sequence @4 :UInt64; }
struct Settle { budget @0 :Text; holder @1 :UInt64; kind @2 :UInt8; key @3 :Data; bodyDigest @4 :Data; tokens @5 :Int64; settledAtMs @6 :Int64; }
struct Claim { budget @0 :Text; holder @1 :UInt64; key @2 :Data; bodyDigest @3 :Data; claimedAtMs @4 :Int64; claimId @5 :Data; }
struct RecordOutcome { budget @0 :Text; holder @1 :UInt64; key @2 :Data; status @3 :UInt8; tokens @4 :Int64; kind @5 :UInt8; answer @6 :Data; claimId @7 :Data; }
struct Resolve { budget @0 :Text; key @1 :Data; status @2 :UInt8; author @3 :Text; reason @4 :Text; }
struct Retire { holder @0 :UInt64; }
struct Release { budget @0 :Text; holder @1 :UInt64; tokens @2 :Int64; author @3 :Text; reason @4 :Text; reference @5 :Text; }
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

struct Ask { budget @0 :Text; leaseTokens @1 :Int64; reserveTokens @2 :Int64; demandTokensPerS @3 :Float64; smallestTokens @4 :Int64; }
struct Granted { budget @0 :Text; leaseTokens @1 :Int64; reserveTokens @2 :Int64; availableTokens @3 :Int64; leaseMs @4 :Int64; leaseTotalTokens @5 :Int64; reserveTotalTokens @6 :Int64; }
struct Lookup { budget @0 :Text; key @1 :Data; bodyDigest @2 :Data; }
struct KeyReport { state @0 :UInt8; status @1 :UInt8; answer @2 :Data; }
struct LedgerCall { shard @0 :UInt32; holder @1 :UInt64; host @2 :Text; entries @3 :List(LedgerEntry); asks @4 :List(Ask); lookups @5 :List(Lookup); }
struct LedgerReply { shard @0 :UInt32; epoch @1 :UInt64; status @2 :UInt8; ownerHost @3 :Text; verdicts @4 :List(Verdict); grants @5 :List(Granted); reports @6 :List(KeyReport); isHolderRetired @7 :Bool; }
struct Recall { budget @0 :Text; kind @1 :UInt8; tokens @2 :Int64; }

struct Checkpoint { checkpointId @0 :Data; asOfOffset @1 :Int64; part @2 :UInt32; partCount @3 :UInt32; body @4 :Data; }
struct HoldingSnapshot { holder @0 :UInt64; leaseTokens @1 :Int64; reserveTokens @2 :Int64; unaccountedTokens @3 :Int64; leaseTotalTokens @4 :Int64; reserveTotalTokens @5 :Int64; sequenceWatermark @6 :UInt64; laterSequences @7 :List(UInt64); releasedTokens @8 :Int64; }
struct BudgetSnapshot { budget @0 :Text; creditedTokens @1 :Int64; settledTokens @2 :Int64; references @3 :Data; holdings @4 :List(HoldingSnapshot); }
struct ClaimSnapshot { key @0 :Data; holder @1 :UInt64; bodyDigest @2 :Data; claimedAtMs @3 :Int64; claimId @4 :Data; isRecorded @5 :Bool; status @6 :UInt8; answer @7 :Data; answeredNumber @8 :UInt32; }
struct ShardSnapshot { epoch @0 :UInt64; owner @1 :UInt64; ownerHost @2 :Text; lastSequence @3 :UInt64; timeMs @4 :Int64; retired @5 :List(UInt64); transfers @6 :Data; budgets @7 :List(BudgetSnapshot); claims @8 :List(ClaimSnapshot); expiredClaims @9 :Data; keysBeganAtS @10 :Int64; keysFloorS @11 :Int64; olderExpiredClaims @12 :Data; }

struct HolderBalance { holder @0 :UInt64; leaseTokens @1 :Int64; reserveTokens @2 :Int64; unaccountedTokens @3 :Int64; }
struct BudgetBalance { budget @0 :Text; creditedTokens @1 :Int64; settledTokens @2 :Int64; leasedTokens @3 :Int64; reservedTokens @4 :Int64; unaccountedTokens @5 :Int64; holders @6 :List(HolderBalance); }
struct BalanceQuery { shard @0 :UInt32; budget @1 :Text; }
struct BalanceReport { shard @0 :UInt32; status @1 :UInt8; ownerHost @2 :Text; balances @3 :List(BudgetBalance); }
