"""How much a host may have spent, by the age of its latest stamp.

A host that cannot renew its stamp goes on at the pace of its demand, and
faster the longer it is alone. Its successor knows how old the stamp was at
most when the process before ended, and counts what was allowed by then.
"""

import math

from redwingchute.core import prepaid

# A crash and the restart take less in most cases; a host whose stamp is older
# is rather cut off from the log, and its tokens serve better when spent.
_RESTART_MS = 3_000
# How much faster the ceiling rises after that.
_ISOLATED_RISE_FACTOR = 8


def find_ceiling(row: prepaid.GrantRow, age_ms: int) -> int:
    """Returns the most tokens that a host has spent or reserved.

    Args:
      row: The host's row.
      age_ms: How old its stamp is.
    """
    isolated_ms = max(0, age_ms - _RESTART_MS)
    weighted_age_ms = age_ms + (_ISOLATED_RISE_FACTOR - 1) * isolated_ms
    rise_tokens = int(row.rise_tokens_per_s * weighted_age_ms / 1000)
    return min(row.granted_tokens, row.ceiling_tokens + rise_tokens)


def find_age_ms(row: prepaid.GrantRow, tokens: int) -> int | None:
    """Returns the age of the stamp at which a ceiling allows tokens.

    Args:
      row: The host's row.
      tokens: All that would be spent or reserved.

    Returns:
      The age, 0 when they are allowed at once; None when they never are.
    """
    if tokens > row.granted_tokens:
        return None
    lacking_tokens = tokens - row.ceiling_tokens
    if lacking_tokens <= 0:
        return 0
    if row.rise_tokens_per_s <= 0:
        return None
    weighted_age_ms = math.ceil(
        (lacking_tokens + 1) * 1000 / row.rise_tokens_per_s
    )
    if weighted_age_ms <= _RESTART_MS:
        return weighted_age_ms
    return _RESTART_MS + math.ceil(
        (weighted_age_ms - _RESTART_MS) / _ISOLATED_RISE_FACTOR
    )
