"""Sheds load: refuses requests that would wait too long for an upstream.

Once upstreams receive more than they can process, each admitted request delays
all later ones. Requests of lower priority are refused first, and those of
client accounts that have used more than their share before all others. The size
of a request is ignored, so that large ones are not refused more often.
"""

import attrs

from redwingchute.core import outcomes
from redwingchute.core import spread
from redwingchute.request import account_shares
from redwingchute.request import account_work
from redwingchute.request import service_pressure

# The longest wait as a multiple of the target latency, by priority. It exceeds
# 1 because a response that is somewhat late still has value.
_MAX_WAIT_FACTORS = (2.0, 1.6)
_DEFAULT_MAX_WAIT_FACTOR = 1.2
# The same under lasting pressure. The queue is then always as long as a limit,
# so that a limit above the target would make all responses late; the rest of
# the target is for the prefill itself.
_PRESSED_WAIT_FACTORS = (0.8, 0.6)
_DEFAULT_PRESSED_WAIT_FACTOR = 0.4
# From this ratio of refused to admitted work on pressure counts as lasting;
# below, limits are in between.
_LASTING_REFUSED_RATIO = 0.1
# The same for accounts that want more than their share, once they have used it:
# below those of all others. With less use it is higher, but not above these.
_OVER_WAIT_FACTORS = (0.3, 0.25)
_DEFAULT_OVER_WAIT_FACTOR = 0.2
# Below this wait upstreams might idle between two load notices, so that nobody
# is refused for having used more than a share.
_MIN_OVER_WAIT_FACTOR = 0.15
# How much longer a caller that has come back may wait than a new one, so that
# it goes first. It stays below the next priority's limit.
_RETURN_FACTOR = 1.1
# The share of the requests that a plain upstream bears up to which requests are
# sent, by priority. The rest is for more urgent ones.
_MAX_TAKEN_SHARES = (0.85, 0.75)
_DEFAULT_MAX_TAKEN_SHARE = 0.65
# These shares are raised by up to this part, by request. Otherwise all hosts
# would refuse at one moment, by figures of the same age, until the queues that
# they saw are empty.
_TAKEN_SPREAD = 0.3
# Accounts that have used their share get this part of an upstream's queue.
_OVER_QUEUE_SHARE = 0.75
# How their limits depend on use relative to the share: twice as much use, a
# quarter of the limit.
_USE_EXPONENT = 2
_MIN_USE_RATIO = 0.1
_MIN_RETRY_AFTER_MS = 300
# Callers come back by retry-after only within this share of their time left.
_RETURN_TIME_SHARE = 1 / 3
# The part of that time that a refusal may spend on its way to the caller.
_RETURN_MARGIN_MS = 50
# Times are dealt out by priority to this many groups.
_RETURN_GROUPS = 3
_SPREAD_STEPS = 1_000
_MIN_RETURN_SPAN_MS = 100


@attrs.frozen
class Caller:
    """What a decision needs of a request.

    Attributes:
      request_id: Spreads the times at which callers come back.
      priority: Its priority; lower numbers go first.
      target_latency_ms: The target time to its first event or response; 0 if
        its route has none, then it is never refused.
      binding_target_ms: The least target latency of its service at its priority
        or a more urgent one: waiting work must not make those late.
      patience_ms: The time that its caller has left.
      is_return: Whether it was refused before and waited since.
    """

    request_id: str
    priority: int
    target_latency_ms: int
    binding_target_ms: int
    patience_ms: int
    is_return: bool = False


def refuse_if_late(
    delay_ms: float, target_latency_ms: int, priority: int
) -> outcomes.NotRun | None:
    """Returns the refusal of a request that would wait too long, or None.

    Args:
      delay_ms: The estimated time until its upstream begins its prefill.
      target_latency_ms: The target time to its first event; 0 if its route
        has none, then it is never refused.
      priority: Its priority; lower numbers go first.
    """
    limit_ms = target_latency_ms * _find_max_wait_factor(priority)
    if not target_latency_ms or delay_ms <= limit_ms:
        return None
    # By then the wait has shrunk to half the limit, unless more work arrives.
    retry_after_ms = max(_MIN_RETRY_AFTER_MS, int(delay_ms - limit_ms / 2))
    return _make_refusal(retry_after_ms)


def refuse_for_room(
    pressure: service_pressure.ServicePressure,
    caller: Caller,
    division: account_shares.Division,
    share: account_shares.Share | None,
    work_age_ms: int | None,
) -> outcomes.NotRun | None:
    """Returns the refusal of a request for which there is no room, or None.

    Args:
      pressure: The room of its service.
      caller: The request.
      division: How the room is divided.
      share: What its account has used of the room; None if it is not known.
      work_age_ms: The age of the counts that `share` follows from.
    """
    if not caller.target_latency_ms:
        return None
    # Old counts say nothing of the pressure either.
    pressed_ratio = division.pressed_ratio if share is not None else 0.0
    limit_ms = _find_max_wait_ms(caller, share, pressed_ratio)
    if pressure.delay_ms <= limit_ms and (
        pressure.taken_share < _find_max_taken_share(pressure, caller, share)
    ):
        return None
    # By then the wait has shrunk to half the limit, unless more work arrives,
    # and the work admitted for an account to its share.
    wait_ms = max(
        pressure.delay_ms - limit_ms / 2,
        _find_excess_ms(share),
    )
    if pressure.taken_share:
        wait_ms = max(wait_ms, pressure.delay_ms / 2)
    return _make_refusal(
        deal_return_ms(
            wait_ms, division.refused_ratio * account_work.WINDOW_MS, caller
        ),
        (
            ("delay_ms", int(pressure.delay_ms)),
            ("taken_share", round(pressure.taken_share, 2)),
            ("load_age_ms", pressure.age_ms),
            ("share_age_ms", work_age_ms),
            ("use_ratio", round(share.use_ratio, 2) if share else None),
            ("is_return", caller.is_return),
        ),
    )


