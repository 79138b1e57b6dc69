"""Owns what a process holds for its clients: their connections and requests.

The limits of a connection bound what one client can make the process hold; a
quota bounds all of them together. Bytes are reserved before they are read and
released when their request ends. When there is no room, a client whose request
has stopped arriving gives way to one that needs the room, and only if there is
none, the newcomer is refused. A part of the room is for small requests, which
nearly all are, so that they do not wait for large ones. A client account that
holds most of the room gives way to others.
"""

import collections
from collections.abc import Callable
import enum
import time
from types import TracebackType

import attrs

from redwingchute.connection import turn_queue

# A request of this size, its head included, counts as small.
SMALL_REQUEST_BYTES = 64 * 1024
# The share of the room for requests that only small ones may take.
_SMALL_SHARE = 0.25
# The share from which an account gives way to others.
_ACCOUNT_SHARE = 0.5
# A large request takes the room of one that made no progress for this long, a
# small one that of the request with the longest pause.
_STALLED_S = 0.25
# A response gives way to others if its client did not read for this long.
_UNREAD_S = 0.5
# A request makes progress with each such part of its body.
_PROGRESS_BYTES = 16 * 1024
# The time for which large requests hold their room, for Retry-After: the first
# estimate, its bounds, and the weight of each observation.
_FIRST_HOLD_S = 1.0
_MIN_RETRY_AFTER_MS = 200
_MAX_RETRY_AFTER_MS = 5_000
_HOLD_WEIGHT = 0.1
# A limit that is reached again within this time is not reported again.
_REPORT_PAUSE_S = 5.0


@attrs.frozen
class QuotaLimits:
    """What a process may hold for the clients of one address.

    Attributes:
      connections: The number of open connections.
      request_bytes: The heads and bodies of all requests that are received or
        run.
    """

    connections: int = 8_192
    request_bytes: int = 256 * 1024 * 1024

    @property
    def large_bytes(self) -> int:
        """The part of `request_bytes` that large requests may take."""
        return int(self.request_bytes * (1 - _SMALL_SHARE))


class Activity(enum.Enum):
    """What a connection does.

    Attributes:
      LINGERING: What the client still sends after a refusal is discarded.
      IDLE: No byte of a request has arrived.
      RECEIVING: A part of a request has arrived.
      UNREAD: The client does not read the response.
      RUNNING: A request was received and has no complete response.
    """

    LINGERING = "lingering"
    IDLE = "idle"
    RECEIVING = "receiving"
    UNREAD = "unread"
    RUNNING = "running"


# The order in which connections are closed for new ones, before those whose
# client does not read. A request that runs is not given up.
_CLOSED_FIRST = (Activity.LINGERING, Activity.IDLE, Activity.RECEIVING)


class ConnectionHold:
    """What is held for one connection; a context manager that releases it.

    Attributes:
      activity: What the connection does.
      account: The client account of the present request; empty if it is not
        known.
      reserved_bytes: The room that the present request has.
      is_evicted: Whether the connection must give way to another one.
      handle_eviction: Called when it must; ends what the connection waits for.
    """

    def __init__(self, quota: "ResourceQuota") -> None:
        """Creates the hold of an idle connection."""
        self._quota = quota
        self._unmarked_bytes = 0
        self.activity = Activity.IDLE
        self.account = ""
        self.reserved_bytes = 0
        self.reserved_s = 0.0
        self.progress_s = 0.0
        self.is_evicted = False
        self.handle_eviction: Callable[[], None] = lambda: None

    def __enter__(self) -> "ConnectionHold":
        """Returns the hold."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Releases all that is held for the connection."""
        self._quota.disconnect(self)

    def set_activity(self, activity: Activity) -> None:
        """Sets what the connection does, from now on."""
        if activity is not self.activity:
            self._quota.move(self, activity)

    def record_progress(self, size_bytes: int) -> None:
        """Records bytes of the present request that have arrived."""
        self._unmarked_bytes += size_bytes
        if self._unmarked_bytes >= _PROGRESS_BYTES:
            self._unmarked_bytes = 0
            self._quota.move(self, self.activity)

    def try_reserve(self, size_bytes: int) -> bool:
        """Reserves room for the present request; returns whether there is.

        Args:
          size_bytes: All that is to be held for it. Less than is reserved
            already changes nothing.
        """
        return self._quota.try_reserve(self, size_bytes)

    def release(self) -> None:
        """Releases the room of the present request."""
        self._unmarked_bytes = 0
        self._quota.release(self)
        self.account = ""


