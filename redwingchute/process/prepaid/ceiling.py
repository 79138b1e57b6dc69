"""Computes the spending ceiling of a host from the age of its latest stamp.

The ceiling bounds what a host may have spent or reserved. It rises with the
age of the stamp: at about the rate of the host's demand at first, and faster
once the host appears to be cut off from the log. After a crash, the successor
process on the host computes an upper bound of the stamp's age when its
predecessor ended, and counts the ceiling at that age as spent.
"""

import math

from redwingchute.core import prepaid

# The factor by which the ceiling rises faster once the stamp is as old as its
# row states.
_ISOLATED_RISE_FACTOR = 8


def find_ceiling(row: prepaid.GrantRow, age_ms: int) -> int:
    """Returns an upper bound of the tokens that a host has spent or reserved.

    Args:
      row: The host's grant row.
      age_ms: The age of the host's latest stamp.
    """
    rise_tokens = min(
        rate * _weight_age(age_ms, row.quiet_ms, restart_ms) / 1000
        for rate, restart_ms in _list_rises(row)
    )
    return min(row.granted_tokens, row.ceiling_tokens + int(rise_tokens))


def find_age_ms(row: prepaid.GrantRow, tokens: int) -> int | None:
    """Returns the age of the stamp at which the ceiling admits tokens.

    Args:
      row: The host's grant row.
      tokens: The total of spent and reserved tokens to admit.

    Returns:
      The age in milliseconds, 0 if the ceiling admits the tokens at once; None
      if it never does.
    """
    if tokens > row.granted_tokens:
        return None
    lacking_tokens = tokens - row.ceiling_tokens
    if lacking_tokens <= 0:
        return 0
    if any(rate <= 0 for rate, _ in _list_rises(row)):
        return None
    # One token more, since `find_ceiling` rounds the rise down.
    return max(
        _unweight_age(
            math.ceil((lacking_tokens + 1) * 1000 / rate),
            row.quiet_ms,
            restart_ms,
        )
        for rate, restart_ms in _list_rises(row)
    )


def _list_rises(row: prepaid.GrantRow) -> list[tuple[float, int]]:
    """Returns the rates of a row, each with the age of its faster rise.

    The ceiling is the lowest of what they give.
    """
    rises = [(row.rise_tokens_per_s, row.restart_ms)]
    if row.bounded_rise_tokens_per_s is not None:
        rises.append((row.bounded_rise_tokens_per_s, row.bounded_restart_ms))
    return rises


def _weight_age(age_ms: int, quiet_ms: int, restart_ms: int) -> int:
    """Returns how long the slow rise takes to rise as far as at an age.

    Args:
      age_ms: The age.
      quiet_ms: The age at which the rise begins; less than `restart_ms`.
      restart_ms: The age from which on it is faster.
    """
    isolated_ms = max(0, age_ms - restart_ms)
    return max(0, age_ms - quiet_ms) + (_ISOLATED_RISE_FACTOR - 1) * isolated_ms


def _unweight_age(weighted_age_ms: int, quiet_ms: int, restart_ms: int) -> int:
    """Returns the age of a weighted one, rounded up."""
    slow_ms = restart_ms - quiet_ms
    if weighted_age_ms <= slow_ms:
        return quiet_ms + weighted_age_ms
    return restart_ms + math.ceil(
        (weighted_age_ms - slow_ms) / _ISOLATED_RISE_FACTOR
    )
