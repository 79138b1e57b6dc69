"""The messages of the link handshake and of membership."""

import enum

import attrs

from redwingchute.core import data


@attrs.frozen
class LinkHello:
    """The first message on a link, sent by the router that connects.

    Attributes:
      host: The connecting router's host.
      nonce: Random bytes that the proof of the other side must cover.
      is_tunnel: Whether the connection becomes a tunnel to an upstream after
        the handshake, instead of a link.
    """

    host: data.Host
    nonce: bytes
    is_tunnel: bool = False


@attrs.frozen
class LinkWelcome:
    """The reply to `LinkHello`: proves that its sender has the fleet key.

    Attributes:
      host: The accepting router's host.
      nonce: Random bytes that the proof of the connecting side must cover.
      proof: The proof of the accepting side.
    """

    host: data.Host
    nonce: bytes
    proof: bytes


@attrs.frozen
class LinkProof:
    """The last message of the handshake: the proof of the connecting side."""

    proof: bytes


@attrs.frozen
class TunnelRequest:
    """Asks a router to join this connection to a new one to an upstream.

    Attributes:
      upstream: The upstream.
      born_ms: Its start time; 0 if it is not known.
    """

    upstream: str
    born_ms: int


class TunnelRefusal(enum.StrEnum):
    """Why a router carries no connection.

    Attributes:
      NONE: It does.
      NO_PATH: It does not reach the upstream by itself, or does not know it.
      STOPPING: Its process is about to stop.
      FULL: It carries too many.
    """

    NONE = ""
    NO_PATH = "no_path"
    STOPPING = "stopping"
    FULL = "full"


@attrs.frozen
class TunnelReply:
    """The reply to `TunnelRequest`; bytes of the upstream follow if it is open.

    Attributes:
      is_open: Whether the connections are joined.
      cause: Why they are not.
    """

    is_open: bool
    cause: str = TunnelRefusal.NONE


@attrs.frozen
class MemberState:
    """The membership state that a router publishes about itself.

    Attributes:
      host: Its identity; a restart results in a new incarnation.
      version: The number of changes by the router; a state with a higher
        version replaces one with a lower version.
      broken_links: The names of overlay neighbours that it cannot reach.
    """

    host: data.Host
    version: int
    broken_links: tuple[str, ...] = ()


@attrs.frozen
class Heartbeat:
    """A heartbeat between overlay neighbours.

    Attributes:
      sender: The sender's own state.
      is_reply: Whether this is the reply to another heartbeat.
      digest: A digest of all member states that the sender has.
      updates: Recently changed member states, at most a fixed number.
    """

    sender: MemberState
    is_reply: bool
    digest: int
    updates: tuple[MemberState, ...] = ()


@attrs.frozen
class MemberList:
    """A part of all member states, sent while the digests keep differing.

    Attributes:
      members: The member states.
      wants_reply: Whether the receiver should send its own states in return.
    """

    members: tuple[MemberState, ...]
    wants_reply: bool
