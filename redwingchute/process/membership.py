"""Determines which routers are reachable, at constant cost per router.

Every router exchanges heartbeats with a few neighbours only: its successors
and predecessors on several hash rings, one of them within its availability
zone. Each router publishes the neighbours that it cannot reach, and gossip
distributes these states. A router's view is the connected component that
contains itself in the graph of unbroken links. A dead router has no unbroken
link left. A network partition breaks every link across it at both ends, so
each side sees exactly the component that it can reach; no consensus is needed.

The view only serves liveness: which routers to query, which router should own
a shard, and which leases to retire. No safety property depends on it.
"""

import collections
import random

import attrs
import xxhash

from redwingchute.core import data
from redwingchute.core import fleet

# Rings over all routers. One further ring covers each availability zone.
GLOBAL_RING_COUNT = 2
# The maximum numbers of routers' states in one message.
_MAX_HEARTBEAT_STATES = 8
_MAX_LIST_STATES = 32


@attrs.frozen
class MembershipTiming:
    """Intervals and timeouts of failure detection.

    Attributes:
      heartbeat_interval_ms: The interval between heartbeats to the same
        neighbour.
      broken_after_ms: The time without a heartbeat after which a link is
        broken.
      dead_after_ms: The unreachable time after which a router is declared dead.
      evict_after_ms: The unreachable time after which a router is removed.
      mismatch_heartbeats: The number of consecutive heartbeats of a router
        whose digest differs from this router's, after which full member lists
        are exchanged.
    """

    heartbeat_interval_ms: int = 1_000
    broken_after_ms: int = 3_500
    dead_after_ms: int = 8_000
    evict_after_ms: int = 600_000
    mismatch_heartbeats: int = 3


@attrs.frozen
class Outgoing:
    """A message for one host.

    It is unrelated to `distribution.Outgoing`, whose records are of other
    types.

    Attributes:
      host_name: The host that receives the message.
      record: The message.
    """

    host_name: str
    record: fleet.Heartbeat | fleet.MemberList


@attrs.define
class _Member:
    """A known router.

    Attributes:
      state: The newest state that it published.
      unreachable_since_ms: When it left the view; None while it is in view.
      remaining_sends: How many more heartbeats will carry its state.
    """

    state: fleet.MemberState
    unreachable_since_ms: int | None = None
    remaining_sends: int = 0


