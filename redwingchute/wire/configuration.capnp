@0x9f3b6b1b3c9f4a03;
# Records of the configuration stream and the messages that distribute them.
# Field names mirror core/configuration.py and version/changes.py.

struct PatienceRule { kind @0 :Text; fromMinute @1 :Int32; untilMinute @2 :Int32; weekdays @3 :List(Int32); deadlineMs @4 :Int64; priority @5 :Int32; }
struct ClientAccount { name @0 :Text; keyHashes @1 :List(Text); budget @2 :Text; models @3 :List(Text); services @4 :List(Text); timeZone @5 :Text; patience @6 :List(PatienceRule); isSuspended @7 :Bool; }
struct Budget { name @0 :Text; reserveShare @1 :Float64; leaseHorizonMs @2 :Int64; }
struct Upstream { name @0 :Text; address @1 :Text; zone @2 :Text; slots @3 :Int64; checksFencing @4 :Bool; honoursPriority @5 :Bool; isDrained @6 :Bool; }
struct Model { name @0 :Text; upstreams @1 :List(Upstream); maxOutputTokens @2 :Int64; promptPrice @3 :Int64; outputPrice @4 :Int64; }
struct Service { name @0 :Text; upstreams @1 :List(Upstream); isRepeatable @2 :Bool; callPrice @3 :Int64; }
struct Operator { name @0 :Text; keyHash @1 :Text; role @2 :Text; }
struct RetryPolicy { budgetRatio @0 :Float64; maxAttempts @1 :Int64; baseDelayMs @2 :Int64; maxDelayMs @3 :Int64; }

struct ReplaceDocument { document @0 :Data; }
struct PutClientAccount { account @0 :ClientAccount; }
struct CreateClientAccount { account @0 :ClientAccount; }
struct SuspendClientAccount { account @0 :Text; }
struct ResumeClientAccount { account @0 :Text; }
struct SetClientAccountBudget { account @0 :Text; budget @1 :Text; }
struct SetClientAccountTimeZone { account @0 :Text; timeZone @1 :Text; }
struct AddClientKey { account @0 :Text; keyHash @1 :Text; }
struct RemoveClientKey { account @0 :Text; keyHash @1 :Text; }
struct AllowModel { account @0 :Text; model @1 :Text; }
struct ForbidModel { account @0 :Text; model @1 :Text; }
struct AllowService { account @0 :Text; service @1 :Text; }
struct ForbidService { account @0 :Text; service @1 :Text; }
struct SetPatience { account @0 :Text; kind @1 :Text; rules @2 :List(PatienceRule); }
struct PutBudget { budget @0 :Budget; }
struct SetReserve { budget @0 :Text; reserveShare @1 :Float64; }
struct SetRetry { retry @0 :RetryPolicy; }
struct DrainUpstream { upstream @0 :Text; }
struct ReturnUpstream { upstream @0 :Text; }
struct PutModel { model @0 :Model; }
struct PutService { service @0 :Service; }
struct PutOperator { operator @0 :Operator; }
struct RemoveOperator { operator @0 :Text; }

struct Change {
  union {
    replaceDocument @0 :ReplaceDocument;
    putClientAccount @1 :PutClientAccount;
    createClientAccount @2 :CreateClientAccount;
    suspendClientAccount @3 :SuspendClientAccount;
    resumeClientAccount @4 :ResumeClientAccount;
    setClientAccountBudget @5 :SetClientAccountBudget;
    setClientAccountTimeZone @6 :SetClientAccountTimeZone;
    addClientKey @7 :AddClientKey;
    removeClientKey @8 :RemoveClientKey;
    allowModel @9 :AllowModel;
    forbidModel @10 :ForbidModel;
    allowService @11 :AllowService;
    forbidService @12 :ForbidService;
    setPatience @13 :SetPatience;
    putBudget @14 :PutBudget;
    setReserve @15 :SetReserve;
    setRetry @16 :SetRetry;
    drainUpstream @17 :DrainUpstream;
    returnUpstream @18 :ReturnUpstream;
    putModel @19 :PutModel;
    putService @20 :PutService;
    putOperator @21 :PutOperator;
    removeOperator @22 :RemoveOperator;
  }
}

struct ConfigurationChange { recordId @0 :Data; author @1 :Text; reason @2 :Text; madeAtMs @3 :Int64; expectedVersion @4 :UInt64; change @5 :Change; }
struct AuditNote { recordId @0 :Data; author @1 :Text; reason @2 :Text; madeAtMs @3 :Int64; action @4 :Text; subject @5 :Text; before @6 :Text; after @7 :Text; isRefused @8 :Bool; }
struct AuditEntry { offset @0 :UInt64; version @1 :UInt64; recordId @2 :Data; author @3 :Text; reason @4 :Text; madeAtMs @5 :Int64; code @6 :UInt8; action @7 :Text; subject @8 :Text; before @9 :Text; after @10 :Text; message @11 :Text; }
struct ChangeVerdict { recordId @0 :Data; code @1 :UInt8; version @2 :UInt64; winner @3 :Text; message @4 :Text; }
struct ConfigurationCheckpoint { nextOffset @0 :UInt64; version @1 :UInt64; author @2 :Text; document @3 :Data; audit @4 :List(AuditEntry); verdicts @5 :List(ChangeVerdict); madeAtMs @6 :Int64; }

struct ConfigurationDigest { nextOffset @0 :UInt64; version @1 :UInt64; ageMs @2 :Int64; }
struct ConfigurationPull { fromOffset @0 :UInt64; needsCheckpoint @1 :Bool; }
struct LoggedRecord { offset @0 :UInt64; body @1 :Data; }
struct ConfigurationRecords { nextOffset @0 :UInt64; records @1 :List(LoggedRecord); checkpoint @2 :Data; }
