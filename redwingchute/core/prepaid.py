"""The immutable records of prepaid tokens that are granted to routers.

A grant row says how many tokens of one account a host may spend. Rows live in
a keyed topic of the shared log, one for each account and host, and the sum of
all grants of an account never exceeds what the account has prepaid. Routers
also charge tokens to each other's grants; those messages have schema structs
of the same name in wire/prepaid.capnp.
"""

import attrs


@attrs.frozen
class GrantRow:
    """What one host may spend of an account, and has spent.

    All counts are cumulative over the life of the account, so that a row
    alone says everything about its host.

    Attributes:
      account: The client account.
      host: The host that spends.
      granted_tokens: The most that the host ever spends, until another row.
      ceiling_tokens: The most that it has spent or reserved when its latest
        stamp was made; at most the grant.
      rise_tokens_per_s: How fast that ceiling rises with the age of the stamp;
        `process/prepaid/ceiling.py` says by which law.
      spent_tokens: What it has spent.
      unsure_tokens: The part of `spent_tokens` that only may be spent: a
        former process ended without telling.
      demand_tokens_per_s: The rate at which it is asked for tokens.
    """

    account: str
    host: str
    granted_tokens: int
    ceiling_tokens: int
    rise_tokens_per_s: float
    spent_tokens: int
    demand_tokens_per_s: float
    unsure_tokens: int = 0


@attrs.frozen
class HostStamp:
    """Says that a host's process ran at a time, and where others reach it.

    Attributes:
      host: The host.
      zone: Its availability zone.
      peer_address: `ip:port` for links between routers.
      epoch: Counts the process starts on the host.
      boot_ms: The time of the stamp on the host's boot clock.
      wall_ms: The same by the time of day.
      is_leaving: Whether the process is about to stop and has returned its
        grants.
    """

    host: str
    zone: str
    peer_address: str
    epoch: int
    boot_ms: int
    wall_ms: int
    is_leaving: bool = False


@attrs.frozen
class RemoteCharge:
    """Asks a router to reserve tokens of its grant for a request elsewhere.

    Attributes:
      charge_id: Names the charge across the fleet.
      account: The client account.
      tokens: How many tokens the request still needs.
      expires_in_ms: After this time the charge counts as spent.
    """

    charge_id: str
    account: str
    tokens: int
    expires_in_ms: int


@attrs.frozen
class RemoteChargeReply:
    """Answers a `RemoteCharge`.

    Attributes:
      reserved_tokens: What was reserved; may be less than was asked.
      spent_tokens: What the replying router has surely spent.
    """

    reserved_tokens: int
    spent_tokens: int


@attrs.frozen
class RemoteSettlement:
    """Ends a remote charge with what was consumed of it."""

    charge_id: str
    account: str
    spent_tokens: int


@attrs.frozen
class RemoteSettlementReply:
    """Says that a remote charge is settled, now or before."""

    charge_id: str
