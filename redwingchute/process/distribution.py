"""Distributes the configuration stream to every router by gossip.

In each availability zone a few routers, chosen by rendezvous hashing, read the
log. A router that has applied new records sends a digest with its next offset
to its overlay neighbours; a router that is behind pulls the records it lacks.
Periodic digests to a random neighbour repair gaps. A digest also carries the
time since the sender's state was confirmed to be the newest, so that a router
whose state has not been confirmed for long reads the log itself.

A router never goes back: records below its own offset have no effect, and the
fold rejects older checkpoints.

The siblings of a router are the other routers of the fleet. This module
performs no I/O; `configuration_follower` does.
"""

import collections
from collections.abc import Iterable
import random
from typing import TypeAlias

import attrs
import xxhash

from redwingchute.core import data
from redwingchute.core import distribution as messages
from redwingchute.process.ledger import log_outcomes
from redwingchute.version import change_fold
from redwingchute.version import changes
from redwingchute.wire import codec

# Limits on the records that are retained for the pulls of siblings.
_MAX_RETAINED_RECORDS = 256
_MAX_RETAINED_BYTES = 256 * 1024
# The records of one reply to a pull are limited to this size, unless the first
# record alone is larger.
_MAX_REPLY_BYTES = 64 * 1024
# The digest interval until a first version is in force.
_STARTUP_DIGEST_INTERVAL_MS = 500


@attrs.frozen
class DistributionPolicy:
    """Parameters of reading, distributing and checkpointing the stream.

    Attributes:
      readers_per_zone: Routers of each availability zone that read the log.
      digest_interval_ms: The interval between digests to a random neighbour.
      pull_timeout_ms: The time after which an unanswered pull has failed.
      startup_wait_ms: How long a new router waits for its siblings before it
        reads the log and before it may report ready. A router that is not a
        reader of its zone waits twice as long before it reads the log.
      stale_after_ms: The time without confirmation after which any router
        reads the log.
      read_wait_ms: How long a read may wait at the log for a record.
      read_retry_ms: The pause of a reader after a read that the log did not
        answer; other routers pause for a quarter of `stale_after_ms`.
      checkpoint_interval_ms: The age at which the checkpoint in the log is
        renewed.
      checkpoint_interval_records: The number of records after which it is
        renewed.
      checkpoint_stagger_ms: The additional delay for each further router in
        the ranking of checkpoint writers. It takes effect only if the routers
        ranked higher did not renew the checkpoint.
      checkpoint_stagger_records: The same delay in records.
    """

    readers_per_zone: int = 2
    digest_interval_ms: int = 5_000
    pull_timeout_ms: int = 2_000
    startup_wait_ms: int = 1_000
    stale_after_ms: int = 120_000
    read_wait_ms: int = 10_000
    read_retry_ms: int = 500
    checkpoint_interval_ms: int = 3_600_000
    checkpoint_interval_records: int = 500
    checkpoint_stagger_ms: int = 60_000
    checkpoint_stagger_records: int = 25


Message: TypeAlias = messages.ConfigurationDigest | messages.ConfigurationPull


@attrs.frozen
class Outgoing:
    """A message for one host; the reply to a pull is ConfigurationRecords.

    It is unrelated to `membership.Outgoing`, whose records are of other types.

    Attributes:
      host_name: The host that receives the message.
      record: The message.
    """

    host_name: str
    record: Message


@attrs.frozen
class PlannedRead:
    """A read of the configuration stream in the log that is due now.

    It is unrelated to `owner.PlannedRead`, a read of a ledger shard's stream.

    Attributes:
      from_offset: The offset of the first record.
      wait_ms: How long the log may wait for a record before it replies.
    """

    from_offset: int
    wait_ms: int


@attrs.frozen
class _Pull:
    """The pull that is waiting for its reply."""

    host_name: str
    started_ms: int


