"""Maintains this router's grants in the shared log.

Every append carries the host's stamp (its address, the epoch of its process and
the times of its clocks) and the grant rows that changed. It is repeated
unchanged until its outcome is known, so that the log never holds a row whose
limits the host does not obey. An append that raises a grant is conditional: it
takes effect only if no other record was appended since the rows were read.

When the log has returned from an earlier copy, it may hold neither this host's
newest rows nor those of others. The router then fences its own lost appends and
writes what it may spend before anything else. It raises no grant until all
hosts have done so, or until what the others may hold counts as spent; see
`grant_fold`.

Only hubs hold grants, see `hub_choice`. The manager of another router appends
and reads nothing, unless it still has to return the tokens of a time when its
host was a hub.
"""

import asyncio
from collections.abc import Callable
import contextlib

import attrs

from redwingchute.core import prepaid
from redwingchute.core import spread
from redwingchute.process import decision_log
from redwingchute.process import era_log
from redwingchute.process import invariants
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.process.prepaid import account_balance
from redwingchute.process.prepaid import append_planner
from redwingchute.process.prepaid import era_planner
from redwingchute.process.prepaid import grant as grant_lib
from redwingchute.process.prepaid import grant_fold
from redwingchute.process.prepaid import grant_planner
from redwingchute.process.prepaid import host_joining
from redwingchute.process.prepaid import predecessor_grants

# The topic of the shared log that holds the grant rows and host stamps.
TOPIC = "grants"

# The interval at which stamps and changed rows are appended. What a successor
# has to count as spent grows with the age of the last stamp.
_APPEND_INTERVAL_MS = 500
# A stamp that is older has missed an interval. It is renewed in an append that
# cannot fail for those of other hosts.
_MAX_STAMP_AGE_MS = 2 * _APPEND_INTERVAL_MS
# Requests do not wait for an append if the last one took longer than this.
_MAX_AWAITED_APPEND_MS = 60
# The interval at which the rows of other hosts are read. They are also read
# when the log refuses an append and when requests still lack tokens after one.
_READ_POLL_TIMING = keyed_follower.PollTiming(wait_ms=0, interval_ms=2_000)
# The delay before the log is called again after a call failed.
_LOG_RETRY_S = 0.15
# A new host waits this long for the first stamps of other hosts, which may
# start at the same time: the accounts are divided among the hosts with stamps.
_PEER_STAMPS_WAIT_S = 0.5
# Conditional appends fail while other routers raise grants at the same time; a
# round plans and sends at most this many appends.
_MAX_APPENDS_PER_ROUND = 6
# No grant is raised for this long after a new era was seen. Hosts that reach
# the log write their rows in this time, also those that it does not list.
_ERA_SUSPENSION_MS = 1_000
# How long a new host waits for the stamps of an era in which it has none.
_ERA_STAMPS_WAIT_MS = 2_000
_ERA_STAMPS_POLL_S = 0.2
# The first appends of an era are spread over this time.
_ERA_APPEND_SPREAD_MS = 150
# The interval of appends until other hosts know that this one has joined.
_JOIN_APPEND_INTERVAL_MS = 100
# Epochs are milliseconds of the wall clock. A process raises its epoch by one
# in each era; its successor must not reach it if the clock is set back.
_EPOCH_STEP = 1_024
# How often a router that is no hub checks whether it has become one.
_HUB_CHECK_S = 0.5
# The append rounds that a request waits for: the one in progress, the one that
# includes the request, and one more.
_MAX_ROUNDS_AWAITED = 3


@attrs.frozen
class Clocks:
    """The clocks of a host; each returns milliseconds.

    Attributes:
      read_boot_ms: Reads the boot clock, which also runs while the host is
        suspended.
      read_wall_ms: Reads the wall clock, which may be set forward or back.
    """

    read_boot_ms: Callable[[], int]
    read_wall_ms: Callable[[], int]