def deal_return_ms(wait_ms: float, span_ms: float, caller: Caller) -> int:
    """Returns after how long a refused caller should come back.

    Refused callers come back spread over the time in which the work that was
    refused can be done, the most urgent first. The time is within the one that
    a caller obeys; if there is no room that early, it is the true one.

    Args:
      wait_ms: The time until there is room.
      span_ms: The time in which the work that was refused can be done.
      caller: The request.
    """
    earliest_ms = max(_MIN_RETRY_AFTER_MS, int(wait_ms))
    latest_ms = int(caller.patience_ms * _RETURN_TIME_SHARE) - _RETURN_MARGIN_MS
    if earliest_ms >= latest_ms:
        return earliest_ms
    span_ms = min(max(span_ms, _MIN_RETURN_SPAN_MS), latest_ms - earliest_ms)
    group = min(max(caller.priority, 0), _RETURN_GROUPS - 1)
    group_ms = max(1, int(span_ms / _RETURN_GROUPS))
    offset_ms = spread.find_offset_ms(group_ms, caller.request_id)
    return earliest_ms + group * group_ms + offset_ms


def find_min_limit_ms(target_latency_ms: int) -> float:
    """Returns the delay up to which nobody is refused, whoever sends it."""
    return target_latency_ms * _MIN_OVER_WAIT_FACTOR


def _find_excess_ms(share: account_shares.Share | None) -> float:
    """Returns the time until the work of an account is within its share."""
    if share is None or not share.is_exceeded or share.use_ratio <= 1:
        return 0.0
    return account_work.WINDOW_MS * (1 - 1 / share.use_ratio)


def _find_max_wait_ms(
    caller: Caller, share: account_shares.Share | None, pressed_ratio: float
) -> float:
    """Returns the longest wait of a request.

    Args:
      caller: The request.
      share: What its account has used of the room; None if it is not known.
      pressed_ratio: The work of accounts within their share that the fleet
        refused lately relative to what it admitted.
    """
    factor = _pick(
        _PRESSED_WAIT_FACTORS, _DEFAULT_PRESSED_WAIT_FACTOR, caller.priority
    )
    is_over = share is not None and share.is_exceeded
    if share is not None and is_over:
        over_factor = _pick(
            _OVER_WAIT_FACTORS, _DEFAULT_OVER_WAIT_FACTOR, caller.priority
        )
        factor = min(factor, over_factor * _scale_by_use(share))
        factor = max(factor, _MIN_OVER_WAIT_FACTOR)
    limit_ms = factor * caller.binding_target_ms
    if not is_over:
        brief_limit_ms = caller.target_latency_ms * _find_max_wait_factor(
            caller.priority
        )
        lasting_share = min(1.0, pressed_ratio / _LASTING_REFUSED_RATIO)
        limit_ms += (1 - lasting_share) * (brief_limit_ms - limit_ms)
    return limit_ms * (_RETURN_FACTOR if caller.is_return else 1.0)


def _scale_by_use(share: account_shares.Share) -> float:
    """Returns the factor of the limits of an account that wants more.

    It falls steeply with use, so that the account settles at its share however
    much it asks for.
    """
    return 1 / max(share.use_ratio, _MIN_USE_RATIO) ** _USE_EXPONENT


def _find_max_taken_share(
    pressure: service_pressure.ServicePressure,
    caller: Caller,
    share: account_shares.Share | None,
) -> float:
    """Returns up to which share of what an upstream bears requests are sent."""
    limit = _pick(_MAX_TAKEN_SHARES, _DEFAULT_MAX_TAKEN_SHARE, caller.priority)
    if caller.is_return:
        limit = _MAX_TAKEN_SHARES[0]
    if share is not None and share.is_exceeded:
        queue_share = min(1.0, _OVER_QUEUE_SHARE * _scale_by_use(share))
        limit = pressure.idle_share + queue_share * (
            limit - pressure.idle_share
        )
    steps = spread.find_offset_ms(_SPREAD_STEPS, caller.request_id)
    return limit * (1 + _TAKEN_SPREAD * steps / _SPREAD_STEPS)


def _find_max_wait_factor(priority: int) -> float:
    """Returns the longest wait in multiples of the target latency."""
    return _pick(_MAX_WAIT_FACTORS, _DEFAULT_MAX_WAIT_FACTOR, priority)


def _pick(values: tuple[float, ...], default: float, priority: int) -> float:
    """Returns the value of a priority."""
    return values[priority] if 0 <= priority < len(values) else default


def _make_refusal(
    retry_after_ms: int, context: outcomes.Context = ()
) -> outcomes.NotRun:
    """Returns the refusal of a request."""
    return outcomes.NotRun(
        503,
        "upstreams_busy",
        "The upstreams cannot begin the request in time.",
        retry_after_ms,
        context,
    )
