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
    isolated_ms = max(0, age_ms - row.restart_ms)
    weighted_age_ms = age_ms + (_ISOLATED_RISE_FACTOR - 1) * isolated_ms
    rise_tokens = int(row.rise_tokens_per_s * weighted_age_ms / 1000)
    return min(row.granted_tokens, row.ceiling_tokens + rise_tokens)


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
    if row.rise_tokens_per_s <= 0:
        return None
    # One token more, since `find_ceiling` rounds the rise down.
    weighted_age_ms = math.ceil(
        (lacking_tokens + 1) * 1000 / row.rise_tokens_per_s
    )
    if weighted_age_ms <= row.restart_ms:
        return weighted_age_ms
    return row.restart_ms + math.ceil(
        (weighted_age_ms - row.restart_ms) / _ISOLATED_RISE_FACTOR
    )


def find_restart_ms(
    rise_tokens_per_s: float, wanted_rise_tokens_per_s: float, restart_ms: int
) -> int:
    """Returns from which age on a slower ceiling must rise fast to catch up.

    Args:
      rise_tokens_per_s: The rate of the slower ceiling.
      wanted_rise_tokens_per_s: The rate of the ceiling to catch up with.
      restart_ms: The age of the stamp by which it must have caught up.

    Returns:
      The age in milliseconds; 0 if the ceiling cannot catch up in time.
    """
    if wanted_rise_tokens_per_s <= rise_tokens_per_s:
        return restart_ms
    if rise_tokens_per_s <= 0:
        return 0
    fast_rise_tokens_per_s = rise_tokens_per_s * _ISOLATED_RISE_FACTOR
    share = (fast_rise_tokens_per_s - wanted_rise_tokens_per_s) / (
        fast_rise_tokens_per_s - rise_tokens_per_s
    )
    return max(0, int(restart_ms * share))
