"""Authenticates callers by bearer key.

Only hashes of keys are stored. The hash of a given key is compared with every
stored hash in constant time, also after one matched, so that the duration does
not reveal which stored hash matched or how similar one was.
"""

import hashlib
import hmac

from redwingchute.core import configuration
from redwingchute.core import outcomes

_SCHEME = "bearer "


def hash_key(key: str) -> str:
    """Returns the stored form of a key: its SHA-256 hash in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_bearer_key(headers: dict[str, str]) -> str | None:
    """Returns the key of an `Authorization: Bearer` header, or None."""
    value = headers.get("authorization", "")
    if not value.lower().startswith(_SCHEME):
        return None
    return value[len(_SCHEME) :].strip() or None


def find_client_account(
    current: configuration.Configuration, headers: dict[str, str]
) -> configuration.ClientAccount | outcomes.NotRun:
    """Returns the client account that a request belongs to, or a refusal."""
    key = read_bearer_key(headers)
    if key is None:
        return outcomes.NotRun(
            401, "no_key", "The request has no Authorization: Bearer key."
        )
    given_hash = hash_key(key)
    matched = None
    for account in current.client_accounts:
        for key_hash in account.key_hashes:
            if hmac.compare_digest(given_hash, key_hash):
                matched = account
    if matched is None:
        return outcomes.NotRun(
            401, "unknown_key", "The key belongs to no client account."
        )
    if matched.is_suspended:
        return outcomes.NotRun(
            403, "account_suspended", "The client account is suspended."
        )
    return matched
