"""Maintains this router's grants in the shared log.

Every append carries the host's stamp (its address, the epoch of its process and
the times of its clocks) and the grant rows that changed. It is repeated
unchanged until its outcome is known, so that the log never holds a row whose
limits the host does not obey. An append that raises a grant is conditional: it
takes effect only if no other record was appended since the rows were read.

Only hubs hold grants, see `hub_choice`. The manager of another router appends
and reads nothing, unless it still has to return the tokens of a time when its
host was a hub.
"""

import asyncio
from collections.abc import Callable
import contextlib

import attrs

from redwingchute.core import prepaid
from redwingchute.process import decision_log
from redwingchute.process import era_log
from redwingchute.process import invariants
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.process.prepaid import append_planner
from redwingchute.process.prepaid import grant as grant_lib
from redwingchute.process.prepaid import grant_fold
from redwingchute.process.prepaid import grant_planner
from redwingchute.process.prepaid import predecessor_grants

# The topic of the shared log that holds the grant rows and host stamps.
TOPIC = "keyed.grants"

# The interval at which stamps and changed rows are appended. What a successor
# has to count as spent grows with the age of the last stamp.
_APPEND_INTERVAL_MS = 500
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


@attrs.frozen
class _Append:
    """An append whose outcome may not be known yet.

    Attributes:
      stamp: The host's stamp at the time of the append.
      rows: The rows that changed.
      at: The end of the topic that the append requires; None if it is
        unconditional.
      sequence: The sequence number of the append within the epoch.
    """

    stamp: prepaid.HostStamp
    rows: tuple[prepaid.GrantRow, ...]
    at: shared_log.LogPosition | None
    sequence: int


