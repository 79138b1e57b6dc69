@0xb5a1c6d92e7f4083;
# Messages between routers that lend tokens of their grants to each other.
# Field names mirror core/prepaid.py.

struct RemoteCharge { chargeId @0 :Text; account @1 :Text; tokens @2 :Int64; expiresInMs @3 :Int64; isDelegated @4 :Bool; isConnected @5 :Bool; }
struct RemoteChargeReply { reservedTokens @0 :Int64; spentTokens @1 :Int64; fleetSpentTokens @2 :Int64; retryAfterMs @3 :Int64; isFinal @4 :Bool; }
struct RemoteSettlement { chargeId @0 :Text; account @1 :Text; spentTokens @2 :Int64; }
struct RemoteSettlementReply { chargeId @0 :Text; }