class Membership:
    """The membership view of one router."""

    def __init__(
        self,
        own_host: data.Host,
        timing: MembershipTiming,
        random_source: random.Random,
        now_ms: int,
    ) -> None:
        """Starts with this router as the only member.

        Args:
          own_host: This router.
          timing: Intervals and timeouts of failure detection.
          random_source: Adds jitter to the heartbeats.
          now_ms: The current time.
        """
        self._own_name = own_host.name
        self._started_ms = now_ms
        self._zone = own_host.zone
        self._timing = timing
        self._random = random_source
        self._members: dict[str, _Member] = {}
        # Members whose state is still to be gossiped, and members out of the
        # view. These sets avoid a scan of all members at each heartbeat.
        self._gossip_pending: set[str] = set()
        self._out_of_view: set[str] = set()
        self._neighbours: tuple[str, ...] = ()
        self._last_received_ms: dict[str, int] = {}
        self._next_heartbeat_ms: dict[str, int] = {}
        self._mismatches: collections.Counter[str] = collections.Counter()
        self._reachable: frozenset[str] = frozenset({own_host.name})
        self._superseded: set[data.Incarnation] = set()
        # The digest of all states, and whether the view has to be recomputed.
        self._digest = 0
        self._is_view_outdated = False
        self._set_state(fleet.MemberState(own_host, now_ms), now_ms)
        self._refresh(now_ms)

    @property
    def neighbours(self) -> tuple[str, ...]:
        """The names of the routers that this one sends heartbeats to."""
        return self._neighbours

    def add_seed_host(self, host: data.Host, now_ms: int) -> None:
        """Adds a host from the settings, to send the first heartbeats to.

        The entry has version 0: any state that the host publishes replaces it.
        """
        if host.name not in self._members:
            self._merge(fleet.MemberState(host, 0), now_ms)
            self._refresh(now_ms)

    def is_settled(self, now_ms: int) -> bool:
        """Returns whether the view is complete enough to act on.

        A process that has just started reaches only itself. It must not take
        over the work of routers that had no time yet to send a heartbeat.
        """
        if now_ms - self._started_ms >= self._timing.broken_after_ms:
            return True
        # A host from the settings has incarnation 0 until its state arrives.
        return all(
            member.state.host.incarnation for member in self._members.values()
        )

    def begin_leaving(self, now_ms: int) -> None:
        """Publishes that this router is about to stop."""
        own = self._members[self._own_name].state
        self._publish(attrs.evolve(own.host, is_leaving=True), None, now_ms)
        self._refresh(now_ms)

    def list_reachable(self) -> tuple[data.Host, ...]:
        """Returns the hosts in view, including leaving ones, sorted by name.

        Hosts from the settings are excluded until their own state arrives.
        """
        hosts = (self._members[n].state.host for n in sorted(self._reachable))
        return tuple(host for host in hosts if host.incarnation)

    def list_live(self) -> tuple[data.Host, ...]:
        """Returns the reachable hosts that are not leaving."""
        return tuple(h for h in self.list_reachable() if not h.is_leaving)

    def list_unreachable(self) -> tuple[tuple[data.Host, int], ...]:
        """Returns the unreachable hosts and since when, in milliseconds."""
        return tuple(
            (member.state.host, member.unreachable_since_ms)
            for _, member in sorted(self._members.items())
            if member.unreachable_since_ms is not None
        )

    def list_dead(self, now_ms: int) -> tuple[data.Incarnation, ...]:
        """Returns the incarnations that may be retired.

        They are those replaced on their host and those unreachable for
        `dead_after_ms`. Either may still run, so retiring one must be safe.
        """
        dead = set(self._superseded)
        for name in self._out_of_view:
            member = self._members[name]
            since_ms = member.unreachable_since_ms
            if since_ms is None or not member.state.host.incarnation:
                continue
            if now_ms - since_ms >= self._timing.dead_after_ms:
                dead.add(member.state.host.incarnation)
        return tuple(sorted(dead))

    def tick(self, now_ms: int) -> list[Outgoing]:
        """Returns the heartbeats that are due."""
        self._publish_broken_links(now_ms)
        self._remove_expired_members(now_ms)
        outgoing = []
        for name in self._neighbours:
            if now_ms >= self._next_heartbeat_ms.get(name, 0):
                jitter_ms = self._random.randrange(
                    self._timing.heartbeat_interval_ms // 8 + 1
                )
                self._next_heartbeat_ms[name] = (
                    now_ms + self._timing.heartbeat_interval_ms - jitter_ms
                )
                outgoing.append(Outgoing(name, self._make_heartbeat(False)))
        return outgoing

    def receive_heartbeat(
        self, heartbeat: fleet.Heartbeat, now_ms: int
    ) -> list[Outgoing]:
        """Handles a heartbeat and returns the replies to it."""
        sender_name = heartbeat.sender.host.name
        if sender_name == self._own_name:
            return []
        self._last_received_ms[sender_name] = now_ms
        self._merge(heartbeat.sender, now_ms)
        for update in heartbeat.updates:
            self._merge(update, now_ms)
        self._refresh(now_ms)
        outgoing = []
        if not heartbeat.is_reply:
            outgoing.append(Outgoing(sender_name, self._make_heartbeat(True)))
        if heartbeat.digest == self._digest:
            self._mismatches.pop(sender_name, None)
        else:
            outgoing += self._count_mismatch(sender_name)
        return outgoing

    def receive_list(
        self, sender_name: str, members: fleet.MemberList, now_ms: int
    ) -> list[Outgoing]:
        """Handles a list of states; replies with this router's if requested."""
        for state in members.members:
            self._merge(state, now_ms)
        self._refresh(now_ms)
        if members.wants_reply:
            return self._make_lists(sender_name, wants_reply=False)
        return []

    def _count_mismatch(self, sender_name: str) -> list[Outgoing]:
        """Counts a digest mismatch; returns all states after too many."""
        self._mismatches[sender_name] += 1
        if self._mismatches[sender_name] < self._timing.mismatch_heartbeats:
            return []
        del self._mismatches[sender_name]
        return self._make_lists(sender_name, wants_reply=True)

    def _make_lists(self, host_name: str, wants_reply: bool) -> list[Outgoing]:
        """Returns all known states in messages of bounded size."""
        states = [member.state for member in self._members.values()]
        chunks = [
            tuple(states[start : start + _MAX_LIST_STATES])
            for start in range(0, len(states), _MAX_LIST_STATES)
        ]
        return [
            Outgoing(
                host_name,
                fleet.MemberList(chunk, wants_reply and chunk is chunks[-1]),
            )
            for chunk in chunks
        ]

    def _make_heartbeat(self, is_reply: bool) -> fleet.Heartbeat:
        """Returns a heartbeat that carries the states to be gossiped."""
        due = sorted(
            (self._members[name] for name in self._gossip_pending),
            key=lambda member: -member.remaining_sends,
        )[:_MAX_HEARTBEAT_STATES]
        for member in due:
            member.remaining_sends -= 1
            if member.remaining_sends == 0:
                self._gossip_pending.discard(member.state.host.name)
        return fleet.Heartbeat(
            self._members[self._own_name].state,
            is_reply,
            self._digest,
            tuple(member.state for member in due),
        )

    def _merge(self, state: fleet.MemberState, now_ms: int) -> None:
        """Applies a state if it is newer than the known one."""
        name = state.host.name
        if name == self._own_name:
            self._override_former_state(state, now_ms)
            return
        known = self._members.get(name)
        if known is not None and not self._is_newer(state, known.state):
            return
        if known is not None:
            self._record_superseded(known.state.host, state.host)
        self._set_state(state, now_ms)

    def _record_superseded(self, known: data.Host, new: data.Host) -> None:
        """Records an incarnation that was replaced on its host."""
        if known.incarnation not in (0, new.incarnation):
            self._superseded.add(known.incarnation)

    def _set_state(self, state: fleet.MemberState, now_ms: int) -> None:
        """Replaces a state and schedules it for gossip."""
        name = state.host.name
        member = self._members.get(name)
        if member is None:
            member = _Member(state, now_ms)
            self._members[name] = member
        else:
            self._digest ^= _digest_state(member.state)
            member.state = state
        self._digest ^= _digest_state(state)
        if name != self._own_name:
            member.remaining_sends = self._count_gossip_sends()
            self._gossip_pending.add(name)
        self._is_view_outdated = True

    def _is_newer(
        self, state: fleet.MemberState, known: fleet.MemberState
    ) -> bool:
        """Returns whether a state of a host is newer than the known one.

        A superseded incarnation never returns. Versions start from the
        process's start time, so a replacement on the same host is newer.
        """
        if state.host.incarnation in self._superseded:
            return False
        return state.version > known.version

    def _override_former_state(
        self, state: fleet.MemberState, now_ms: int
    ) -> None:
        """Publishes a version above that of a former process on this host.

        Otherwise other routers would keep the former process's state.
        """
        own = self._members[self._own_name].state
        if state.host.incarnation == own.host.incarnation:
            return
        if state.version >= own.version:
            newer = attrs.evolve(own, version=state.version + 1)
            self._set_state(newer, now_ms)

    def _publish(
        self,
        host: data.Host,
        broken_links: tuple[str, ...] | None,
        now_ms: int,
    ) -> None:
        """Publishes a new state of this router; None keeps its broken links."""
        own = self._members[self._own_name].state
        if broken_links is None:
            broken_links = own.broken_links
        newer = fleet.MemberState(host, own.version + 1, broken_links)
        self._set_state(newer, now_ms)

    def _publish_broken_links(self, now_ms: int) -> None:
        """Publishes the neighbours whose heartbeats have timed out."""
        broken = tuple(
            name
            for name in self._neighbours
            if now_ms - self._last_received_ms.setdefault(name, now_ms)
            > self._timing.broken_after_ms
        )
        own = self._members[self._own_name].state
        if broken != own.broken_links:
            self._publish(own.host, broken, now_ms)
            self._refresh(now_ms)

    def _remove_expired_members(self, now_ms: int) -> None:
        """Removes hosts that have been unreachable for `evict_after_ms`."""
        oldest_ms = now_ms - self._timing.evict_after_ms
        expired = [
            name
            for name in self._out_of_view
            if (self._members[name].unreachable_since_ms or now_ms) < oldest_ms
        ]
        for name in expired:
            self._gossip_pending.discard(name)
            self._out_of_view.discard(name)
            self._digest ^= _digest_state(self._members.pop(name).state)
            self._is_view_outdated = True
        self._refresh(now_ms)

    def _count_gossip_sends(self) -> int:
        """Returns how many heartbeats carry a changed state.

        Gossip reaches all routers in a number of rounds that is logarithmic in
        the fleet size.
        """
        return 2 + len(self._members).bit_length()

    def _refresh(self, now_ms: int) -> None:
        """Recomputes the neighbours and the view if a state has changed."""
        if not self._is_view_outdated:
            return
        self._is_view_outdated = False
        zones = {n: m.state.host.zone for n, m in self._members.items()}
        self._neighbours = list_neighbours(self._own_name, zones)
        self._last_received_ms = {
            name: received_ms
            for name, received_ms in self._last_received_ms.items()
            if name in self._neighbours
        }
        broken = {
            name: set(member.state.broken_links)
            for name, member in self._members.items()
        }
        self._reachable = find_component(self._own_name, zones, broken)
        for name, member in self._members.items():
            if name in self._reachable:
                member.unreachable_since_ms = None
                self._out_of_view.discard(name)
                continue
            self._out_of_view.add(name)
            if member.unreachable_since_ms is None:
                member.unreachable_since_ms = now_ms


