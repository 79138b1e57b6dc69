@0x9f3b6b1b3c9f4a13;
# Status queries between routers. Field names mirror core/status.py.

struct RunningRequest { account @0 :Text; pool @1 :Text; kind @2 :Text; upstream @3 :Text; state @4 :Text; startedMs @5 :Int64; }
struct UpstreamStatus { upstream @0 :Text; state @1 :Text; running @2 :Int64; queued @3 :Int64; reportedMs @4 :Int64; }
struct StatusQuery { wantsRunning @0 :Bool; wantsUpstreams @1 :Bool; }
struct StatusReport { host @0 :Text; zone @1 :Text; version @2 :UInt64; currentMs @3 :Int64; reportedMs @4 :Int64; running @5 :List(RunningRequest); upstreams @6 :List(UpstreamStatus); }
