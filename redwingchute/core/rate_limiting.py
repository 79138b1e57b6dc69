"""The records of the request rates to which upstreams limit the fleet.

An upstream in need names in its responses how many requests a second it takes
from all routers together. Routers send the records `LimitNotice`,
`PermitRequest`, `PermitReply` and `PermitReturn` to each other; each has a
schema struct of the same name in wire/request.capnp.
"""

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
      requests_per_s: The limit; None if there is none.
    """

    revision: int = 0
    requests_per_s: float | None = None