def list_neighbours(name: str, zones: dict[str, str]) -> tuple[str, ...]:
    """Returns the overlay neighbours of one host.

    Args:
      name: The host.
      zones: The availability zone of each known host, by name.

    Returns:
      The sorted names of the hosts before and after it on each ring.
    """
    neighbours: set[str] = set()
    for ring in _make_rings(name, zones):
        position = ring.index(name)
        neighbours.add(ring[position - 1])
        neighbours.add(ring[(position + 1) % len(ring)])
    neighbours.discard(name)
    return tuple(sorted(neighbours))


def find_component(
    start: str, zones: dict[str, str], broken: dict[str, set[str]]
) -> frozenset[str]:
    """Returns the connected component of a host over unbroken overlay links.

    Args:
      start: The host.
      zones: The availability zone of each known host, by name.
      broken: The neighbours that each host cannot reach, by name.
    """
    edges: dict[str, set[str]] = {name: set() for name in zones}
    for ring in _make_all_rings(zones):
        for position, name in enumerate(ring):
            successor = ring[(position + 1) % len(ring)]
            if successor in broken[name] or name in broken[successor]:
                continue
            edges[name].add(successor)
            edges[successor].add(name)
    reached = {start}
    pending = [start]
    while pending:
        for neighbour in edges[pending.pop()] - reached:
            reached.add(neighbour)
            pending.append(neighbour)
    return frozenset(reached)


def _make_all_rings(zones: dict[str, str]) -> list[list[str]]:
    """Returns the global rings and one ring for each availability zone."""
    rings = [
        sorted(zones, key=lambda n: xxhash.xxh64_intdigest(n.encode(), seed))
        for seed in range(GLOBAL_RING_COUNT)
    ]
    by_zone: dict[str, list[str]] = collections.defaultdict(list)
    for name in rings[0]:
        by_zone[zones[name]].append(name)
    return rings + list(by_zone.values())


def _make_rings(name: str, zones: dict[str, str]) -> list[list[str]]:
    """Returns the rings that one host is on."""
    return [ring for ring in _make_all_rings(zones) if name in ring]


def _digest_state(state: fleet.MemberState) -> int:
    """Returns the digest of a state; digests are combined by exclusive or."""
    text = f"{state.host.name}|{state.host.incarnation}|{state.version}"
    return xxhash.xxh64_intdigest(text.encode())
