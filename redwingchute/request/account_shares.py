"""Divides the room of a service among client accounts.

The division is max-min fair over the current demand, weighted by what each
account has prepaid: whoever asks for less than a fair share gets it all, and
what is left is divided among the others. The room is what the fleet admitted in
the window, so that nothing has to be known of the upstreams' speeds. Without
refusals demand equals room, and nobody is over a share.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

from redwingchute.core import requesting

# How many requests an account may be ahead of its share; requests are not
# divisible, and those of a small account come in twos and threes by chance.
_SLACK_REQUESTS = 3


@attrs.frozen
class Share:
    """How much of the room of a service an account has used.

    Attributes:
      used_units: The work that was admitted for it in the window.
      fair_units: Its fair share; infinite if its demand is met.
      use_ratio: Its use relative to its share and the allowance for chance.
    """

    used_units: int
    fair_units: float
    use_ratio: float

    @property
    def is_over(self) -> bool:
        """Whether the account has used more than its share."""
        return self.use_ratio > 1


@attrs.frozen
class Division:
    """How the room of a service is divided.

    Attributes:
      weights: The weight of each account.
      used_units: The admitted work of each account.
      level_units: The fair share of an account of weight 1; may be infinite.
      refused_ratio: The work that was refused relative to what was admitted.
    """

    weights: Mapping[str, float]
    used_units: Mapping[str, int]
    level_units: float
    refused_ratio: float

    def find_share(self, account: str, mean_units: float) -> Share:
        """Returns the share of an account.

        Args:
          account: The account.
          mean_units: The mean work of a request to the service.
        """
        used_units = self.used_units.get(account, 0)
        fair_units = self.level_units * self.weights.get(account, 1.0)
        allowed_units = fair_units + _SLACK_REQUESTS * mean_units
        return Share(used_units, fair_units, used_units / allowed_units)


def find_level(
    works: Sequence[requesting.AccountWork], weights: Mapping[str, float]
) -> float:
    """Returns the fair share of an account of weight 1; may be infinite.

    Args:
      works: The work of each account at one service.
      weights: The weight of each account; others have none and are ignored.
    """
    demands = sorted(
        (
            (work.admitted_units + work.refused_units) / weights[work.account],
            weights[work.account],
        )
        for work in works
        if work.account in weights
    )
    room = float(
        sum(work.admitted_units for work in works if work.account in weights)
    )
    weight = sum(weight for _, weight in demands)
    for demand, own_weight in demands:
        level = room / weight
        if demand > level:
            return level
        room -= demand * own_weight
        weight -= own_weight
    return math.inf


def divide(
    works: Sequence[requesting.AccountWork], weights: Mapping[str, float]
) -> Division:
    """Divides the room of a service.

    Args:
      works: The work of each account there.
      weights: The weight of each account; others are ignored.
    """
    admitted_units = sum(work.admitted_units for work in works)
    refused_units = sum(work.refused_units for work in works)
    return Division(
        weights,
        {work.account: work.admitted_units for work in works},
        find_level(works, weights),
        refused_units / max(1, admitted_units),
    )


def find_weights(prepaid_tokens: Mapping[str, int | None]) -> dict[str, float]:
    """Returns the weight of each account: what it has prepaid.

    If an account has no limit, all have the same weight.

    Args:
      prepaid_tokens: The prepaid tokens by account; None for no limit.
    """
    counts = [max(count or 0, 1) for count in prepaid_tokens.values()]
    if None in prepaid_tokens.values():
        return dict.fromkeys(prepaid_tokens, 1.0)
    mean = sum(counts) / max(1, len(counts))
    return {
        account: count / mean
        for account, count in zip(prepaid_tokens, counts, strict=True)
    }
