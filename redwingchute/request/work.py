"""Describes the work that a caller asks for, and what is left of it."""

import attrs

from redwingchute.core import configuration
from redwingchute.request import quarantine


@attrs.frozen
class Work:
    """What a caller asks of a pool.

    Attributes:
      pool_name: The pool that runs it.
      account: Whose request it is.
      kind: The kind of work.
      arrived_ms: When it arrived.
      body_digest: The digest of its body.
      prompt_tokens: The prompt's estimated size, 0 for plain services.
      prefix_digests: The digests of its prompt's prefixes.
      max_output_tokens: The bound of its output; 1 for calls of services.
      is_repeatable: Whether it may run more than once.
    """

    pool_name: str
    account: configuration.ClientAccount
    kind: configuration.WorkKind
    arrived_ms: int
    body_digest: bytes
    prompt_tokens: int = 0
    prefix_digests: tuple[bytes, ...] = ()
    max_output_tokens: int = 1
    is_repeatable: bool = True

    @property
    def key(self) -> quarantine.RequestKey:
        """The key that it is quarantined by."""
        return quarantine.RequestKey(self.account.name, self.body_digest)


@attrs.frozen
class Progress:
    """What earlier attempts of a request left.

    Attributes:
      delivered_tokens: Output that the caller has already.
      has_sent: Whether an attempt has sent a byte.
      failed_upstreams: The upstreams that failed it.
    """

    delivered_tokens: int = 0
    has_sent: bool = False
    failed_upstreams: frozenset[str] = frozenset()
