"""Keeps this router's grants in the shared log.

Every append carries the host's stamp and the rows that changed. It is repeated
unchanged until its outcome is known, so that the log never holds a row that
its host does not obey. An append that raises a grant takes effect only if no
other row came in between.
"""

import asyncio
from collections.abc import Callable
import contextlib

import attrs

from redwingchute.core import prepaid
from redwingchute.process import decision_log
from redwingchute.process import invariants
from redwingchute.process import keyed_follower
from redwingchute.process import shared_log
from redwingchute.process.prepaid import append_planner
from redwingchute.process.prepaid import grant as grant_lib
from redwingchute.process.prepaid import grant_fold
from redwingchute.process.prepaid import grant_planner
from redwingchute.process.prepaid import inheritance

TOPIC = "keyed.grants"

# Stamps are written this often, and rows with them: what a successor counts
# as spent grows with their age.
_APPEND_INTERVAL_MS = 500
# Appends that took longer are of no use to a request that waits.
_MAX_AWAITED_APPEND_MS = 60
# Others' rows are read this often when nothing is raised.
_READ_PACE = keyed_follower.FollowPace(wait_ms=0, interval_ms=2_000)
_LOG_RETRY_S = 0.15
# Others start at the same time; their stamps say among how many to divide.
_PEER_STAMPS_WAIT_S = 0.5
_MAX_APPENDS_PER_ROUND = 6
# Appends that a request waits for: the one in progress, its own, one more.
_MAX_ROUNDS_AWAITED = 3


@attrs.frozen
class Clocks:
    """The clocks of a host; each returns milliseconds.

    Attributes:
      read_boot_ms: Counts on while the host is suspended.
      read_wall_ms: The time of day; may jump.
    """

    read_boot_ms: Callable[[], int]
    read_wall_ms: Callable[[], int]


@attrs.frozen
class _Append:
    """An append whose outcome may not be known yet."""

    stamp: prepaid.HostStamp
    rows: tuple[prepaid.GrantRow, ...]
    at_offset: int | None
    sequence: int


