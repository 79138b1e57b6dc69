"""Estimates how long an answer gets from how long earlier ones were.

Callers bound their answers generously; planning with the bound would refuse
work that fits. The estimate is the mean share of the bound that answers of
the same account and kind of work used.
"""

import attrs

from redwingchute.core import configuration

_INITIAL_SHARE = 0.5
_LEARNING_RATE = 0.05
_MAX_GROUPS = 4_096


@attrs.frozen
class _Group:
    """Answers that are expected to be alike."""

    client_account: str
    kind: configuration.WorkKind


class OutputEstimator:
    """The mean used share of the output bound, by account and kind."""

    def __init__(self) -> None:
        """Starts without experience."""
        self._shares: dict[_Group, float] = {}

    def estimate_tokens(
        self,
        client_account: str,
        kind: configuration.WorkKind,
        max_output_tokens: int,
    ) -> int:
        """Returns the expected output of a request, at least one token."""
        group = _Group(client_account, kind)
        share = self._shares.get(group, _INITIAL_SHARE)
        return max(1, round(share * max_output_tokens))

    def note_output(
        self,
        client_account: str,
        kind: configuration.WorkKind,
        max_output_tokens: int,
        output_tokens: int,
    ) -> None:
        """Learns from an answer that ended by itself."""
        group = _Group(client_account, kind)
        used = min(1.0, output_tokens / max(1, max_output_tokens))
        share = self._shares.pop(group, _INITIAL_SHARE)
        self._shares[group] = share + _LEARNING_RATE * (used - share)
        while len(self._shares) > _MAX_GROUPS:
            del self._shares[next(iter(self._shares))]
