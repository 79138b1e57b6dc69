"""The record with which routers tell each other of evacuated zones.

It has a schema struct of the same name in wire/fleet.capnp.
"""

import attrs


@attrs.frozen
class EvacuationNotice:
    """Tells other routers what the operator requests for a zone.

    Attributes:
      zone: The availability zone.
      is_evacuated: Whether nothing new may be sent to its upstreams.
      era: The era of the log in which the operator's record was read.
      offset: The offset of that record.
    """

    zone: str
    is_evacuated: bool
    era: int
    offset: int
