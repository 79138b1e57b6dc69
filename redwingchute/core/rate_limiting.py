"""The records of the request rates to which upstreams limit the fleet.

An upstream in need names in its responses how many requests a second it takes
from all routers together. Routers send the records `LimitNotice`,
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
      requests_per_s: The requests a second that the upstream takes from all
        routers together.
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
      requests_per_s: The limit; infinite if there is none.
    """

    revision: int = 0
    requests_per_s: float = math.inf

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.requests_per_s < math.inf


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
class PermitRequest:
    """Asks a limiter of an upstream to permit one request.

    Attributes:
      upstream: The upstream that the request is for.
      born_ms: Its start time; 0 if it is not known.
      zone: Its availability zone.
      limit: What the asking router knows of its limit.
      is_urgent: Whether the request has the highest priority.
    """

    upstream: str
    born_ms: int
    zone: str
    limit: KnownLimit
    is_urgent: bool


@attrs.frozen
class PermitReply:
    """Answers a `PermitRequest`.

    Attributes:
      is_limiter: Whether the replying router holds a part of the limit.
      is_permitted: Whether the request may be sent.
      wait_ms: When the next request will be permitted, if nobody asks before.
      limit: What the replying router knows of the limit.
    """

    is_limiter: bool
    is_permitted: bool
    wait_ms: int
    limit: KnownLimit


@attrs.frozen
class PermitReturn:
    """Returns a permit to its limiter, because nothing was sent.

    Attributes:
      upstream: The upstream.
      born_ms: Its start time; 0 if it is not known.
    """

    upstream: str
    born_ms: int
