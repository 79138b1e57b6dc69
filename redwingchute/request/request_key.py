"""Derives the key that a request is billed under.

The `Idempotency-Key` of a caller is valid within its client account only. A
request without one gets a random key, so that it is billed once as well.
"""

from collections.abc import Callable
import hashlib

from redwingchute.core import data
from redwingchute.core import outcomes

DIGEST_BYTES = 16
_MAX_KEY_CHARACTERS = 255


def read_caller_key(headers: dict[str, str]) -> str | None | outcomes.NotRun:
    """Returns the idempotency key, None if there is none, or a refusal."""
    key = headers.get("idempotency-key")
    if key is None:
        return None
    if not key or len(key) > _MAX_KEY_CHARACTERS:
        return outcomes.NotRun(
            400,
            "bad_idempotency_key",
            f"Idempotency-Key must have 1 to {_MAX_KEY_CHARACTERS} characters.",
        )
    return key


def digest_key(account_name: str, key: str) -> data.KeyDigest:
    """Returns the digest of an idempotency key within its client account."""
    text = f"{len(account_name)}:{account_name}:{key}"
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def derive_billing_key(
    account_name: str,
    caller_key: str | None,
    make_random_bytes: Callable[[int], bytes],
) -> data.KeyDigest:
    """Returns the key that a request is billed under.

    Args:
      account_name: The client account of the caller.
      caller_key: The idempotency key of the caller, None if there is none.
      make_random_bytes: Returns the given number of random bytes.
    """
    if caller_key is None:
        return make_random_bytes(DIGEST_BYTES)
    return digest_key(account_name, caller_key)


def digest_body(target: str, body: bytes) -> bytes:
    """Returns a digest that is equal for equal requests.

    Args:
      target: The path of the request; for service calls, the method and the
        target.
      body: The request body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(target.encode() + b"\n")
    digest.update(body)
    return digest.digest()
