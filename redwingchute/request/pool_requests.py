"""A request for an upstream pool, and the results of its earlier attempts."""

import attrs

from redwingchute.core import configuration
from redwingchute.request import quarantine


@attrs.frozen
class PoolRequest:
    """A request for a pool of upstreams.

    Attributes:
      pool_name: The name of the pool that runs it.
      account: The client account of the caller.
      kind: The kind of work.
      arrived_ms: The time at which it arrived.
      body_digest: The digest of its target and body, equal for its copies.
      prompt_tokens: The estimated size of the prompt in tokens, 0 for service
        calls.
      prefix_digests: The digests of prefixes of the prompt, shortest first.
      max_output_tokens: The output limit in tokens, 1 for service calls.
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
        """The key under which the request is quarantined."""
        return quarantine.RequestKey(self.account.name, self.body_digest)


@attrs.frozen
class Progress:
    """The results of the earlier attempts at a request.

    Attributes:
      delivered_tokens: The output that the caller received, in tokens.
      has_sent: Whether an attempt sent a byte.
      failed_upstreams: The names of the upstreams that failed an attempt.
    """

    delivered_tokens: int = 0
    has_sent: bool = False
    failed_upstreams: frozenset[str] = frozenset()