class Distribution:
    """One router's state machine for distributing the configuration stream.

    Attributes:
      fold: The state after all records applied so far.
      confirmed_ms: When the state was last confirmed to be the newest; 0 for
        never.
    """

    def __init__(
        self,
        own_host: data.Host,
        wire_codec: codec.Codec,
        policy: DistributionPolicy,
        random_source: random.Random,
        now_ms: int,
    ) -> None:
        """Starts without a configuration.

        Args:
          own_host: This router.
          wire_codec: Encodes and decodes records.
          policy: Parameters of reading and distributing the stream.
          random_source: Chooses neighbours for digests and adds jitter.
          now_ms: The current time.
        """
        self.fold = change_fold.ConfigurationFold()
        self.confirmed_ms = 0
        self._own_host = own_host
        self._codec = wire_codec
        self._policy = policy
        self._random = random_source
        self._started_ms = now_ms
        self._neighbours: tuple[str, ...] = ()
        self._is_reader = True
        self._checkpoint_rank = 0
        # The offset up to which each neighbour's state is complete, as far as
        # known from its digests and replies.
        self._neighbour_offsets: dict[str, int] = {}
        self._pull: _Pull | None = None
        self._next_digest_ms = now_ms
        self._next_read_ms = now_ms
        self._retained: collections.deque[messages.LoggedRecord] = (
            collections.deque()
        )
        self._retained_bytes = 0
        # The checkpoint sent to siblings, with the offset that it was made at.
        self._encoded_checkpoint: tuple[int, bytes] = (-1, b"")

    @property
    def is_reader(self) -> bool:
        """Whether this router reads the log for its availability zone."""
        return self._is_reader

    def set_view(
        self, neighbours: tuple[str, ...], live: tuple[data.Host, ...]
    ) -> None:
        """Sets the overlay neighbours and the live routers."""
        self._neighbours = neighbours
        self._neighbour_offsets = {
            name: offset
            for name, offset in self._neighbour_offsets.items()
            if name in neighbours
        }
        zone = [host.name for host in live if host.zone == self._own_host.zone]
        readers = rank_hosts("reader", zone)[: self._policy.readers_per_zone]
        self._is_reader = self._own_host.name in readers or not zone
        names = {self._own_host.name, *(host.name for host in live)}
        ranked = rank_hosts("checkpoint", names)
        self._checkpoint_rank = ranked.index(self._own_host.name)

    def explain_not_ready(self, now_ms: int) -> str | None:
        """Returns why this router is not ready to serve, or None if it is."""
        if not self.fold.current.version:
            return "no configuration is in force"
        if self.confirmed_ms:
            return None
        if now_ms < self._started_ms + self._policy.startup_wait_ms:
            return "siblings may hold a newer configuration"
        if self._find_source() is not None:
            return "a sibling holds a newer configuration"
        return None

    def tick(self, now_ms: int) -> list[Outgoing]:
        """Returns digests that are due, and a new pull if one timed out."""
        outgoing = []
        pull = self._pull
        if pull and now_ms >= pull.started_ms + self._policy.pull_timeout_ms:
            outgoing += self.handle_pull_failure(pull.host_name, now_ms)
        if now_ms >= self._next_digest_ms and self._neighbours:
            outgoing += self._make_due_digests(now_ms)
        return outgoing

    def _make_due_digests(self, now_ms: int) -> list[Outgoing]:
        """Returns a digest to a random neighbour.

        Without a version in force, returns digests to all neighbours.
        """
        has_version = bool(self.fold.current.version)
        pause_ms = (
            self._policy.digest_interval_ms
            if has_version
            else _STARTUP_DIGEST_INTERVAL_MS
        )
        jitter_ms = self._random.randrange(pause_ms // 4 + 1)
        self._next_digest_ms = now_ms + pause_ms - jitter_ms
        digest = self._make_digest(now_ms)
        if not has_version:
            return [Outgoing(name, digest) for name in self._neighbours]
        return [Outgoing(self._random.choice(self._neighbours), digest)]

    def receive_digest(
        self, sender: str, digest: messages.ConfigurationDigest, now_ms: int
    ) -> list[Outgoing]:
        """Handles a digest of another router.

        Returns:
          This router's digest if the sender is behind. Otherwise a pull from
          the router known to be furthest ahead, if there is one and no other
          pull is in progress.
        """
        own_offset = self._find_complete_offset()
        self._neighbour_offsets[sender] = digest.next_offset
        if digest.next_offset == own_offset and own_offset:
            # The sender confirmed the same state as the newest `age_ms` ago, or
            # never if that is -1.
            confirmed_ms = now_ms - max(0, digest.age_ms)
            if digest.age_ms >= 0:
                self.confirmed_ms = max(self.confirmed_ms, confirmed_ms)
        if digest.next_offset < own_offset:
            return [Outgoing(sender, self._make_digest(now_ms))]
        return self._start_pull(now_ms)

    def answer_pull(
        self, pull: messages.ConfigurationPull
    ) -> messages.ConfigurationRecords:
        """Returns the records, or the checkpoint, that a pull requests."""
        next_offset = self._find_complete_offset()
        first = self._retained[0].offset if self._retained else next_offset
        if not pull.needs_checkpoint and first <= pull.from_offset:
            records = self._select_records(pull.from_offset)
            return messages.ConfigurationRecords(next_offset, records)
        if not self.fold.has_complete_state or not next_offset:
            return messages.ConfigurationRecords(0)
        return messages.ConfigurationRecords(
            next_offset, checkpoint=self._encode_checkpoint()
        )

    def receive_records(
        self, sender: str, reply: messages.ConfigurationRecords, now_ms: int
    ) -> list[Outgoing]:
        """Applies the reply to a pull.

        Returns:
          Digests that announce the progress to neighbours, and the next pull
          if a neighbour is still ahead.
        """
        self._pull = None
        offset_before = self._find_complete_offset()
        if reply.checkpoint:
            self._adopt(reply.checkpoint)
        self._apply_records(self._select_contiguous(reply.records))
        if self._find_complete_offset() <= offset_before:
            # The sender had nothing usable. It is a source again once it
            # sends another digest.
            self._neighbour_offsets.pop(sender, None)
            return self._start_pull(now_ms)
        self._neighbour_offsets[sender] = reply.next_offset
        return [*self._announce(now_ms), *self._start_pull(now_ms)]

    def handle_pull_failure(
        self, host_name: str, now_ms: int
    ) -> list[Outgoing]:
        """Handles a pull without a reply; pulls from another source."""
        self._neighbour_offsets.pop(host_name, None)
        if self._pull is not None and self._pull.host_name == host_name:
            self._pull = None
        return self._start_pull(now_ms)

    def plan_read(self, now_ms: int) -> PlannedRead | None:
        """Returns the read of the log that is due, if any."""
        if now_ms < self._next_read_ms or not self._should_read(now_ms):
            return None
        wait_ms = self._policy.read_wait_ms if self._is_reader else 0
        if not self.confirmed_ms:
            # Return at once, so that the first read confirms the state.
            wait_ms = 0
        return PlannedRead(self.fold.next_offset, wait_ms)

    def receive_page(
        self, page: log_outcomes.Page, now_ms: int
    ) -> list[Outgoing]:
        """Applies a page of the log and announces the progress."""
        offset_before = self._find_complete_offset()
        self._apply_records(
            messages.LoggedRecord(item.offset, item.body)
            for item in page.records
        )
        if self.fold.next_offset >= page.next and self.fold.has_complete_state:
            self.confirmed_ms = now_ms
        if self._find_complete_offset() <= offset_before:
            return []
        return self._announce(now_ms)

    def handle_trim(self, trimmed: log_outcomes.Trimmed) -> None:
        """Handles a read below the log's first retained offset."""
        self.fold.skip_to(trimmed.first)
        if not self.fold.has_complete_state:
            self._discard_retained()

    def handle_log_unreachable(self, now_ms: int) -> None:
        """Delays the next read after the log did not answer."""
        pause_ms = self._policy.read_retry_ms
        if not self._is_reader:
            pause_ms = self._policy.stale_after_ms // 4
        jitter_ms = self._random.randrange(pause_ms // 2 + 1)
        self._next_read_ms = now_ms + pause_ms + jitter_ms

    def make_due_checkpoint(
        self, now_ms: int
    ) -> changes.ConfigurationCheckpoint | None:
        """Returns the checkpoint that this router should append now, if any."""
        fold = self.fold
        # Only a router that confirmed its state within the duration of two
        # waiting reads appends checkpoints.
        is_current = now_ms - self.confirmed_ms <= self._policy.read_wait_ms * 2
        if (
            not fold.has_complete_state
            or not fold.current.version
            or not is_current
        ):
            return None
        if not self._is_checkpoint_due(now_ms):
            return None
        return fold.make_checkpoint(now_ms)

    def _is_checkpoint_due(self, now_ms: int) -> bool:
        """Returns whether this router should renew the checkpoint in the log.

        Routers are due in the order of their rank. A lower-ranked router gets
        its turn only if those before it failed, for example because the log
        is unreachable for them.
        """
        policy = self._policy
        delay_ms = self._checkpoint_rank * policy.checkpoint_stagger_ms
        if not self.fold.checkpoint_made_at_ms:
            return now_ms - self._started_ms >= delay_ms
        age_ms = now_ms - self.fold.checkpoint_made_at_ms
        records = self.fold.next_offset - self.fold.checkpoint_offset
        delay_records = (
            self._checkpoint_rank * policy.checkpoint_stagger_records
        )
        return (
            age_ms >= policy.checkpoint_interval_ms + delay_ms
            or records >= policy.checkpoint_interval_records + delay_records
        )

    def _should_read(self, now_ms: int) -> bool:
        """Returns whether this router should read the log.

        A reader of its zone reads unless it is new, has no version in force and
        has siblings to pull one from. Any other router reads only if it still
        has no version after twice `startup_wait_ms`, or if its state has not
        been confirmed for `stale_after_ms`.
        """
        is_new = now_ms < self._started_ms + self._policy.startup_wait_ms
        has_version = bool(self.fold.current.version)
        if self._is_reader:
            return has_version or not self._neighbours or not is_new
        if not has_version:
            return now_ms >= self._started_ms + 2 * self._policy.startup_wait_ms
        last_ms = max(self.confirmed_ms, self._started_ms)
        return now_ms - last_ms > self._policy.stale_after_ms

    def _find_complete_offset(self) -> int:
        """Returns the offset up to which the state is complete.

        Returns 0 while records are missing before the fold's offset.
        """
        return self.fold.next_offset if self.fold.has_complete_state else 0

    def _make_digest(self, now_ms: int) -> messages.ConfigurationDigest:
        """Returns the digest of this router; its age is -1 if unknown."""
        age_ms = now_ms - self.confirmed_ms if self.confirmed_ms else -1
        return messages.ConfigurationDigest(
            self._find_complete_offset(), self.fold.current.version, age_ms
        )

    def _announce(self, now_ms: int) -> list[Outgoing]:
        """Returns digests for neighbours that may be behind this router."""
        digest = self._make_digest(now_ms)
        return [
            Outgoing(name, digest)
            for name in self._neighbours
            if self._neighbour_offsets.get(name, -1) < digest.next_offset
        ]

    def _find_source(self) -> str | None:
        """Returns the neighbour furthest ahead of this router, or None."""
        ahead = [
            (offset, name)
            for name, offset in self._neighbour_offsets.items()
            if offset > self._find_complete_offset()
        ]
        return max(ahead)[1] if ahead else None

    def _start_pull(self, now_ms: int) -> list[Outgoing]:
        """Returns a pull from a router ahead, unless one is in progress."""
        source = self._find_source()
        if self._pull is not None or source is None:
            return []
        self._pull = _Pull(source, now_ms)
        pull = messages.ConfigurationPull(
            self._find_complete_offset(), not self.fold.has_complete_state
        )
        return [Outgoing(source, pull)]

    def _adopt(self, encoded: bytes) -> None:
        """Adopts a checkpoint that a sibling sent if it is ahead."""
        decoded = self._codec.decode(encoded)
        match decoded:
            case codec.Decoded(
                record=changes.ConfigurationCheckpoint() as checkpoint
            ):
                if self.fold.adopt_checkpoint(checkpoint):
                    self._discard_retained()

    def _apply_records(self, records: Iterable[messages.LoggedRecord]) -> None:
        """Applies records in order and retains them for siblings."""
        for logged in records:
            if logged.offset < self.fold.next_offset:
                continue
            if logged.offset > self.fold.next_offset:
                self._discard_retained()
            record = change_fold.decode_record(self._codec, logged.body)
            self.fold.apply(change_fold.StreamRecord(logged.offset, record))
            self._retain(logged, record)

    def _select_contiguous(
        self, records: tuple[messages.LoggedRecord, ...]
    ) -> list[messages.LoggedRecord]:
        """Returns the records that continue the state without a gap.

        Records missing from the log are lost, and the fold has to record the
        gap. Records missing from a sibling's reply may still be in the log, so
        whatever follows the gap is ignored.
        """
        contiguous = []
        next_offset = self.fold.next_offset
        for logged in records:
            if logged.offset == next_offset:
                contiguous.append(logged)
                next_offset += 1
        return contiguous

    def _retain(
        self, logged: messages.LoggedRecord, record: changes.Record | None
    ) -> None:
        """Retains a record for siblings; checkpoints without their content."""
        if isinstance(record, changes.ConfigurationCheckpoint):
            marker = attrs.evolve(record, document=b"", audit=(), verdicts=())
            body = self._codec.encode(marker)
            logged = messages.LoggedRecord(logged.offset, body)
        self._retained.append(logged)
        self._retained_bytes += len(logged.body)
        while (
            len(self._retained) > _MAX_RETAINED_RECORDS
            or self._retained_bytes > _MAX_RETAINED_BYTES
        ):
            self._retained_bytes -= len(self._retained.popleft().body)

    def _discard_retained(self) -> None:
        """Discards the retained records after a gap in the records.

        A sibling could not continue from them to the current state.
        """
        self._retained.clear()
        self._retained_bytes = 0

    def _select_records(
        self, from_offset: int
    ) -> tuple[messages.LoggedRecord, ...]:
        """Returns retained records from an offset on, up to a reply's size."""
        selected: list[messages.LoggedRecord] = []
        size = 0
        for logged in self._retained:
            if logged.offset < from_offset:
                continue
            size += len(logged.body)
            if selected and size > _MAX_REPLY_BYTES:
                break
            selected.append(logged)
        return tuple(selected)

    def _encode_checkpoint(self) -> bytes:
        """Returns the encoded checkpoint, cached per offset."""
        if self._encoded_checkpoint[0] != self.fold.next_offset:
            encoded = self._codec.encode(self.fold.make_checkpoint())
            self._encoded_checkpoint = self.fold.next_offset, encoded
        return self._encoded_checkpoint[1]


def rank_hosts(purpose: str, names: Iterable[str]) -> list[str]:
    """Returns host names in the order of their rendezvous hashes.

    Args:
      purpose: Salts the hash, so that each purpose has its own order.
      names: The names.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{purpose}/{name}".encode()),
    )
