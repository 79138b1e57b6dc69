@0x9f3b6b1b3c9f4a02;
# Messages of the link handshake and of membership. Field names mirror
# core/fleet.py.

struct Host { name @0 :Text; zone @1 :Text; peerAddress @2 :Text; incarnation @3 :UInt64; isLeaving @4 :Bool; }
struct LinkHello { host @0 :Host; nonce @1 :Data; isTunnel @2 :Bool; }
struct LinkWelcome { host @0 :Host; nonce @1 :Data; proof @2 :Data; }
struct LinkProof { proof @0 :Data; }
struct TunnelRequest { upstream @0 :Text; bornMs @1 :UInt64; }
struct TunnelReply { isOpen @0 :Bool; cause @1 :Text; }
struct MemberState { host @0 :Host; version @1 :UInt64; brokenLinks @2 :List(Text); }
struct Heartbeat { sender @0 :MemberState; isReply @1 :Bool; digest @2 :UInt64; updates @3 :List(MemberState); }
struct MemberList { members @0 :List(MemberState); wantsReply @1 :Bool; }

struct EvacuationNotice { zone @0 :Text; isEvacuated @1 :Bool; era @2 :Int64; offset @3 :Int64; }
