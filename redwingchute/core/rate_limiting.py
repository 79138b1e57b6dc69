"""The records of the limits that upstreams name to the fleet.

An upstream in need names in its responses how many requests a second it takes
from all routers together. A brittle one names how many requests a second it can
reject for want of room before it fails. A cold one bears what the configuration
says, until a known time. Routers send the records `LimitNotice`, `ColdNotice`,
`PermitRequest`, `PermitReply` and `PermitReturn` to each other; each has a
schema struct of the same name in wire/request.capnp.
"""

import math
from typing import TypeAlias

import attrs


@attrs.frozen
class NoLimit:
    """The response names no limit."""


@attrs.frozen
class RateLimit:
    """The response names a limit.

    Attributes:
      requests_per_s: The requests a second of all routers together that the
        upstream takes, or that it can reject.
    """

    requests_per_s: float


@attrs.frozen
class UnreadableLimit:
    """The response names something that is no rate.

    Attributes:
      text: What it names.
    """

    text: str


NamedLimit: TypeAlias = NoLimit | RateLimit | UnreadableLimit


@attrs.frozen
class KnownLimit:
    """What a router knows of the limit of one start of an upstream.

    Attributes:
      revision: Rises by one with each observed change. Of two routers, the one
        with the higher revision knows the newer limit; 0 before the first.
      requests_per_s: The limit of requests; infinite if there is none.
      rejections_per_s: How many requests the upstream can reject; infinite
        unless it is brittle.
    """

    revision: int = 0
    requests_per_s: float = math.inf
    rejections_per_s: float = math.inf

    @property
    def is_limited(self) -> bool:
        """Whether requests need permits."""
        return self.has_rate or self.is_brittle

    @property
    def has_rate(self) -> bool:
        """Whether the rate of requests is limited."""
        return self.requests_per_s < math.inf

    @property
    def is_brittle(self) -> bool:
        """Whether rejections are limited."""
        return self.rejections_per_s < math.inf


@attrs.frozen
class LimitNotice:
    """Tells other routers the limit of an upstream, or its end.

    Attributes:
      upstream: The upstream.
      born_ms: Its start time; 0 if it is not known.
      limit: The limit.
    """

    upstream: str
    born_ms: int
    limit: KnownLimit


@attrs.frozen
class ColdNotice:
    """Tells other routers that an upstream is cold, or may be.

    Attributes:
      upstream: The upstream.
      born_ms: Its start time; 0 if it is not known.
      sequence: The number of the newest entry that the observing router had
        read.
      cold_ms: How long it stays cold; 0 if a connection to it failed, so that
        it may have started again.
    """

    upstream: str
    born_ms: int
    sequence: int
    cold_ms: int


@attrs.frozen
class PermitRequest:
    """Asks a limiter of an upstream to permit one request.

    Attributes:
      upstream: The upstream that the request is for.
      born_ms: Its start time; 0 if it is not known.
      zone: Its availability zone.
      limit: What the asking router knows of its limit.
      is_urgent: Whether the request has the highest priority.
      slots: How many requests the upstream runs at once.
      cold_requests_per_s: What the upstream bears while it is cold; 0 if the
        asking router takes it for warm.
    """

    upstream: str
    born_ms: int
    zone: str
    limit: KnownLimit
    is_urgent: bool
    slots: int = 1
    cold_requests_per_s: float = 0.0


@attrs.frozen
class PermitReply:
    """Answers a `PermitRequest`.

    Attributes:
      is_limiter: Whether the replying router holds a part of the limit.
      is_permitted: Whether the request may be sent.
      wait_ms: When the next request will be permitted, if nobody asks before.
      limit: What the replying router knows of the limit.
      counts_cold: Whether it counts the requests to a cold upstream; a router
        of an earlier release does not.
    """

    is_limiter: bool
    is_permitted: bool
    wait_ms: int
    limit: KnownLimit
    counts_cold: bool = False


@attrs.frozen
class PermitReturn:
    """Returns a permit to its limiter, because the attempt has ended.

    Attributes:
      upstream: The upstream.
      born_ms: Its start time; 0 if it is not known.
      is_used: Whether the request was sent.
      was_rejected: Whether the upstream rejected it.
    """

    upstream: str
    born_ms: int
    is_used: bool = False
    was_rejected: bool = False