class GrantManager:
    """Takes over, maintains and returns the grants of one router.

    Attributes:
      fold: The rows and stamps of all hosts, as last read.
      has_taken_over: Whether this process has taken over the grants of the
        previous process on its host.
      is_connected: Whether the log replied to the last append, and did not
        reply that this process is fenced.
      has_appended_rows: Whether an append has succeeded since accounts with
        prepaid tokens became known.
      is_active: Whether the manager appends and reads rows.
    """

    def __init__(
        self,
        log: era_log.EraLog,
        own_stamp: prepaid.HostStamp,
        clocks: Clocks,
        list_prepaid_tokens: Callable[[], dict[str, int]],
        is_hub: Callable[[], bool] = lambda: True,
        policy: grant_planner.GrantPolicy | None = None,
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
        )
        self._grants: dict[str, grant_lib.Grant] = {}
        self._planner = append_planner.AppendPlanner(
            own_stamp.host,
            self.fold,
            self._grants,
            list_prepaid_tokens,
            clocks.read_boot_ms,
            self._policy,
        )
        # What other routers reported as spent, by account and host.
        self._peer_spent_tokens: dict[tuple[str, str], int] = {}
        # What waiting requests need, by account.
        self._requested_tokens: dict[str, int] = {}
        self._append_requested = asyncio.Event()
        # Set at the end of the current append round; each round has its own.
        self._round_finished = asyncio.Event()
        # The previous process on this host ended before this one started.
        self._predecessor = predecessor_grants.PredecessorGrants(
            clocks.read_boot_ms(), clocks.read_wall_ms()
        )
        self._epoch = 0
        self._sequence = 0
        self._last_append_duration_ms = 0
        self._last_stamp_boot_ms = 0
        self._pending_append: _Append | None = None
        # The last takeover that was sent; its outcome may not be known.
        self._sent_takeover: _Append | None = None
        self._is_stopping = False
        self._is_fenced = False
        # Whether the last append of a router that is no hub any more returned
        # all tokens.
        self._has_withdrawn = False

    @property
    def own_host(self) -> str:
        """The name of this router's host."""
        return self._own_stamp.host

    @property
    def is_lending(self) -> bool:
        """Whether this router is a hub that can charge for other routers."""
        return (
            self._is_hub() and self.has_appended_rows and not self._is_stopping
        )

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
        ungranted_tokens = (
            prepaid_tokens - others_granted_tokens - grant.committed_tokens
        )
        return max(grant.free_tokens, ungranted_tokens)

    def find_max_remaining(self, account: str, prepaid_tokens: int) -> int:
        """Returns an upper bound of an account's tokens for further requests.

        Subtracts what is spent or reserved at this router. For each other host
        it subtracts the spent tokens of its row, or what its router reported as
        spent if that is more. Unsure tokens of rows and of this router's grant,
        which a crashed process may not have spent, are not subtracted: the
        account may have them left.

        Args:
          account: The client account.
          prepaid_tokens: All tokens that the account has prepaid.
        """
        others_spent_tokens = sum(
            max(
                row.spent_tokens - row.unsure_tokens,
                self._peer_spent_tokens.get((account, row.host), 0),
            )
            for row in self.fold.list_rows(account)
            if row.host != self.own_host
        )
        grant = self.find_grant(account)
        own_spent_tokens = grant.committed_tokens - grant.unsure_tokens
        return prepaid_tokens - others_spent_tokens - own_spent_tokens

    def find_max_obtainable(self, account: str, prepaid_tokens: int) -> int:
        """Returns an upper bound of what requests can reserve at present.

        It is at most `find_max_remaining`: unsure tokens are subtracted, since
        no router can reserve them until they are released.

        Args:
          account: The client account.
          prepaid_tokens: All tokens that the account has prepaid.
        """
        others_spent_tokens = sum(
            max(
                row.spent_tokens,
                self._peer_spent_tokens.get((account, row.host), 0),
            )
            for row in self.fold.list_rows(account)
            if row.host != self.own_host
        )
        committed_tokens = self.find_grant(account).committed_tokens
        return prepaid_tokens - others_spent_tokens - committed_tokens

    def record_peer_spent(
        self, account: str, host: str, spent_tokens: int
    ) -> None:
        """Records the spent tokens that another router reported.

        Args:
          account: The client account.
          host: The host of the other router.
          spent_tokens: All tokens of the account that it counts as spent.
        """
        key = (account, host)
        recorded_tokens = self._peer_spent_tokens.get(key, 0)
        self._peer_spent_tokens[key] = max(recorded_tokens, spent_tokens)

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

    def _make_stamp(self) -> prepaid.HostStamp:
        """Returns a stamp of this host with the current times."""
        return attrs.evolve(
            self._own_stamp,
            epoch=self._epoch,
            boot_ms=self._clocks.read_boot_ms(),
            wall_ms=self._clocks.read_wall_ms(),
            is_leaving=self._own_stamp.is_leaving or not self._is_hub(),
        )

    async def _take_over(self) -> None:
        """Fences the previous process on this host and takes over its grants.

        The takeover is appended unconditionally. The previous process spent
        only under rows that the log had confirmed before it ended, so a row of
        it that the log accepts after this process has read was never used.
        """
        while not self.has_taken_over:
            if not await self._follower.read_once():
                await asyncio.sleep(_LOG_RETRY_S)
                continue
            previous_stamp = self.fold.stamps.get(self.own_host)
            takeover = self._sent_takeover
            if takeover is not None and takeover.stamp == previous_stamp:
                # Only the response to the takeover was lost.
                self._finish_takeover(takeover)
                break
            wall_s = self._clocks.read_wall_ms() // 1000
            self._epoch = max(
                self._epoch + 1,
                wall_s,
                previous_stamp.epoch + 1 if previous_stamp else 0,
            )
            if takeover is None:
                self._load_predecessor_grants()
            await self._append_takeover()
        # The takeover stamp makes the other hosts count this one; wait for the
        # stamps of hosts that start at the same time.
        if not self.fold.list_host_rows(self.own_host):
            await asyncio.sleep(_PEER_STAMPS_WAIT_S)

    def _load_predecessor_grants(self) -> None:
        """Loads the grants of the previous process on this host."""
        boot_ms = self._clocks.read_boot_ms()
        self._predecessor.load(self.own_host, self.fold)
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
                rise_tokens_per_s=row.rise_tokens_per_s,
                released_tokens=released_tokens,
                stamp_age_ms=age_bound.age_ms,
                proof=age_bound.source,
            )
        self._predecessor.rows = ()

    async def _append_takeover(self) -> None:
        """Appends this process's first stamp and the rows that it took over."""
        stamp = self._make_stamp()
        rows = tuple(
            attrs.evolve(
                row,
                spent_tokens=self.find_grant(row.account).spent_tokens,
                unsure_tokens=self.find_grant(row.account).unsure_tokens,
                ceiling_tokens=self.find_grant(row.account).spent_tokens,
            )
            for row in self.fold.list_host_rows(self.own_host)
        )
        append = self._sent_takeover = _Append(stamp, rows, None, 0)
        result = await self._send(append)
        if isinstance(result, shared_log.Appended):
            self._finish_takeover(append)
        else:
            self.is_connected = False
            await asyncio.sleep(_LOG_RETRY_S)

    def _finish_takeover(self, takeover: _Append) -> None:
        """Applies the takeover, which is known to be in the log."""
        self.has_taken_over = True
        self._handle_appended(takeover)
        decision_log.log_event("grants_taken_over", epoch=self._epoch)

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
                        _APPEND_INTERVAL_MS / 1000,
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
                await asyncio.sleep(_APPEND_INTERVAL_MS / 1000)

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
            append = self._pending_append
            if append is None:
                requested_tokens = self._list_requested_tokens()
                append = self._pending_append = self._plan_append(
                    requested_tokens
                )
                self._apply_sent_append(append)
            match await self._send(append):
                case shared_log.Appended():
                    self._pending_append = None
                    self._sequence = append.sequence + 1
                    self._handle_appended(append)
                    self.has_appended_rows |= bool(self._list_prepaid_tokens())
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

    def _lacks_tokens(self) -> bool:
        """Returns whether requests still lack tokens after an append."""
        return any(
            self.find_grant(account).find_available(self._clocks.read_boot_ms())
            < tokens
            for account, tokens in self._list_requested_tokens().items()
        )

    def _plan_append(self, requested_tokens: dict[str, int]) -> _Append:
        """Returns the next append, the last one if the process is stopping."""
        if self._is_stopping:
            self._own_stamp = attrs.evolve(self._own_stamp, is_leaving=True)
            rows = self._planner.plan_return_rows()
            return _Append(self._make_stamp(), rows, None, self._sequence)
        if not self._is_hub():
            rows = self._planner.plan_return_rows()
            return _Append(self._make_stamp(), rows, None, self._sequence)
        planned = self._planner.plan_rows(requested_tokens)
        at = self._follower.position if planned.has_raise else None
        return _Append(self._make_stamp(), planned.rows, at, self._sequence)

    def _apply_sent_append(self, append: _Append) -> None:
        """Applies the limits of an append to the grants before it is sent."""
        self._last_stamp_boot_ms = append.stamp.boot_ms
        rows = {row.account: row for row in append.rows}
        for account, grant in self._grants.items():
            grant.record_sent_append(rows.get(account), append.stamp.boot_ms)

    async def _send(self, append: _Append) -> shared_log.AppendResult:
        """Sends an append to the log and returns its result."""
        records = [grant_fold.encode_stamp(append.stamp)]
        records += [grant_fold.encode_row(row) for row in append.rows]
        return await self._log.append(
            TOPIC,
            tuple(records),
            shared_log.ProducerStamp(
                self.own_host, self._epoch, append.sequence
            ),
            append.at,
        )

    def _handle_appended(self, append: _Append) -> None:
        """Applies an append that is known to be in the log."""
        if not self.is_connected:
            self.is_connected = True
            decision_log.log_event("grants_connected", epoch=self._epoch)
        self._sequence = append.sequence + 1
        self._has_withdrawn = (
            append.stamp.is_leaving and not self._holds_tokens()
        )
        self._last_append_duration_ms = (
            self._clocks.read_boot_ms() - append.stamp.boot_ms
        )
        self.fold.apply_record(append.stamp)
        for row in append.rows:
            grant = self.find_grant(row.account)
            grant.record_appended_row(row, append.stamp.boot_ms)
            self.fold.apply_record(row)

    def _handle_not_appended(self, append: _Append) -> None:
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
            if row.granted_tokens >= grant.committed_tokens:
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