class ResourceQuota:
    """What is held for the clients of one address.

    Attributes:
      limits: The limits.
      counts: How often clients were refused or had to give way, by cause.
      turns: The queue for work that many small pieces of input cause.
      request_bytes: The room that requests have reserved.
    """

    def __init__(
        self,
        limits: QuotaLimits | None = None,
        report: Callable[[str, int], None] = lambda resource, limit: None,
        read_clock_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a quota of which nothing is used.

        Args:
          limits: The limits; large ones if None.
          report: Called with the name of a resource and its limit when the
            limit is reached.
          read_clock_s: Returns the time on a steady clock.
        """
        self.limits = limits or QuotaLimits()
        self.counts: collections.Counter[str] = collections.Counter()
        self.turns = turn_queue.TurnQueue()
        self.request_bytes = 0
        self._report = report
        self._read_clock_s = read_clock_s
        self._reported_s: dict[str, float] = {}
        # In the order in which they began or made progress.
        self._holds: dict[Activity, dict[ConnectionHold, None]] = {
            activity: {} for activity in Activity
        }
        self._account_bytes: collections.Counter[str] = collections.Counter()
        self._mean_hold_s = _FIRST_HOLD_S

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return sum(map(len, self._holds.values()))

    @property
    def retry_after_ms(self) -> int:
        """When there may be room again for a large request, in milliseconds."""
        return max(
            _MIN_RETRY_AFTER_MS,
            min(_MAX_RETRY_AFTER_MS, int(1000 * self._mean_hold_s)),
        )

    def connect(self) -> ConnectionHold | None:
        """Returns the hold of a new connection, or None if there is no room."""
        if self.connection_count >= self.limits.connections:
            self._record_limit("connections", self.limits.connections)
            victim = self._find_connection_to_close()
            if victim is None:
                self.counts["connection_refused"] += 1
                return None
            self._evict(victim, f"connection_{victim.activity.value}")
        hold = ConnectionHold(self)
        hold.progress_s = self._read_clock_s()
        self._holds[hold.activity][hold] = None
        return hold

    def disconnect(self, hold: ConnectionHold) -> None:
        """Releases what is held for a connection; once is enough."""
        self.release(hold)
        self._holds[hold.activity].pop(hold, None)

    def move(self, hold: ConnectionHold, activity: Activity) -> None:
        """Makes a connection the last one that began an activity."""
        if hold.is_evicted:
            return
        self._holds[hold.activity].pop(hold, None)
        hold.activity = activity
        hold.progress_s = self._read_clock_s()
        self._holds[activity][hold] = None

    def try_reserve(self, hold: ConnectionHold, size_bytes: int) -> bool:
        """Reserves room for a request; see `ConnectionHold.try_reserve`."""
        if hold.is_evicted:
            return False
        extra_bytes = size_bytes - hold.reserved_bytes
        if extra_bytes <= 0:
            return True
        is_small = size_bytes <= SMALL_REQUEST_BYTES
        limits = self.limits
        limit_bytes = limits.request_bytes if is_small else limits.large_bytes
        missing_bytes = self.request_bytes + extra_bytes - limit_bytes
        if missing_bytes > 0:
            self._record_limit("request_bytes", limits.request_bytes)
            if not self._make_room(hold, missing_bytes, is_small):
                self.counts["request_refused"] += 1
                return False
        if not hold.reserved_bytes:
            hold.reserved_s = self._read_clock_s()
        hold.reserved_bytes = size_bytes
        self.request_bytes += extra_bytes
        self._add_to_account(hold.account, extra_bytes)
        return True

    def release(self, hold: ConnectionHold) -> None:
        """Releases the room of a request."""
        if not hold.reserved_bytes:
            return
        if hold.reserved_bytes > SMALL_REQUEST_BYTES:
            held_s = self._read_clock_s() - hold.reserved_s
            self._mean_hold_s += _HOLD_WEIGHT * (held_s - self._mean_hold_s)
        self.request_bytes -= hold.reserved_bytes
        self._add_to_account(hold.account, -hold.reserved_bytes)
        hold.reserved_bytes = 0

    def set_account(self, hold: ConnectionHold, account: str) -> None:
        """Sets the client account of a connection's present request."""
        self._add_to_account(hold.account, -hold.reserved_bytes)
        hold.account = account
        self._add_to_account(account, hold.reserved_bytes)

    def _add_to_account(self, account: str, size_bytes: int) -> None:
        """Changes what an account holds; forgets one that holds nothing."""
        self._account_bytes[account] += size_bytes
        if not self._account_bytes[account]:
            del self._account_bytes[account]

    def evict_unread(self) -> bool:
        """Closes the connection whose client does not read for longest.

        Returns:
          Whether there is one.
        """
        victim = self._find_unread()
        if victim is None:
            return False
        self._evict(victim, "response_unread")
        return True

    def _find_connection_to_close(self) -> ConnectionHold | None:
        """Returns the connection that gives way to a new one, or None."""
        for activity in _CLOSED_FIRST:
            for hold in self._holds[activity]:
                return hold
        return self._find_unread()

    def _find_unread(self) -> ConnectionHold | None:
        """Returns the connection whose client does not read for longest."""
        latest_s = self._read_clock_s() - _UNREAD_S
        for hold in self._holds[Activity.UNREAD]:
            return hold if hold.progress_s <= latest_s else None
        return None

    def _make_room(
        self, newcomer: ConnectionHold, missing_bytes: int, is_small: bool
    ) -> bool:
        """Has requests that are being received give way.

        Returns:
          Whether that makes enough room; otherwise none gives way.
        """
        now_s = self._read_clock_s()
        max_account_bytes = _ACCOUNT_SHARE * self.limits.large_bytes
        is_modest = self._account_bytes[newcomer.account] <= max_account_bytes
        victims = []
        for hold in self._holds[Activity.RECEIVING]:
            if missing_bytes <= 0:
                break
            if hold is newcomer or not hold.reserved_bytes:
                continue
            is_stalled = is_small or now_s - hold.progress_s >= _STALLED_S
            is_greedy = (
                is_modest
                and hold.account != newcomer.account
                and self._account_bytes[hold.account] > max_account_bytes
            )
            if is_stalled or is_greedy:
                victims.append(hold)
                missing_bytes -= hold.reserved_bytes
        if missing_bytes > 0:
            return False
        for hold in victims:
            self._evict(hold, "request_receiving")
        return True

    def _evict(self, hold: ConnectionHold, cause: str) -> None:
        """Has a connection give way, and counts its room as free."""
        self.counts[f"{cause}_evicted"] += 1
        self.disconnect(hold)
        hold.is_evicted = True
        hold.handle_eviction()

    def _record_limit(self, resource: str, limit: int) -> None:
        """Reports that a limit is reached, unless it was just reported."""
        now_s = self._read_clock_s()
        last_s = self._reported_s.get(resource)
        self._reported_s[resource] = now_s
        if last_s is None or now_s - last_s >= _REPORT_PAUSE_S:
            self._report(resource, limit)
