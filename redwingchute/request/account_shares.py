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

# By how much the demand of an account must exceed its share, and what accounts
# of its weight ask for on average, before that counts: by this factor and
# number of requests, since demand varies by chance, and requests of a small
# account come in twos and threes.
_DEMAND_FACTOR = 1.2
_DEMAND_REQUESTS = 3


@attrs.frozen
class Share:
    """How much of the room of a service an account has used.

    Attributes:
      use_ratio: The work that was admitted for it relative to its fair share.
      is_exceeded: Whether its demand is clearly more than its fair share, and
        more than that of others.
    """

    use_ratio: float = 0.0
    is_exceeded: bool = False


@attrs.frozen
class Division:
    """How the room of a service is divided.

    Attributes:
      shares: The share of each account with work.
      refused_ratio: The work that was refused relative to what was admitted.
      pressed_ratio: The same for the work of accounts within their share.
    """

    shares: Mapping[str, Share]
    refused_ratio: float
    pressed_ratio: float

    def find_share(self, account: str) -> Share:
        """Returns the share of an account."""
        return self.shares.get(account, Share())


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
    works: Sequence[requesting.AccountWork],
    weights: Mapping[str, float],
    mean_units: float,
) -> Division:
    """Divides the room of a service.

    Args:
      works: The work of each account there.
      weights: The weight of each account; others are ignored.
      mean_units: The mean work of a request there.
    """
    works = [work for work in works if work.account in weights]
    admitted_units = sum(work.admitted_units for work in works)
    refused_units = sum(work.refused_units for work in works)
    weight = sum(weights[work.account] for work in works)
    level = find_level(works, weights)
    mean_demand = (admitted_units + refused_units) / weight if works else 0.0
    shares = {}
    pressed_units = 0
    for work in works:
        own_weight = weights[work.account]
        fair_units = own_weight * level
        usual_units = own_weight * max(level, mean_demand)
        demand_units = work.admitted_units + work.refused_units
        is_exceeded = (
            demand_units
            > _DEMAND_FACTOR * usual_units + _DEMAND_REQUESTS * mean_units
        )
        shares[work.account] = Share(
            work.admitted_units / max(fair_units, mean_units), is_exceeded
        )
        if not is_exceeded:
            pressed_units += work.refused_units
    return Division(
        shares,
        refused_units / max(1, admitted_units),
        pressed_units / max(1, admitted_units),
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