class GrantManager:
    """Takes over, maintains and returns the grants of one router.

    Attributes:
      fold: The rows and stamps of all hosts, as last read.
      has_taken_over: Whether this process has taken over the grants of the
        previous process on its host.
      is_connected: Whether the log replied to the last append, and did not
        reply that this process is fenced.
      has_appended_rows: Whether an append has succeeded since accounts with
        prepaid tokens became known and hosts had tokens of them.
      is_active: Whether the manager appends and reads rows.
      balances: What the accounts have left.
    """

    def __init__(
        self,
        log: era_log.EraLog,
        own_stamp: prepaid.HostStamp,
        clocks: Clocks,
        list_prepaid_tokens: Callable[[], dict[str, int]],
        is_hub: Callable[[], bool] = lambda: True,
        policy: grant_planner.GrantPolicy | None = None,
        is_fresh: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the manager; `run` starts its work.

        Args:
          log: The shared log.
          own_stamp: A stamp with the host, its zone and its address; epoch and
            times are set for each append.
          clocks: The host's clocks.
          list_prepaid_tokens: Returns the prepaid tokens of each account.
          is_hub: Returns whether this router should hold grants.
          policy: How grants are sized.
          is_fresh: Returns whether the prepaid tokens are known to be the
            newest.
        """
        self.fold = grant_fold.GrantFold()
        self.has_taken_over = False
        self.is_connected = False
        self.has_appended_rows = False
        self.is_active = False
        self._log = log
        self._own_stamp = own_stamp
        self._clocks = clocks
        self._list_prepaid_tokens = list_prepaid_tokens
        self._is_hub = is_hub
        self._policy = policy or grant_planner.GrantPolicy()
        self._follower = keyed_follower.KeyedFollower(
            log,
            TOPIC,
            _READ_POLL_TIMING,
            clocks.read_boot_ms,
            self._handle_record,
            begin_era=self._begin_era,
        )
        self._is_fresh = is_fresh
        # The era in which the log has all rows of this host; -1 before the
        # takeover.
        self._confirmed_era = -1
        self._era_seen_boot_ms = 0
        self._joining = host_joining.HostJoining()
        # The last append that confirmed the rows; its outcome may be unknown.
        self._sent_confirmation: append_planner.Append | None = None
        log.add_listener(self._handle_new_era)
        self._grants: dict[str, grant_lib.Grant] = {}
        self._planner = append_planner.AppendPlanner(
            own_stamp.host,
            self.fold,
            self._grants,
            list_prepaid_tokens,
            clocks.read_boot_ms,
            self._policy,
            self._is_suspended,
        )
        self.balances = account_balance.AccountBalances(
            own_stamp.host, self.fold, self.find_grant
        )
        # What waiting requests need, by account.
        self._requested_tokens: dict[str, int] = {}
        self._append_requested = asyncio.Event()
        # Set at the end of the current append round; each round has its own.
        self._round_finished = asyncio.Event()
        # The previous process on this host ended before this one started.
        self._predecessor = predecessor_grants.PredecessorGrants(
            clocks.read_boot_ms(), clocks.read_wall_ms()
        )
        # The rows of the predecessor as they were read, and the stamp that the
        # log had with them.
        self._loaded_rows: tuple[prepaid.GrantRow, ...] = ()
        self._loaded_stamp: prepaid.HostStamp | None = None
        self._has_loaded_history = False
        # The end of the topic when the log began to reject the appends of
        # previous processes on this host, and the epoch from which on it does
        # not; None before.
        self._fence_end: shared_log.LogPosition | None = None
        self._first_epoch: int | None = None
        # Added to the epoch; previous processes may have used a higher one of
        # which the log has no stamp.
        self._epoch_advance = 0
        self._epoch = 0
        self._sequence = 0
        self._last_append_duration_ms = 0
        self._last_stamp_boot_ms = 0
        # The time of the newest stamp that is known to be in the log.
        self._log_stamp_boot_ms = 0
        # Whether the last planned append only renewed the stamp.
        self._has_renewed_stamp = False
        self._pending_append: append_planner.Append | None = None
        # The last takeover that was sent; its outcome may not be known.
        self._sent_takeover: append_planner.Append | None = None
        self._is_stopping = False
        self._is_draining = False
        self._is_fenced = False
        # Whether the last append of a router that is no hub any more returned
        # all tokens.
        self._has_withdrawn = False

    @property
    def own_host(self) -> str:
        """The name of this router's host."""
        return self._own_stamp.host

    @property
    def may_lend(self) -> bool:
        """Whether this router may lend tokens of its grants.

        One that is shutting down may not: it could exit before the borrower
        settles the charge, and the tokens would count as spent.
        """
        return not self._is_draining and not self._is_stopping

    @property
    def is_lending(self) -> bool:
        """Whether this router is a hub that can charge for other routers."""
        return self._is_hub() and self.has_appended_rows and self.may_lend

    def find_grant(self, account: str) -> grant_lib.Grant:
        """Returns the grant of an account, an empty one for a new account."""
        return grant_lib.get_or_create_grant(self._grants, account)

    def reserve(self, account: str, tokens: int) -> bool:
        """Reserves tokens of this router's grant if they are available.

        Args:
          account: The client account.
          tokens: The number of tokens to reserve.

        Returns:
          Whether the tokens are reserved.
        """
        return self.find_grant(account).reserve(
            tokens, self._clocks.read_boot_ms()
        )

    def reserve_available(self, account: str, tokens: int) -> int:
        """Reserves the available tokens, at most a given number.

        Args:
          account: The client account.
          tokens: The maximum of tokens to reserve.

        Returns:
          The number of reserved tokens, 0 if none are available.
        """
        grant = self.find_grant(account)
        boot_ms = self._clocks.read_boot_ms()
        available_tokens = min(tokens, grant.find_available(boot_ms))
        grant.reserve(available_tokens, boot_ms)
        return available_tokens

    async def reserve_with_raise(
        self, account: str, tokens: int, timeout_s: float
    ) -> int:
        """Reserves tokens, raising the grant or its ceiling if necessary.

        Args:
          account: The client account.
          tokens: The number of tokens to reserve.
          timeout_s: How long to wait for appends.

        Returns:
          The number of reserved tokens; fewer than requested if this router
          cannot raise its grant far enough in time.
        """
        goal_tokens = min(tokens, self._find_max_grantable(account))
        if goal_tokens <= 0 or not self._can_await_append():
            return self.reserve_available(account, tokens)
        self._requested_tokens[account] = (
            self._requested_tokens.get(account, 0) + goal_tokens
        )
        try:
            async with asyncio.timeout(timeout_s):
                # The round in progress may have been planned without this
                # request.
                for _ in range(_MAX_ROUNDS_AWAITED):
                    round_finished = self._round_finished
                    self._append_requested.set()
                    await round_finished.wait()
                    if self.reserve(account, goal_tokens):
                        return goal_tokens
        except TimeoutError:
            pass
        finally:
            self._requested_tokens[account] -= goal_tokens
        return self.reserve_available(account, tokens)

    def _can_await_append(self) -> bool:
        """Returns whether an append is likely to end while a request waits."""
        if not self.is_connected or not self.has_taken_over:
            return False
        append_duration_ms = self._last_append_duration_ms
        if self._pending_append is not None:
            sent_ms = self._pending_append.stamp.boot_ms
            append_duration_ms = max(
                append_duration_ms, self._clocks.read_boot_ms() - sent_ms
            )
        return append_duration_ms <= _MAX_AWAITED_APPEND_MS

    def _find_max_grantable(self, account: str) -> int:
        """Returns the maximum of tokens that can be reserved after an append.

        Rows of other hosts that are not read yet may reduce it.
        """
        grant = self.find_grant(account)
        others_granted_tokens = self.fold.sum_granted(
            account, excluded_host=self.own_host
        )
        prepaid_tokens = self._list_prepaid_tokens().get(account, 0)
        if not self._planner.can_change:
            return grant.free_tokens
        ungranted_tokens = (
            prepaid_tokens - others_granted_tokens - grant.committed_tokens
        )
        return max(grant.free_tokens, ungranted_tokens)

    def find_exposed(self, account: str) -> int:
        """Returns the tokens of an account that a crash would make unsure."""
        return self.find_grant(account).find_exposed(
            self._clocks.read_boot_ms()
        )

    def measure_grants(self) -> grant_lib.GrantTotals:
        """Returns what this router's grants add up to now."""
        return grant_lib.sum_grants(
            self._grants.values(), self._clocks.read_boot_ms()
        )

    def is_out_of_tokens(self, account: str, tokens: int) -> bool:
        """Returns whether a request will never get its tokens, by all rows.

        Tokens that the account prepays later are left out.

        Args:
          account: The client account.
          tokens: The maximum cost of the request.
        """
        prepaid_tokens = self._list_prepaid_tokens().get(account, 0)
        return (
            self.is_connected
            and tokens > self.balances.find_max_later(account, prepaid_tokens)
            and not predecessor_grants.may_release_later(
                self.fold, self._clocks.read_wall_ms()
            )
        )

    async def run(self) -> None:
        """Takes over the grants of the previous process and maintains them.

        Runs until it is cancelled, or until a later process has taken over.
        """
        while not self._is_fenced:
            await self._wait_until_needed()
            if not self.has_taken_over:
                await self._take_over()
            self.is_active = True
            tasks = {
                asyncio.create_task(self._follower.run()),
                asyncio.create_task(self._run_appends()),
            }
            try:
                done, _ = await asyncio.wait(
                    tasks, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                self.is_active = False
                for task in tasks:
                    task.cancel()
            for task in done:
                # Raises the exception of a failed task.
                task.result()

    async def _wait_until_needed(self) -> None:
        """Waits until this router is a hub or has tokens to return."""
        has_read_rows = False
        while not self._is_hub():
            if self.has_taken_over and self._log.era != self._confirmed_era:
                return
            if not has_read_rows and not self.has_taken_over:
                has_read_rows = await self._follower.read_once()
                rows = self.fold.list_host_rows(self.own_host)
                if any(
                    row.granted_tokens > row.spent_tokens or row.unsure_tokens
                    for row in rows
                ):
                    return
            await asyncio.sleep(_HUB_CHECK_S)

    def _holds_tokens(self) -> bool:
        """Returns whether this router has tokens that it could return."""
        return bool(self._predecessor.rows) or any(
            grant.granted_tokens > grant.spent_tokens
            for grant in self._grants.values()
        )

    def begin_drain(self) -> None:
        """Returns what this router's own requests do not need, from now on.

        Nothing is lent any more.
        """
        self._is_draining = True
        self._planner.keep_only_requested()
        self._append_requested.set()

    async def record_end(self, timeout_s: float) -> None:
        """Records what has ended since `stop`, before the process exits.

        Does nothing while the log has not replied to an earlier append, which
        would have to be repeated first.

        Args:
          timeout_s: How long to wait for the append.
        """
        if not self.is_active or self._pending_append is not None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                # The round in progress may have been planned before.
                for _ in range(2):
                    round_finished = self._round_finished
                    self._append_requested.set()
                    await round_finished.wait()

    async def stop(self, timeout_s: float) -> None:
        """Returns unspent tokens to the accounts before a graceful shutdown.

        Args:
          timeout_s: How long to wait until the log confirms the return.
        """
        self._is_stopping = True
        if not self.is_active:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self._own_stamp.is_leaving or self._pending_append:
                    round_finished = self._round_finished
                    self._append_requested.set()
                    await round_finished.wait()

    def find_wait_ms(self, account: str, tokens: int) -> int | None:
        """Returns in how many ms the grant admits a request, without a raise.

        Args:
          account: The client account.
          tokens: The maximum cost of the request.

        Returns:
          The time, or None if the grant does not cover the request.
        """
        boot_ms = self._clocks.read_boot_ms()
        return self.find_grant(account).find_wait_ms(tokens, boot_ms)

    async def wait_until_started(self, timeout_s: float) -> None:
        """Waits until this process has appended its first grant rows.

        Args:
          timeout_s: How long to wait.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self.has_appended_rows:
                    await self._round_finished.wait()

    def _handle_record(self, record: shared_log.KeyedRecord) -> None:
        """Applies a record of the topic to the fold."""
        if not record.value:
            return
        decoded = grant_fold.decode_record(record.value)
        if decoded is None:
            decision_log.log_failure(
                "grant_record_unreadable", key=record.key, offset=record.offset
            )
            return
        self.fold.apply_record(decoded)
        if (
            isinstance(decoded, prepaid.HostStamp)
            and self.has_taken_over
            and decoded.host != self.own_host
        ):
            self._predecessor.record_stamp(decoded)

    def _handle_new_era(self) -> None:
        """Has the rows of this host confirmed soon."""
        self._append_requested.set()

    def _begin_era(self, era: int) -> None:
        """Discards what was read in the previous era."""
        self.fold.begin_era(era)
        self._era_seen_boot_ms = self._clocks.read_boot_ms()

    @property
    def _era_age_ms(self) -> int:
        """The time since the era of the fold was seen first."""
        return self._clocks.read_boot_ms() - self._era_seen_boot_ms

    def _is_suspended(self) -> bool:
        """Returns whether grants must stay as they are after a new era began.

        They must until the log has the rows of this host, and for a while.
        """
        if self.fold.era != self._confirmed_era:
            return True
        if not self._joining.has_joined:
            return True
        return self.fold.era > 0 and self._era_age_ms < _ERA_SUSPENSION_MS

    def _make_stamp(self, era: int) -> prepaid.HostStamp:
        """Returns a stamp of this host with the current times.

        Args:
          era: The era in which the log has all rows of this host once it has
            the append with the stamp.
        """
        position = self._find_read_position()
        return attrs.evolve(
            self._own_stamp,
            epoch=self._epoch,
            boot_ms=self._clocks.read_boot_ms(),
            wall_ms=self._clocks.read_wall_ms(),
            is_leaving=self._own_stamp.is_leaving or not self._is_hub(),
            era=era,
            read_offset=position.offset if position.era == era else -1,
        )

    def _find_read_position(self) -> shared_log.LogPosition:
        """Returns the position up to which the topic was read."""
        return self._follower.position or shared_log.LogPosition(-1, 0)

    async def _take_over(self) -> None:
        """Fences the previous process on this host and takes over its grants.

        The rows are read once the log rejects what the previous process sent.
        A late append that lowers a grant would otherwise count for the other
        hosts, which may get the returned tokens, until the takeover raises the
        grant again. Only this process changes the rows after the fence, so the
        takeover is appended unconditionally.
        """
        while not self.has_taken_over:
            if not await self._read_after_fence():
                self.is_connected = False
                await asyncio.sleep(_LOG_RETRY_S)
                continue
            own_stamp = self.fold.stamps.get(self.own_host)
            takeover = self._sent_takeover
            if takeover is not None and takeover.stamp == own_stamp:
                # Only the response to the takeover was lost.
                self._finish_takeover(takeover, self._find_read_position())
                break
            if self._has_unloaded_history(own_stamp):
                if self._must_wait_for_stamps():
                    await asyncio.sleep(_ERA_STAMPS_POLL_S)
                    continue
                self._load_history(own_stamp)
            self._epoch += 1
            await self._append_takeover()
        # The takeover stamp makes the other hosts count this one; wait for the
        # stamps of hosts that start at the same time.
        if not self.fold.list_host_rows(self.own_host):
            await asyncio.sleep(_PEER_STAMPS_WAIT_S)

    async def _read_after_fence(self) -> bool:
        """Reads the rows that no previous process can change any more.

        Returns:
          Whether the fence stands in the present era and the topic was read
          up to it.
        """
        if self._fence_end is None or self._fence_end.era != self._log.era:
            if not await self._follower.read_once():
                return False
            if not await self._append_fence():
                return False
        if not await self._follower.read_once():
            return False
        end = self._fence_end
        position = self._find_read_position()
        return end is not None and (
            position.era == end.era == self._log.era
            and position.offset >= end.offset
        )

    async def _append_fence(self) -> bool:
        """Has the log reject the appends of previous processes on this host.

        Returns:
          Whether the log has confirmed that it does.
        """
        own_stamp = self.fold.stamps.get(self.own_host)
        self._epoch = self._epoch_advance + max(
            self._epoch + 1,
            self._clocks.read_wall_ms(),
            own_stamp.epoch + _EPOCH_STEP if own_stamp else 0,
        )
        result = await self._log.append(
            TOPIC, (), shared_log.ProducerStamp(self.own_host, self._epoch, 0)
        )
        match result:
            case shared_log.Appended(end):
                self._fence_end = end
                if self._first_epoch is None:
                    self._first_epoch = self._epoch
                return True
            case shared_log.Fenced():
                self._epoch_advance = 2 * self._epoch_advance + _EPOCH_STEP
        return False

    def _has_unloaded_history(
        self, own_stamp: prepaid.HostStamp | None
    ) -> bool:
        """Returns whether the log has a history that was not loaded.

        After the first load that is one of a later stamp of a previous process,
        which the log may have in a new era.

        Args:
          own_stamp: The newest stamp of this host, or None.
        """
        if not self._has_loaded_history:
            return True
        assert self._first_epoch is not None
        if own_stamp is None or own_stamp.epoch >= self._first_epoch:
            return False
        return self._loaded_stamp is None or grant_fold.is_later(
            own_stamp, self._loaded_stamp
        )

    def _must_wait_for_stamps(self) -> bool:
        """Returns whether other hosts may still report this host as known.

        In a new era the log may have lost the stamp of a predecessor. Hosts
        that read it write it again with their own rows.
        """
        if self.fold.era == 0 or self.own_host in self.fold.stamps:
            return False
        has_stamps = bool(self.fold.stamps)
        if has_stamps and self.fold.are_stamps_restored:
            return False
        wait_ms = _ERA_STAMPS_WAIT_MS if has_stamps else _ERA_SUSPENSION_MS
        return self._era_age_ms < wait_ms

    def _load_history(self, previous_stamp: prepaid.HostStamp | None) -> None:
        """Loads what the previous process on this host may have spent.

        If the log has lost it, all that no host accounts for counts as spent.

        Args:
          previous_stamp: The newest stamp of this host, or None.
        """
        if self._has_loaded_history:
            # Nothing was spent of the grants that were loaded first.
            self._grants.clear()
        self._has_loaded_history = True
        self._loaded_stamp = previous_stamp
        if previous_stamp is None:
            has_lost_history = not self.fold.are_stamps_restored
        else:
            has_lost_history = not self.fold.is_confirmed(self.own_host)
        if has_lost_history:
            decision_log.log_failure(
                "grant_history_lost",
                era=self.fold.era,
                stamp_era=previous_stamp.era if previous_stamp else None,
            )
        else:
            self._load_predecessor_grants()
        self._joining.has_joined = (
            previous_stamp is not None and not previous_stamp.is_leaving
        )
        self._own_stamp = attrs.evolve(
            self._own_stamp,
            has_lost_history=has_lost_history
            or (previous_stamp is not None and previous_stamp.has_lost_history),
        )

    def _load_predecessor_grants(self) -> None:
        """Loads the grants of the previous process on this host."""
        boot_ms = self._clocks.read_boot_ms()
        self._predecessor.load(self.own_host, self.fold)
        self._loaded_rows = self._predecessor.rows
        for row in self._predecessor.rows:
            self.find_grant(row.account).inherit(row, boot_ms)
        self._release_predecessor_tokens()

    def _release_predecessor_tokens(self) -> None:
        """Releases the tokens that the previous process cannot have spent.

        Does nothing while the age of its last stamp may still become known.
        """
        if not self._predecessor.rows:
            return
        age_bound = self._predecessor.find_stamp_age_bound(
            self._clocks.read_boot_ms()
        )
        if age_bound is None:
            return
        for row in self._predecessor.rows:
            released_tokens = self.find_grant(row.account).release_unspent(
                row, predecessor_grants.find_max_spent(row, age_bound)
            )
            decision_log.log_event(
                "grant_inherited",
                account=row.account,
                granted_tokens=row.granted_tokens,
                recorded_tokens=row.spent_tokens,
                ceiling_tokens=row.ceiling_tokens,
                reserved_tokens=row.reserved_tokens,
                earlier_unsure_tokens=row.unsure_tokens,
                rise_tokens_per_s=row.rise_tokens_per_s,
                released_tokens=released_tokens,
                unrecorded_tokens=row.granted_tokens
                - row.spent_tokens
                - released_tokens,
                stamp_age_ms=age_bound.age_ms,
                proof=age_bound.source,
            )
        self._predecessor.rows = ()

    async def _append_takeover(self) -> None:
        """Appends this process's first stamp and the rows that it took over."""
        append = self._sent_takeover = era_planner.plan_confirmation(
            self.fold,
            self._make_stamp(self.fold.era),
            tuple(
                attrs.evolve(
                    row,
                    granted_tokens=grant.granted_tokens,
                    spent_tokens=grant.spent_tokens,
                    unsure_tokens=grant.unsure_tokens,
                    ceiling_tokens=grant.spent_tokens,
                    reserved_tokens=0,
                )
                for row in era_planner.merge_rows(
                    self._loaded_rows, self.fold.list_host_rows(self.own_host)
                )
                for grant in (self.find_grant(row.account),)
            ),
            self._follower.position,
        )
        result = await self._send(append)
        if isinstance(result, shared_log.Appended):
            self._finish_takeover(append, result.end)
        else:
            self.is_connected = False
            await asyncio.sleep(_LOG_RETRY_S)

    def _finish_takeover(
        self, takeover: append_planner.Append, end: shared_log.LogPosition
    ) -> None:
        """Applies the takeover, which is known to be in the log."""
        self.has_taken_over = True
        self._confirmed_era = takeover.stamp.era
        self._handle_appended(takeover, end)
        decision_log.log_event("grants_taken_over", epoch=self._epoch)

    async def _confirm_era(self) -> bool:
        """Writes what this host may spend, in an era in which it has not yet.

        A new epoch fences the appends that this process sent in earlier eras
        and that the log may still carry out. What the host may spend stays the
        same: a raise that was not confirmed before has no effect.

        Returns:
          Whether the log has the rows of this host in its present era.
        """
        delay_ms = spread.find_offset_ms(_ERA_APPEND_SPREAD_MS, self.own_host)
        await asyncio.sleep(delay_ms / 1000)
        self._pending_append = None
        for _ in range(_MAX_APPENDS_PER_ROUND):
            if not await self._follower.read_once():
                self.is_connected = False
                return False
            sent = self._sent_confirmation
            own_stamp = self.fold.stamps.get(self.own_host)
            if (
                sent is not None
                and sent.stamp == own_stamp
                and sent.stamp.era == self.fold.era
            ):
                # Only the response to the append was lost.
                self._finish_confirmation(sent, self._find_read_position())
                return True
            self._epoch += 1
            append = self._sent_confirmation = era_planner.plan_confirmation(
                self.fold,
                self._make_stamp(self.fold.era),
                self._planner.plan_confirmed_rows(),
                self._follower.position,
            )
            self._apply_sent_append(append)
            result = await self._send(append)
            if self._log.era != append.stamp.era:
                continue
            match result:
                case shared_log.Appended(end):
                    self._finish_confirmation(append, end)
                    return True
                case shared_log.Fenced():
                    self._handle_fenced()
                    return False
                case shared_log.LogUnavailable() as failure:
                    self._handle_log_unavailable(failure)
                    return False
        return False

    def _finish_confirmation(
        self, append: append_planner.Append, end: shared_log.LogPosition
    ) -> None:
        """Applies a confirmation, which is known to be in the log."""
        self._sent_confirmation = None
        self._confirmed_era = append.stamp.era
        self._handle_appended(append, end)
        decision_log.log_event(
            "grants_confirmed",
            era=append.stamp.era,
            epoch=self._epoch,
            granted_tokens=sum(row.granted_tokens for row in append.rows),
        )

    async def _run_appends(self) -> None:
        """Appends stamps and rows at each interval and on request.

        Ends when this router is no hub any more and has returned its tokens,
        or when a later process has taken over.
        """
        self._has_withdrawn = False
        while not self._is_fenced and (
            self._is_hub() or not self._has_withdrawn or self._is_stopping
        ):
            if not self._is_stopping:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._append_requested.wait(),
                        self._append_interval_ms / 1000,
                    )
            self._append_requested.clear()
            if self._predecessor.rows:
                await self._follower.read_once()
                self._release_predecessor_tokens()
            await self._run_append_round()
            self._check_spending()
            round_finished, self._round_finished = (
                self._round_finished,
                asyncio.Event(),
            )
            round_finished.set()
            if not self.is_connected:
                await asyncio.sleep(_LOG_RETRY_S)
            elif self._is_stopping and self._own_stamp.is_leaving:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._append_requested.wait(),
                        _APPEND_INTERVAL_MS / 1000,
                    )

    @property
    def _append_interval_ms(self) -> int:
        """The interval of appends that no request waits for."""
        if self._joining.has_joined or not self._is_hub():
            return _APPEND_INTERVAL_MS
        return _JOIN_APPEND_INTERVAL_MS

    def _check_spending(self) -> None:
        """Checks that no grant has more committed than granted tokens."""
        for grant in self._grants.values():
            invariants.check(
                grant.committed_tokens <= grant.granted_tokens,
                "spending_above_grant",
                account=grant.account,
                granted_tokens=grant.granted_tokens,
                committed_tokens=grant.committed_tokens,
            )

    async def _run_append_round(self) -> None:
        """Appends until no request lacks tokens or no append can help.

        Repeats a pending append first. Stops when the log is unavailable, when
        the grants cannot be raised further, when this process is fenced or
        after `_MAX_APPENDS_PER_ROUND` appends.
        """
        for _ in range(_MAX_APPENDS_PER_ROUND):
            if not self.fold.can_raise or not self._joining.has_joined:
                # Other hosts may have confirmed their rows, or read the stamp
                # of this one.
                await self._follower.read_once()
                self._joining.update(
                    self.fold, self.own_host, self._clocks.read_boot_ms()
                )
            if (
                self._log.era != self._confirmed_era
                and not await self._confirm_era()
            ):
                return
            append = self._pending_append
            is_repeated = append is not None
            if append is None:
                requested_tokens = self._list_requested_tokens()
                append = self._pending_append = self._plan_append(
                    requested_tokens
                )
                self._apply_sent_append(append)
            result = await self._send(append)
            if self._log.era != append.stamp.era:
                # Whatever became of the append, it counts no more.
                continue
            match result:
                case shared_log.Appended(end):
                    self._pending_append = None
                    self._sequence = append.sequence + 1
                    self._handle_appended(append, end)
                    if not self.has_appended_rows:
                        self.has_appended_rows = self._can_charge()
                    if is_repeated:
                        # Its stamp may be as old as an outage of the log.
                        continue
                    if not self._lacks_tokens():
                        return
                    await self._follower.read_once()
                    if not self._planner.can_raise(
                        self._list_requested_tokens()
                    ):
                        return
                case shared_log.ConditionFailed():
                    self._pending_append = None
                    self._handle_not_appended(append)
                    await self._follower.read_once()
                case shared_log.WrongSequence(expected):
                    # Whether the append is in the log follows from reading it.
                    self._pending_append = None
                    self._sequence = expected
                    if await self._follower.read_once():
                        self._adopt_own_rows()
                case shared_log.Fenced():
                    self._handle_fenced()
                    return
                case shared_log.LogUnavailable() as failure:
                    self._handle_log_unavailable(failure)
                    return

    def _list_requested_tokens(self) -> dict[str, int]:
        """Returns the tokens that waiting requests need of each account."""
        return {
            account: tokens
            for account, tokens in self._requested_tokens.items()
            if tokens
        }

    def _can_charge(self) -> bool:
        """Returns whether requests can be charged, here or to other hosts."""
        accounts = self._list_prepaid_tokens()
        return bool(accounts) and (
            self._joining.has_joined
            or any(
                self.fold.sum_granted(account) > self.fold.sum_spent(account)
                for account in accounts
            )
        )

    def _lacks_tokens(self) -> bool:
        """Returns whether requests still lack tokens after an append."""
        return any(
            self.find_grant(account).find_available(self._clocks.read_boot_ms())
            < tokens
            for account, tokens in self._list_requested_tokens().items()
        )

    def _plan_append(
        self, requested_tokens: dict[str, int]
    ) -> append_planner.Append:
        """Returns the next append, the last one if the process is stopping."""
        stamp = self._make_stamp(self._confirmed_era)
        if self._is_stopping:
            self._own_stamp = attrs.evolve(self._own_stamp, is_leaving=True)
            stamp = attrs.evolve(stamp, is_leaving=True)
            rows = self._planner.plan_return_rows()
            return append_planner.Append(stamp, rows, None, self._sequence)
        if not self._is_hub():
            rows = self._planner.plan_return_rows()
            return append_planner.Append(stamp, rows, None, self._sequence)
        self._has_renewed_stamp = not self._has_renewed_stamp and (
            stamp.boot_ms - self._log_stamp_boot_ms > _MAX_STAMP_AGE_MS
        )
        planned = self._planner.plan_rows(
            requested_tokens, may_change=not self._has_renewed_stamp
        )
        closure = None
        if self._is_fresh() and not self._has_renewed_stamp:
            closure = era_planner.plan_closure(
                self.fold, self._list_prepaid_tokens(), self._era_age_ms
            )
        is_conditional = planned.has_raise or closure is not None
        return append_planner.Append(
            stamp,
            tuple(attrs.evolve(row, era=stamp.era) for row in planned.rows),
            self._follower.position if is_conditional else None,
            self._sequence,
            closure,
        )

    def _apply_sent_append(self, append: append_planner.Append) -> None:
        """Applies the limits of an append to the grants before it is sent."""
        self._last_stamp_boot_ms = append.stamp.boot_ms
        rows = {row.account: row for row in append.rows}
        for account, grant in self._grants.items():
            grant.record_sent_append(rows.get(account), append.stamp.boot_ms)

    async def _send(
        self, append: append_planner.Append
    ) -> shared_log.AppendResult:
        """Sends an append to the log and returns its result."""
        stamps = (append.stamp, *append.missing_stamps)
        records = [grant_fold.encode_stamp(stamp) for stamp in stamps]
        records += [grant_fold.encode_row(row) for row in append.rows]
        if append.closure is not None:
            records.append(grant_fold.encode_closure(append.closure))
        return await self._log.append(
            TOPIC,
            tuple(records),
            shared_log.ProducerStamp(
                self.own_host, self._epoch, append.sequence
            ),
            append.at,
        )

    def _handle_appended(
        self, append: append_planner.Append, end: shared_log.LogPosition
    ) -> None:
        """Applies an append that is known to be in the log.

        Args:
          append: The append.
          end: The end of the topic after it, or a later position.
        """
        if not self.is_connected:
            self.is_connected = True
            decision_log.log_event("grants_connected", epoch=self._epoch)
        self._sequence = append.sequence + 1
        self._log_stamp_boot_ms = append.stamp.boot_ms
        self._has_withdrawn = (
            append.stamp.is_leaving and not self._holds_tokens()
        )
        self._last_append_duration_ms = (
            self._clocks.read_boot_ms() - append.stamp.boot_ms
        )
        self.fold.apply_record(append.stamp)
        self._joining.record_stamp(append.stamp, end, self.fold.era)
        if append.closure is not None:
            self.fold.apply_record(append.closure)
            decision_log.log_failure(
                "era_closed",
                era=append.closure.era,
                unaccounted_tokens=sum(
                    append.closure.unaccounted_tokens.values()
                ),
            )
        for row in append.rows:
            grant = self.find_grant(row.account)
            grant.record_appended_row(row, append.stamp.boot_ms)
            self.fold.apply_record(row)

    def _handle_not_appended(self, append: append_planner.Append) -> None:
        """Discards an append that is known not to be in the log."""
        self.is_connected = True
        for row in append.rows:
            self.find_grant(row.account).discard_sent_row(row)

    def _adopt_own_rows(self) -> None:
        """Replaces the limits of the grants by this host's rows in the log.

        A row that grants less than is committed is left out: the grant must
        never fall below the committed tokens.
        """
        for row in self.fold.list_host_rows(self.own_host):
            grant = self.find_grant(row.account)
            if (
                row.era == self._confirmed_era
                and row.granted_tokens >= grant.committed_tokens
            ):
                grant.record_appended_row(row, self._last_stamp_boot_ms)

    def _handle_log_unavailable(
        self, failure: shared_log.LogUnavailable
    ) -> None:
        """Marks the log as unreachable."""
        if self.is_connected:
            decision_log.log_event("grants_cut_off", reason=failure.message)
        self.is_connected = False

    def _handle_fenced(self) -> None:
        """Stops spending, since a later process of this host has taken over."""
        decision_log.log_failure("grants_fenced", epoch=self._epoch)
        self._is_fenced = True
        self.is_connected = False
        self.has_taken_over = False
        for grant in self._grants.values():
            grant.granted_tokens = grant.committed_tokens
