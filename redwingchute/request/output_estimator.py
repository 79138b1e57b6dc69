"""Estimates the output of a request from earlier responses.

Callers set much higher output limits than their responses need, so that
scheduling by the limit would refuse requests that fit. The estimate is the
limit times the mean share of it that recent responses of the same client
account and kind of work used.
"""

import attrs

from redwingchute.core import configuration

_INITIAL_SHARE = 0.5
_LEARNING_RATE = 0.05
_MAX_GROUPS = 4_096


@attrs.frozen
class _Group:
    """The requests that share an estimate."""

    client_account: str
    kind: configuration.WorkKind


class OutputEstimator:
    """Exponential moving averages of the used share of output limits, by group.

    Above the maximum number of groups, the one that was updated the longest ago
    is removed.
    """

    def __init__(self) -> None:
        """Creates an estimator that has seen no response."""
        self._shares: dict[_Group, float] = {}

    def estimate_tokens(
        self,
        client_account: str,
        kind: configuration.WorkKind,
        max_output_tokens: int,
    ) -> int:
        """Returns the expected output of a request in tokens, at least 1."""
        group = _Group(client_account, kind)
        share = self._shares.get(group, _INITIAL_SHARE)
        return max(1, round(share * max_output_tokens))

    def record_output(
        self,
        client_account: str,
        kind: configuration.WorkKind,
        max_output_tokens: int,
        output_tokens: int,
    ) -> None:
        """Updates the estimate from a complete response.

        Args:
          client_account: The client account of the request.
          kind: The kind of work.
          max_output_tokens: The output limit of the request.
          output_tokens: The size of its response in tokens.
        """
        group = _Group(client_account, kind)
        used_share = min(1.0, output_tokens / max(1, max_output_tokens))
        share = self._shares.pop(group, _INITIAL_SHARE)
        self._shares[group] = share + _LEARNING_RATE * (used_share - share)
        while len(self._shares) > _MAX_GROUPS:
            del self._shares[next(iter(self._shares))]
