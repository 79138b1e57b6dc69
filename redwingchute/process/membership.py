"""Decides which routers are reachable, at constant cost per router.

Every router exchanges heartbeats with a few neighbours only: its successors
and predecessors on several hash rings, one of them within its availability
zone. Each publishes the neighbours that it can't reach, and gossip carries
these states. A router's view is the connected component that holds itself in
the graph of unbroken links. A dead router is left with no link at all, and a
network partition breaks every link across it at both ends, so both sides see
the component that they can reach, without any agreement.

The view serves liveness only: whom to ask, who should own a shard, whose
lease to retire. Nothing that must hold depends on it.
"""

import collections
import random

import attrs
import xxhash

from redwingchute.core import data
from redwingchute.core import fleet

# Rings over all routers; one more ring covers the availability zone.
GLOBAL_RINGS = 2
_MAX_UPDATES = 8
_MAX_LIST_MEMBERS = 32


@attrs.frozen
class MembershipTiming:
    """How fast changes are noticed.

    Attributes:
      heartbeat_ms: Between heartbeats to the same neighbour.
      broken_ms: Silence after which a link counts as broken.
      dead_ms: How long a router must be unreachable to be declared dead.
      forget_ms: How long an unreachable router stays listed.
      mismatch_heartbeats: Different digests in a row before lists are sent.
    """

    heartbeat_ms: int = 1_000
    broken_ms: int = 3_500
    dead_ms: int = 8_000
    forget_ms: int = 600_000
    mismatch_heartbeats: int = 3


@attrs.frozen
class Outgoing:
    """A message for one host."""

    host_name: str
    record: fleet.Heartbeat | fleet.MemberList


