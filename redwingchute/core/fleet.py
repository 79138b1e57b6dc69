"""The immutable records that routers exchange about themselves.

They carry the handshake of a link between two routers and the membership
state that each router publishes.
"""

import attrs

from redwingchute.core import data


@attrs.frozen
class LinkHello:
    """The first message of a link, from the router that dialled.

    Attributes:
      host: The dialling host.
      nonce: Random bytes that the other side's proof must cover.
    """

    host: data.Host
    nonce: bytes


@attrs.frozen
class LinkWelcome:
    """The answer to `LinkHello`: proves the fleet key of the answering side."""

    host: data.Host
    nonce: bytes
    proof: bytes


@attrs.frozen
class LinkProof:
    """The last message of the handshake: proves the dialling side's key."""

    proof: bytes


@attrs.frozen
class MemberState:
    """What a router publishes about itself.

    Attributes:
      host: Its identity; a restart has a new incarnation.
      version: Counts the router's own changes; a higher one replaces.
      broken_links: Names of overlay neighbours that it can't reach.
    """

    host: data.Host
    version: int
    broken_links: tuple[str, ...] = ()


@attrs.frozen
class Heartbeat:
    """A heartbeat between overlay neighbours.

    Attributes:
      sender: The sender's own state.
      is_reply: Whether this answers another heartbeat.
      digest: A digest of all that the sender knows of members.
      updates: States that changed lately, a bounded number.
    """

    sender: MemberState
    is_reply: bool
    digest: int
    updates: tuple[MemberState, ...] = ()


@attrs.frozen
class MemberList:
    """A part of all known states, sent when digests stay different."""

    members: tuple[MemberState, ...]
    wants_reply: bool
