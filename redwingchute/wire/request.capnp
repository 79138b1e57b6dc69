@0x9f3b6b1b3c9f4a40;
# Notices between routers about requests and upstreams. Field names mirror
# core/requesting.py, core/rate_limiting.py and core/streams.py.

struct CrashNotice { clientAccount @0 :Text; bodyDigest @1 :Data; upstream @2 :Text; attemptId @3 :Text; crashedAtMs @4 :Int64; }
struct CrashObservation { subject @0 :Text; upstreamStart @1 :Text; isCleared @2 :Bool; level @3 :UInt32; observer @4 :Text; isWithdrawn @5 :Bool; }
struct CrashReport { reportId @0 :Text; observations @1 :List(CrashObservation); }
struct QuarantineNotice { clientAccount @0 :Text; bodyDigest @1 :Data; untilMs @2 :Int64; changedAtMs @3 :Int64; isLifted @4 :Bool; author @5 :Text; }
struct LeavingNotice { upstream @0 :Text; seenAtMs @1 :Int64; bornMs @2 :Int64; }
struct LoadNotice { upstreams @0 :List(Text); openRequests @1 :List(UInt32); waitingTokens @2 :List(UInt64); partUpstreams @3 :List(Text); partIds @4 :List(Text); workServices @5 :List(Text); workAccounts @6 :List(Text); admittedUnits @7 :List(UInt64); refusedUnits @8 :List(UInt64); }

struct KnownLimit { revision @0 :Int64; requestsPerS @1 :Float64; rejectionsPerS @2 :Float64 = inf; }
struct LimitNotice { upstream @0 :Text; bornMs @1 :Int64; limit @2 :KnownLimit; }
struct ColdNotice { upstream @0 :Text; bornMs @1 :Int64; sequence @2 :Int64; coldMs @3 :Int64; }
struct PermitRequest { upstream @0 :Text; bornMs @1 :Int64; zone @2 :Text; limit @3 :KnownLimit; isUrgent @4 :Bool; slots @5 :Int64; coldRequestsPerS @6 :Float64; }
struct PermitReply { isLimiter @0 :Bool; isPermitted @1 :Bool; waitMs @2 :Int64; limit @3 :KnownLimit; countsCold @4 :Bool; }
struct PermitReturn { upstream @0 :Text; bornMs @1 :Int64; isUsed @2 :Bool; wasRejected @3 :Bool; }

struct StreamOrigin { requestId @0 :Text; service @1 :Text; upstream @2 :Text; bornMs @3 :Int64; version @4 :Text; begunMs @5 :Int64; }
struct OriginNotice { origins @0 :List(StreamOrigin); }
struct OriginRequest { requestId @0 :Text; service @1 :Text; maxAgeMs @2 :Int64; }
struct OriginReply { origins @0 :List(StreamOrigin); versions @1 :List(Text); hasHistory @2 :Bool; isComplete @3 :Bool; }