@attrs.define
class _Member:
    """What is known of one router.

    Attributes:
      state: Its newest published state.
      unreachable_since_ms: When it left the view, or None while in it.
      remaining_sends: How often its state is still passed on.
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
          timing: How fast changes are noticed.
          random_source: Spreads heartbeats over time.
          now_ms: The time.
        """
        self._own_name = own_host.name
        self._started_ms = now_ms
        self._zone = own_host.zone
        self._timing = timing
        self._random = random_source
        self._members: dict[str, _Member] = {}
        # Names of members whose state is still passed on, and of those out of
        # the view, so that a heartbeat does not look at every member.
        self._passing_on: set[str] = set()
        self._out_of_view: set[str] = set()
        self._neighbours: tuple[str, ...] = ()
        self._heard_ms: dict[str, int] = {}
        self._next_heartbeat_ms: dict[str, int] = {}
        self._mismatches: collections.Counter[str] = collections.Counter()
        self._reachable: frozenset[str] = frozenset({own_host.name})
        self._superseded: set[data.Incarnation] = set()
        # The states' digest, and whether the view lags behind the states.
        self._digest = 0
        self._is_stale = False
        self._set_state(fleet.MemberState(own_host, now_ms), now_ms)
        self._refresh(now_ms)

    @property
    def neighbours(self) -> tuple[str, ...]:
        """The names of the routers that heartbeats go to."""
        return self._neighbours

    def introduce(self, host: data.Host, now_ms: int) -> None:
        """Adds a host that the settings or the host list name.

        An introduced host is a hint: anything it publishes itself replaces it.
        """
        if host.name not in self._members:
            self._merge(fleet.MemberState(host, 0), now_ms)
            self._refresh(now_ms)

    def is_settled(self, now_ms: int) -> bool:
        """Tells whether the view is worth acting on.

        A process that has just started reaches only itself. It must not take
        the work of routers that it has not had the time to hear from.
        """
        if now_ms - self._started_ms >= self._timing.broken_ms:
            return True
        return all(
            member.state.host.incarnation for member in self._members.values()
        )

    def begin_leaving(self, now_ms: int) -> None:
        """Publishes that this router is about to stop."""
        own = self._members[self._own_name].state
        self._publish(attrs.evolve(own.host, is_leaving=True), None, now_ms)
        self._refresh(now_ms)

    def list_reachable(self) -> tuple[data.Host, ...]:
        """Returns the hosts in the view, leaving ones included, by name."""
        hosts = (self._members[n].state.host for n in sorted(self._reachable))
        return tuple(host for host in hosts if host.incarnation)

    def list_live(self) -> tuple[data.Host, ...]:
        """Returns the reachable hosts that are not leaving."""
        return tuple(h for h in self.list_reachable() if not h.is_leaving)

    def list_unreachable(self) -> tuple[tuple[data.Host, int], ...]:
        """Returns known hosts out of the view, and since when in ms."""
        return tuple(
            (member.state.host, member.unreachable_since_ms)
            for _, member in sorted(self._members.items())
            if member.unreachable_since_ms is not None
        )

    def list_dead(self, now_ms: int) -> tuple[data.Incarnation, ...]:
        """Returns incarnations that may be retired.

        They are those replaced on their host and those unreachable for
        `dead_ms`. Either may still run: retiring must be harmless then.
        """
        dead = set(self._superseded)
        for name in self._out_of_view:
            member = self._members[name]
            since_ms = member.unreachable_since_ms
            if since_ms is None or not member.state.host.incarnation:
                continue
            if now_ms - since_ms >= self._timing.dead_ms:
                dead.add(member.state.host.incarnation)
        return tuple(sorted(dead))

    def tick(self, now_ms: int) -> list[Outgoing]:
        """Returns the heartbeats that are due."""
        self._note_broken_links(now_ms)
        self._forget_old_members(now_ms)
        outgoing = []
        for name in self._neighbours:
            if now_ms >= self._next_heartbeat_ms.get(name, 0):
                jitter_ms = self._random.randrange(
                    self._timing.heartbeat_ms // 8 + 1
                )
                self._next_heartbeat_ms[name] = (
                    now_ms + self._timing.heartbeat_ms - jitter_ms
                )
                outgoing.append(Outgoing(name, self._make_heartbeat(False)))
        return outgoing

    def receive_heartbeat(
        self, heartbeat: fleet.Heartbeat, now_ms: int
    ) -> list[Outgoing]:
        """Takes in a heartbeat and returns the answers to it."""
        sender_name = heartbeat.sender.host.name
        if sender_name == self._own_name:
            return []
        self._heard_ms[sender_name] = now_ms
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
        """Takes in a list of states and returns this router's own if asked."""
        for state in members.members:
            self._merge(state, now_ms)
        self._refresh(now_ms)
        if members.wants_reply:
            return self._make_lists(sender_name, wants_reply=False)
        return []

    def _count_mismatch(self, sender_name: str) -> list[Outgoing]:
        """Sends all states once digests have differed for long enough."""
        self._mismatches[sender_name] += 1
        if self._mismatches[sender_name] < self._timing.mismatch_heartbeats:
            return []
        del self._mismatches[sender_name]
        return self._make_lists(sender_name, wants_reply=True)

    def _make_lists(self, host_name: str, wants_reply: bool) -> list[Outgoing]:
        """Returns all known states in messages of bounded size."""
        states = [member.state for member in self._members.values()]
        chunks = [
            tuple(states[start : start + _MAX_LIST_MEMBERS])
            for start in range(0, len(states), _MAX_LIST_MEMBERS)
        ]
        return [
            Outgoing(
                host_name,
                fleet.MemberList(chunk, wants_reply and chunk is chunks[-1]),
            )
            for chunk in chunks
        ]

    def _make_heartbeat(self, is_reply: bool) -> fleet.Heartbeat:
        """Returns a heartbeat with the states that are due to be passed on."""
        due = sorted(
            (self._members[name] for name in self._passing_on),
            key=lambda member: -member.remaining_sends,
        )[:_MAX_UPDATES]
        for member in due:
            member.remaining_sends -= 1
            if member.remaining_sends == 0:
                self._passing_on.discard(member.state.host.name)
        return fleet.Heartbeat(
            self._members[self._own_name].state,
            is_reply,
            self._digest,
            tuple(member.state for member in due),
        )

    def _merge(self, state: fleet.MemberState, now_ms: int) -> None:
        """Takes in a state if it is newer than what is known."""
        name = state.host.name
        if name == self._own_name:
            self._answer_own_state(state, now_ms)
            return
        known = self._members.get(name)
        if known is not None and not self._is_newer(state, known.state):
            return
        if known is not None:
            self._note_superseded(known.state.host, state.host)
        self._set_state(state, now_ms)

    def _note_superseded(self, known: data.Host, new: data.Host) -> None:
        """Remembers an incarnation that was replaced on its host."""
        if known.incarnation not in (0, new.incarnation):
            self._superseded.add(known.incarnation)

    def _set_state(self, state: fleet.MemberState, now_ms: int) -> None:
        """Replaces a state and marks it to be passed on."""
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
            member.remaining_sends = self._count_sends()
            self._passing_on.add(name)
        self._is_stale = True

    def _is_newer(
        self, state: fleet.MemberState, known: fleet.MemberState
    ) -> bool:
        """Orders two states of one host.

        A superseded incarnation never returns. Versions start from the
        process's start time, so a replacement on the same host is newer.
        """
        if state.host.incarnation in self._superseded:
            return False
        return state.version > known.version

    def _answer_own_state(self, state: fleet.MemberState, now_ms: int) -> None:
        """Outbids a state that a former process on this host has left."""
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
        """Replaces this router's own state; None keeps the broken links."""
        own = self._members[self._own_name].state
        if broken_links is None:
            broken_links = own.broken_links
        newer = fleet.MemberState(host, own.version + 1, broken_links)
        self._set_state(newer, now_ms)

    def _note_broken_links(self, now_ms: int) -> None:
        """Publishes which neighbours have been silent for too long."""
        broken = tuple(
            name
            for name in self._neighbours
            if now_ms - self._heard_ms.setdefault(name, now_ms)
            > self._timing.broken_ms
        )
        own = self._members[self._own_name].state
        if broken != own.broken_links:
            self._publish(own.host, broken, now_ms)
            self._refresh(now_ms)

    def _forget_old_members(self, now_ms: int) -> None:
        """Drops hosts that have been unreachable for very long."""
        oldest_ms = now_ms - self._timing.forget_ms
        forgotten = [
            name
            for name in self._out_of_view
            if (self._members[name].unreachable_since_ms or now_ms) < oldest_ms
        ]
        for name in forgotten:
            self._passing_on.discard(name)
            self._out_of_view.discard(name)
            self._digest ^= _digest_state(self._members.pop(name).state)
            self._is_stale = True
        self._refresh(now_ms)

    def _count_sends(self) -> int:
        """Returns how often a changed state is passed on."""
        return 2 + len(self._members).bit_length()

    def _refresh(self, now_ms: int) -> None:
        """Derives neighbours and view from the known states."""
        if not self._is_stale:
            return
        self._is_stale = False
        zones = {n: m.state.host.zone for n, m in self._members.items()}
        self._neighbours = list_neighbours(self._own_name, zones)
        self._heard_ms = {
            name: heard_ms
            for name, heard_ms in self._heard_ms.items()
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
      The names, sorted: the hosts before and after it on each ring.
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
    """Returns the hosts that unbroken overlay links connect with one host.

    Args:
      start: The host.
      zones: The availability zone of each known host, by name.
      broken: The neighbours that each host can't reach, by name.
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
        for seed in range(GLOBAL_RINGS)
    ]
    by_zone: dict[str, list[str]] = collections.defaultdict(list)
    for name in rings[0]:
        by_zone[zones[name]].append(name)
    return rings + list(by_zone.values())


def _make_rings(name: str, zones: dict[str, str]) -> list[list[str]]:
    """Returns the rings that one host is on."""
    return [ring for ring in _make_all_rings(zones) if name in ring]


def _digest_state(state: fleet.MemberState) -> int:
    """Returns a digest of one state; digests combine by exclusive or."""
    text = f"{state.host.name}|{state.host.incarnation}|{state.version}"
    return xxhash.xxh64_intdigest(text.encode())
