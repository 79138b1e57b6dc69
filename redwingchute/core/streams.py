"""The records of which upstream began a stream.

A stream that has broken off may go on only at an upstream of the same software
version, also if the caller asks another router for the rest. Routers send the
records to each other; each has a schema struct of the same name in
wire/request.capnp.
"""

import attrs


@attrs.frozen
class StreamOrigin:
    """The start of an upstream that sent the first event of a stream.

    Attributes:
      request_id: The id of the request that brought the first event.
      service: The service of the upstream.
      upstream: The upstream.
      born_ms: Its start time; 0 if it is not known.
      version: The version of its software; empty if it is not known. Versions
        have no order.
      begun_ms: When the first event arrived, in milliseconds since the Unix
        epoch.
    """

    request_id: str
    service: str
    upstream: str
    born_ms: int
    version: str
    begun_ms: int


@attrs.frozen
class OriginNotice:
    """Tells another router the origins of streams, so that it keeps them."""

    origins: tuple[StreamOrigin, ...]


@attrs.frozen
class OriginRequest:
    """Asks another router for the origin of a stream.

    Attributes:
      request_id: The id of the request that brought the first event.
      service: The service that runs the stream.
      max_age_ms: How long ago the stream may have begun.
    """

    request_id: str
    service: str
    max_age_ms: int


@attrs.frozen
class OriginReply:
    """Answers an `OriginRequest`.

    Attributes:
      origins: The origin, if the router knows it.
      versions: The versions that the service has had since the stream may have
        begun, as far as the router knows.
      has_history: Whether the router had a list of upstreams for that time, so
        that it would have been told of other versions.
      is_complete: Whether all versions of that time are among `versions`,
        whatever the router was told.
    """

    origins: tuple[StreamOrigin, ...]
    versions: tuple[str, ...]
    has_history: bool
    is_complete: bool = False