class GrantKeeper:
    """The grants of one router.

    Attributes:
      fold: The rows and stamps of all hosts, as last read.
      is_taken_over: Whether the grants of the process before are this one's.
      is_connected: Whether the last append was answered.
      has_planned: Whether rows were appended for the accounts once.
    """

    def __init__(
        self,
        log: shared_log.SharedLog,
        own_stamp: prepaid.HostStamp,
        clocks: Clocks,
        find_prepaid: Callable[[], dict[str, int]],
        note_host: Callable[[prepaid.HostStamp], None] = lambda stamp: None,
        policy: grant_planner.GrantPolicy | None = None,
    ) -> None:
        """Prepares the keeper.

        Args:
          log: The shared log.
          own_stamp: The host, its zone and address; times are filled in.
          clocks: The host's clocks.
          find_prepaid: Returns the prepaid tokens of each account.
          note_host: Called with each new stamp of a host.
          policy: How grants are sized.
        """
        self.fold = grant_fold.GrantFold()
        self.is_taken_over = False
        self.is_connected = False
        self.has_planned = False
        self._log = log
        self._own_stamp = own_stamp
        self._clocks = clocks
        self._find_prepaid = find_prepaid
        self._note_host = note_host
        self._policy = policy or grant_planner.GrantPolicy()
        self._follower = keyed_follower.KeyedFollower(
            log, TOPIC, _READ_PACE, clocks.read_boot_ms, self._handle_record
        )
        self._grants: dict[str, grant_lib.Grant] = {}
        self._planner = append_planner.AppendPlanner(
            own_stamp.host,
            self.fold,
            self._grants,
            find_prepaid,
            clocks.read_boot_ms,
            self._policy,
        )
        self._peer_spent_tokens: dict[tuple[str, str], int] = {}
        self._requested_tokens: dict[str, int] = {}
        self._append_requested = asyncio.Event()
        self._round_finished = asyncio.Event()
        # The process before on this host ended before this one started.
        self._inheritance = inheritance.Inheritance(
            clocks.read_boot_ms(), clocks.read_wall_ms()
        )
        self._epoch = 0
        self._sequence = 0
        self._last_append_duration_ms = 0
        self._last_stamp_boot_ms = 0
        self._pending_append: _Append | None = None
        self._is_stopping = False

    @property
    def own_host(self) -> str:
        """This router's host."""
        return self._own_stamp.host

    def find_grant(self, account: str) -> grant_lib.Grant:
        """Returns the counts of an account, empty ones when it is new."""
        return grant_lib.find_grant(self._grants, account)

    def reserve(self, account: str, tokens: int) -> bool:
        """Reserves tokens of this router's grant, if they are available."""
        return self.find_grant(account).reserve(
            tokens, self._clocks.read_boot_ms()
        )

    def reserve_part(self, account: str, tokens: int) -> int:
        """Reserves as many of the tokens as are available."""
        grant = self.find_grant(account)
        boot_ms = self._clocks.read_boot_ms()
        available_tokens = min(tokens, grant.find_available(boot_ms))
        grant.reserve(available_tokens, boot_ms)
        return available_tokens

    async def reserve_with_raise(
        self, account: str, tokens: int, timeout_s: float
    ) -> int:
        """Reserves tokens, raising the grant or its ceiling if need be.

        Args:
          account: The client account.
          tokens: What a request needs.
          timeout_s: How long it may wait.

        Returns:
          The tokens that are reserved; fewer than asked when this router
          cannot get more.
        """
        goal_tokens = min(tokens, self._find_max_grantable(account))
        if goal_tokens <= 0 or not self._can_await_append():
            return self.reserve_part(account, tokens)
        self._requested_tokens[account] = (
            self._requested_tokens.get(account, 0) + goal_tokens
        )
        try:
            async with asyncio.timeout(timeout_s):
                # The first turn may have been planned before the request.
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
        return self.reserve_part(account, tokens)

    def _can_await_append(self) -> bool:
        """Tells whether an append is likely done while a request waits."""
        if not self.is_connected or not self.is_taken_over:
            return False
        append_duration_ms = self._last_append_duration_ms
        if self._pending_append is not None:
            sent_ms = self._pending_append.stamp.boot_ms
            append_duration_ms = max(
                append_duration_ms, self._clocks.read_boot_ms() - sent_ms
            )
        return append_duration_ms <= _MAX_AWAITED_APPEND_MS

    def _find_max_grantable(self, account: str) -> int:
        """Returns the most tokens that this router may get by an append.

        What others granted since the last read can make it less.
        """
        grant = self.find_grant(account)
        others_granted_tokens = self.fold.sum_granted(
            account, besides=self.own_host
        )
        prepaid_tokens = self._find_prepaid().get(account, 0)
        ungranted_tokens = (
            prepaid_tokens - others_granted_tokens - grant.committed_tokens
        )
        return max(grant.free_tokens, ungranted_tokens)

    def find_remaining(self, account: str, prepaid_tokens: int) -> int:
        """Returns the most that can be left of an account.

        Only what is surely spent is taken off, so that nobody is told that an
        account is empty which is not.
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

    def note_spent(self, account: str, host: str, spent_tokens: int) -> None:
        """Takes what another router said that it has surely spent."""
        key = (account, host)
        recorded_tokens = self._peer_spent_tokens.get(key, 0)
        self._peer_spent_tokens[key] = max(recorded_tokens, spent_tokens)

    async def run(self) -> None:
        """Keeps the grants until cancelled."""
        await self._take_over()
        await asyncio.gather(self._follower.run(), self._run_appends())

    async def stop(self, timeout_s: float) -> None:
        """Returns what is not spent, before a planned end."""
        self._is_stopping = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self._own_stamp.is_leaving or self._pending_append:
                    round_finished = self._round_finished
                    self._append_requested.set()
                    await round_finished.wait()

    def find_release_ms(self, account: str, tokens: int) -> int | None:
        """Returns in how many ms the grant alone covers a request, or None."""
        boot_ms = self._clocks.read_boot_ms()
        return self.find_grant(account).find_release_ms(tokens, boot_ms)

    async def wait_until_started(self, timeout_s: float) -> None:
        """Waits until this process has its grants, or for the time given."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self.has_planned:
                    await self._round_finished.wait()

    def _handle_record(self, record: shared_log.KeyedRecord) -> None:
        """Takes a record of the topic."""
        if not record.value:
            return
        decoded = grant_fold.decode_record(record.value)
        if decoded is None:
            decision_log.log_failure(
                "grant_record_unreadable", key=record.key, offset=record.offset
            )
            return
        self.fold.take(decoded)
        if isinstance(decoded, prepaid.HostStamp):
            if self.is_taken_over and decoded.host != self.own_host:
                self._inheritance.note_stamp(decoded)
            self._note_host(decoded)

    def _make_stamp(self) -> prepaid.HostStamp:
        """Returns the host's stamp as of now."""
        return attrs.evolve(
            self._own_stamp,
            epoch=self._epoch,
            boot_ms=self._clocks.read_boot_ms(),
            wall_ms=self._clocks.read_wall_ms(),
        )

    async def _take_over(self) -> None:
        """Fences off the process before on this host and takes its grants.

        What the former process spent, it spent by rows that were in the log
        before it ended; a row of its that comes later was never used.
        """
        while not self.is_taken_over:
            if not await self._follower.read_once():
                await asyncio.sleep(_LOG_RETRY_S)
                continue
            previous_stamp = self.fold.stamps.get(self.own_host)
            wall_s = self._clocks.read_wall_ms() // 1000
            self._epoch = max(
                self._epoch + 1,
                wall_s,
                previous_stamp.epoch + 1 if previous_stamp else 0,
            )
            self._load_predecessor_grants()
            await self._append_takeover()
        # A stamp tells the others that this host takes part; theirs arrive.
        if not self.fold.list_own_rows(self.own_host):
            await asyncio.sleep(_PEER_STAMPS_WAIT_S)

    def _load_predecessor_grants(self) -> None:
        """Takes the counts of the process before on this host."""
        boot_ms = self._clocks.read_boot_ms()
        self._inheritance.take(self.own_host, self.fold)
        for row in self._inheritance.rows:
            self.find_grant(row.account).inherit(row, boot_ms)
        self._release_predecessor_tokens()

    def _release_predecessor_tokens(self) -> None:
        """Counts as spent what the former process can have spent, if known."""
        if not self._inheritance.rows:
            return
        proof = self._inheritance.find_proof(self._clocks.read_boot_ms())
        if proof is None:
            return
        for row in self._inheritance.rows:
            released_tokens = self.find_grant(row.account).release_unspent(
                row, inheritance.find_most_spent(row, proof)
            )
            decision_log.log_event(
                "grant_inherited",
                account=row.account,
                granted_tokens=row.granted_tokens,
                recorded_tokens=row.spent_tokens,
                ceiling_tokens=row.ceiling_tokens,
                rise_tokens_per_s=row.rise_tokens_per_s,
                released_tokens=released_tokens,
                stamp_age_ms=proof.age_ms,
                proof=proof.source,
            )
        self._inheritance.rows = ()

    async def _append_takeover(self) -> None:
        """Appends the first stamp and the inherited rows of this process."""
        stamp = self._make_stamp()
        rows = tuple(
            attrs.evolve(
                row,
                spent_tokens=self.find_grant(row.account).spent_tokens,
                unsure_tokens=self.find_grant(row.account).unsure_tokens,
                ceiling_tokens=self.find_grant(row.account).spent_tokens,
            )
            for row in self.fold.list_own_rows(self.own_host)
        )
        append = _Append(stamp, rows, None, 0)
        result = await self._send(append)
        if isinstance(result, shared_log.Appended):
            self.is_taken_over = True
            self._handle_appended(append)
            decision_log.log_event("grants_taken_over", epoch=self._epoch)
        else:
            self.is_connected = False
            await asyncio.sleep(_LOG_RETRY_S)

    async def _run_appends(self) -> None:
        """Appends stamps and rows as they are due."""
        while True:
            if not self._is_stopping:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._append_requested.wait(),
                        _APPEND_INTERVAL_MS / 1000,
                    )
            self._append_requested.clear()
            if self._inheritance.rows:
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
        """Reports a grant of which more is committed than it holds."""
        for grant in self._grants.values():
            invariants.check(
                grant.committed_tokens <= grant.granted_tokens,
                "spending_above_grant",
                account=grant.account,
                granted_tokens=grant.granted_tokens,
                committed_tokens=grant.committed_tokens,
            )

    async def _run_append_round(self) -> None:
        """Plans and appends until one append took effect or none can."""
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
                    self.has_planned |= bool(self._find_prepaid())
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
                    # Whether the append is in the log shows when it is read.
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
            account: n for account, n in self._requested_tokens.items() if n
        }

    def _lacks_tokens(self) -> bool:
        """Tells whether requests still lack tokens after an append."""
        return any(
            self.find_grant(account).find_available(self._clocks.read_boot_ms())
            < tokens
            for account, tokens in self._list_requested_tokens().items()
        )

    def _plan_append(self, requested_tokens: dict[str, int]) -> _Append:
        """Returns the append that is due now."""
        if self._is_stopping:
            self._own_stamp = attrs.evolve(self._own_stamp, is_leaving=True)
            rows = self._planner.plan_last_rows()
            return _Append(self._make_stamp(), rows, None, self._sequence)
        planned = self._planner.plan_rows(requested_tokens)
        at_offset = self._follower.next_offset if planned.has_raise else None
        return _Append(
            self._make_stamp(), planned.rows, at_offset, self._sequence
        )

    def _apply_sent_append(self, append: _Append) -> None:
        """Binds this router to what may be in the log soon."""
        self._last_stamp_boot_ms = append.stamp.boot_ms
        rows = {row.account: row for row in append.rows}
        for account, grant in self._grants.items():
            grant.note_sending(rows.get(account), append.stamp.boot_ms)

    async def _send(self, append: _Append) -> shared_log.AppendResult:
        """Sends an append."""
        records = [grant_fold.encode_stamp(append.stamp)]
        records += [grant_fold.encode_row(row) for row in append.rows]
        return await self._log.append(
            TOPIC,
            tuple(records),
            shared_log.ProducerStamp(
                self.own_host, self._epoch, append.sequence
            ),
            append.at_offset,
        )

    def _handle_appended(self, append: _Append) -> None:
        """Obeys an append that is in the log."""
        if not self.is_connected:
            self.is_connected = True
            decision_log.log_event("grants_connected", epoch=self._epoch)
        self._sequence = append.sequence + 1
        self._last_append_duration_ms = (
            self._clocks.read_boot_ms() - append.stamp.boot_ms
        )
        self.fold.take(append.stamp)
        for row in append.rows:
            grant = self.find_grant(row.account)
            grant.note_appended(row, append.stamp.boot_ms)
            self.fold.take(row)

    def _handle_not_appended(self, append: _Append) -> None:
        """Forgets an append that is not in the log."""
        self.is_connected = True
        for row in append.rows:
            self.find_grant(row.account).note_not_appended(row)

    def _adopt_own_rows(self) -> None:
        """Obeys this host's rows as the log holds them."""
        for row in self.fold.list_own_rows(self.own_host):
            grant = self.find_grant(row.account)
            if row.granted_tokens >= grant.committed_tokens:
                grant.note_appended(row, self._last_stamp_boot_ms)

    def _handle_log_unavailable(
        self, failure: shared_log.LogUnavailable
    ) -> None:
        """Notes that the log does not answer."""
        if self.is_connected:
            decision_log.log_event("grants_cut_off", reason=failure.message)
        self.is_connected = False

    def _handle_fenced(self) -> None:
        """Stops spending: a later process of this host is at work."""
        decision_log.log_failure("grants_fenced", epoch=self._epoch)
        self.is_connected = False
        self.is_taken_over = False
        for grant in self._grants.values():
            grant.granted_tokens = grant.committed_tokens
