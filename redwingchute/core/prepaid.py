"""The immutable records of prepaid tokens that are granted to routers.

A grant row states how many tokens of one account a host may spend. Rows are
stored in a keyed topic of the shared log, one for each account and host. The
sum of all grants of an account never exceeds the tokens that it has prepaid.
Routers also lend tokens of their grants to each other; those messages have
schema structs of the same name in wire/prepaid.capnp.
"""

import attrs


@attrs.frozen
class GrantRow:
    """What one host may spend of an account, and what it has spent.

    All counts are cumulative over the lifetime of the account, so that the
    newest row contains the whole state of its host.

    Attributes:
      account: The client account.
      host: The host that spends.
      granted_tokens: The maximum that the host spends until it writes another
        row.
      ceiling_tokens: An upper bound of what the host had spent or reserved at
        the time of its latest stamp; at most `granted_tokens`.
      rise_tokens_per_s: The rate at which the ceiling rises with the age of
        the stamp, see `process/prepaid/ceiling.py`.
      spent_tokens: The tokens that count as spent.
      demand_tokens_per_s: The host's recent demand.
      unsure_tokens: The part of `spent_tokens` that may not have been spent: a
        previous process on the host ended without reporting it.
      restart_ms: The age of the stamp from which on the ceiling rises faster.
      era: The era of the log in which the row was written.
      bounded_rise_tokens_per_s: A lower rate, by what the account has left,
        that also bounds the ceiling; None for none.
      quiet_ms: The age of the stamp up to which the ceiling does not rise.
      bounded_restart_ms: As `restart_ms`, for the bounded rise.
      reserved_tokens: The part between `spent_tokens` and the ceiling that open
        requests had reserved when the row was written.
    """

    account: str
    host: str
    granted_tokens: int
    ceiling_tokens: int
    rise_tokens_per_s: float
    spent_tokens: int
    demand_tokens_per_s: float
    unsure_tokens: int = 0
    restart_ms: int = 3_000
    era: int = 0
    bounded_rise_tokens_per_s: float | None = None
    reserved_tokens: int = 0
    quiet_ms: int = 0
    bounded_restart_ms: int = 2_000


@attrs.frozen
class HostStamp:
    """Records that a host's router process ran at a time, and its address.

    Attributes:
      host: The host.
      zone: Its availability zone.
      peer_address: Its `ip:port` for links between routers.
      epoch: The epoch of the process; each start on the host has a higher one.
      boot_ms: The time of the stamp on the host's boot clock.
      wall_ms: The time of the stamp on the host's wall clock.
      is_leaving: Whether the process is shutting down and has returned the
        unspent tokens of its grants.
      era: The era of the log in which the stamp was written.
      has_lost_history: Whether this process or an earlier one of the host
        started without knowing what its predecessor had spent, since the log
        had lost it.
      read_offset: The offset in `era` up to which the host had read when it
        made the stamp; -1 if it does not state it.
    """

    host: str
    zone: str
    peer_address: str
    epoch: int
    boot_ms: int
    wall_ms: int
    is_leaving: bool = False
    era: int = 0
    has_lost_history: bool = False
    read_offset: int = -1


@attrs.frozen
class EraClosure:
    """What hosts may hold or have spent of which an era has no record.

    It is written when a host has not confirmed its rows in a new era, or
    cannot. All tokens that were not confirmed then count as spent.

    Attributes:
      era: The era.
      unaccounted_tokens: The tokens without a record, by account. An account
        that is missing was created later and has none.
    """

    era: int
    unaccounted_tokens: dict[str, int]


@attrs.frozen
class RemoteCharge:
    """Asks a router to lend tokens of its grant for a request at the sender.

    A router without grants delegates the whole charge: the receiver then lends
    all tokens or none, and borrows from other routers itself if necessary.

    Attributes:
      charge_id: Identifies the charge across the fleet.
      account: The client account.
      tokens: The number of tokens that the request still needs.
      expires_in_ms: The time after which an unsettled charge counts as spent.
      is_delegated: Whether the sender delegates the charge.
      is_connected: Whether the sender reaches the log, and so has tried to
        raise its own grant. The receiver then lends from its grant as it is.
    """

    charge_id: str
    account: str
    tokens: int
    expires_in_ms: int
    is_delegated: bool = False
    is_connected: bool = False


@attrs.frozen
class RemoteChargeReply:
    """The reply to a `RemoteCharge`.

    Attributes:
      reserved_tokens: The reserved tokens; may be fewer than requested.
      spent_tokens: All tokens of the account that the replying router counts
        as spent, except for unsure ones.
      fleet_spent_tokens: All tokens of the account that are known to be spent
        at any router; set for a delegated charge.
      retry_after_ms: After how long a refused delegated charge may be tried
        again; 0 if tokens are reserved, or if another hub should be asked.
      is_final: Whether no time is known after which a refused delegated charge
        may succeed, unless the account prepays more; `retry_after_ms` is then
        for routers of releases without this field.
    """

    reserved_tokens: int
    spent_tokens: int
    fleet_spent_tokens: int = 0
    retry_after_ms: int = 0
    is_final: bool = False


@attrs.frozen
class RemoteSettlement:
    """Settles a remote charge with the tokens that the request consumed.

    Attributes:
      charge_id: Identifies the charge across the fleet.
      account: The client account.
      spent_tokens: The part of the lent tokens that the request consumed.
    """

    charge_id: str
    account: str
    spent_tokens: int


@attrs.frozen
class RemoteSettlementReply:
    """Confirms that a remote charge is settled, by this message or before."""

    charge_id: str
