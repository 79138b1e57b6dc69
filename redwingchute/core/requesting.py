"""The immutable records of requests, their upstreams and their crashes.

The notices travel between routers; each has a schema struct of the same name
in wire/request.capnp. The other records pass between decision modules.
"""

import attrs

from redwingchute.core import configuration


@attrs.frozen
class CrashNotice:
    """Tells other routers that an upstream crashed under a request.

    Attributes:
      client_account: The account whose request ran there.
      body_digest: The digest of the request's body.
      upstream: The upstream that crashed.
      attempt_id: The attempt that ended with the crash; it is counted once.
      crashed_at_ms: When the router noticed.
    """

    client_account: str
    body_digest: bytes
    upstream: str
    attempt_id: str
    crashed_at_ms: int


@attrs.frozen
class OpenLoad:
    """What one router has open at an upstream.

    Attributes:
      upstream: The upstream.
      open_requests: The requests that are open there.
      waiting_tokens: What it has yet to read of their prompts.
    """

    upstream: str
    open_requests: int
    waiting_tokens: int


@attrs.frozen
class ReadPart:
    """A prompt part that an upstream reads now, and keeps for a while."""

    upstream: str
    part: str


@attrs.frozen
class LoadNotice:
    """Tells other routers what a router has open.

    Attributes:
      loads: Its requests, of all upstreams where it has some.
      parts: The prompt parts that upstreams read for it since the notice
        before.
    """

    loads: tuple[OpenLoad, ...]
    parts: tuple[ReadPart, ...]


@attrs.frozen
class QuarantineNotice:
    """Tells other routers that a request is refused, or no longer.

    Attributes:
      client_account: The account whose request is refused.
      body_digest: The digest of the request's body.
      until_ms: When the quarantine ends by itself.
      changed_at_ms: When it was set or lifted; the later change counts.
      is_lifted: Whether an operator lifted it.
      author: The operator who lifted it, or the router that set it.
    """

    client_account: str
    body_digest: bytes
    until_ms: int
    changed_at_ms: int
    is_lifted: bool = False
    author: str = ""


@attrs.frozen
class LeavingNotice:
    """Tells other routers that an upstream takes no new work.

    Attributes:
      upstream: The upstream's name.
      seen_at_ms: When its answer said so.
    """

    upstream: str
    seen_at_ms: int


@attrs.frozen
class LoadReport:
    """What an engine says about its load.

    Attributes:
      running: Requests that it is running.
      queued: Requests that wait for a slot there.
      slots: How many it can run at once.
      at_ms: When the figures were true, which may be seconds ago.
    """

    running: int
    queued: int
    slots: int
    at_ms: int


@attrs.frozen
class Ticket:
    """A request as the queue and the routing decisions see it.

    Attributes:
      ticket_id: Unique in its router.
      client_account: Whose request it is.
      kind: The kind of work.
      priority: Lower numbers go first.
      deadline_ms: When the answer must have ended.
      prompt_tokens: The prompt's size.
      expected_output_tokens: The answer's expected size.
      arrived_at_ms: When it arrived.
      prefix_digests: Digests of ever longer prefixes of its prompt.
      body_digest: The digest of its body, for crashes under it.
      is_suspect: Whether an upstream crashed under it before.
      excluded_upstreams: Upstreams that failed it in this request's life.
    """

    ticket_id: int
    client_account: str
    kind: configuration.WorkKind
    priority: int
    deadline_ms: int
    prompt_tokens: int
    expected_output_tokens: int
    arrived_at_ms: int
    prefix_digests: tuple[bytes, ...] = ()
    body_digest: bytes = b""
    is_suspect: bool = False
    excluded_upstreams: frozenset[str] = frozenset()

    @property
    def cost_tokens(self) -> int:
        """The size of the work that fairness is measured in."""
        return self.prompt_tokens + self.expected_output_tokens
