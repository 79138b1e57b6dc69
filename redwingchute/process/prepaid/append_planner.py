"""Plans the grant rows that a router's next append contains, and holds it."""

from collections.abc import Callable

import attrs

from redwingchute.core import prepaid
from redwingchute.process import shared_log
from redwingchute.process.prepaid import grant as grant_lib
from redwingchute.process.prepaid import grant_fold
from redwingchute.process.prepaid import grant_planner


@attrs.frozen
class Append:
    """An append whose outcome may not be known yet.

    Attributes:
      stamp: The host's stamp at the time of the append.
      rows: The rows that changed.
      at: The end of the topic that the append requires; None if it is
        unconditional.
      sequence: The sequence number of the append within the epoch.
      closure: The closure of the era, if it is written or changed.
      missing_stamps: Stamps of other hosts that the log has lost.
    """

    stamp: prepaid.HostStamp
    rows: tuple[prepaid.GrantRow, ...]
    at: shared_log.LogPosition | None
    sequence: int
    closure: prepaid.EraClosure | None = None
    missing_stamps: tuple[prepaid.HostStamp, ...] = ()


@attrs.frozen
class PlannedRows:
    """The rows of an append.

    Attributes:
      rows: At most one row for each account.
      has_raise: Whether a row raises a grant. The append must then take
        effect only if no other record was appended since the rows of other
        hosts were read.
    """

    rows: tuple[prepaid.GrantRow, ...]
    has_raise: bool


class AppendPlanner:
    """Plans the rows of one router for all accounts with prepaid tokens."""

    def __init__(
        self,
        host: str,
        fold: grant_fold.GrantFold,
        grants: dict[str, grant_lib.Grant],
        list_prepaid_tokens: Callable[[], dict[str, int]],
        read_boot_ms: Callable[[], int],
        policy: grant_planner.GrantPolicy,
        is_suspended: Callable[[], bool],
    ) -> None:
        """Creates the planner of a router.

        Args:
          host: The router's host.
          fold: The rows of all hosts.
          grants: The router's grants by account.
          list_prepaid_tokens: Returns the prepaid tokens of each account.
          read_boot_ms: Returns the time on the boot clock.
          policy: How grants are sized.
          is_suspended: Returns whether grants must stay as they are for now.
        """
        self._host = host
        self._fold = fold
        self._grants = grants
        self._list_prepaid_tokens = list_prepaid_tokens
        self._read_boot_ms = read_boot_ms
        self._policy = policy
        self._is_suspended = is_suspended

    @property
    def can_change(self) -> bool:
        """Whether grants may be raised or lowered.

        They may not while it is unknown what other hosts hold. A host keeps
        its grant meanwhile, since what it returned could not be granted.
        """
        return not self._is_suspended() and self._fold.can_raise

    def keep_only_requested(self) -> None:
        """Plans grants of what is committed and requested from now on."""
        self._policy = attrs.evolve(self._policy, allocated_share=0.0)

    def plan_rows(
        self, requested_tokens: dict[str, int], may_change: bool = True
    ) -> PlannedRows:
        """Returns the rows that have to be written now.

        Args:
          requested_tokens: The tokens that waiting requests need of each
            account.
          may_change: Whether grants may be raised or lowered; only spent
            tokens and ceilings change otherwise.
        """
        rows = []
        has_raise = False
        can_change = may_change and self.can_change
        for account, prepaid_tokens in self._list_prepaid_tokens().items():
            grant, plan_input, granted_tokens = self._plan_grant(
                account, prepaid_tokens, requested_tokens, can_change
            )
            due_tokens = grant_planner.find_due_tokens(
                grant, self._fold, plan_input, self._policy
            )
            row = grant_planner.plan_row(
                grant, granted_tokens, due_tokens, plan_input, self._policy
            )
            if account in requested_tokens or grant_planner.needs_writing(
                row, grant.row, grant.is_above_ceiling, self._policy
            ):
                rows.append(row)
                has_raise |= granted_tokens > grant.granted_tokens
        return PlannedRows(tuple(rows), has_raise)

    def plan_return_rows(self) -> tuple[prepaid.GrantRow, ...]:
        """Lowers each grant to its committed tokens; returns changed rows.

        Committed tokens are spent or reserved; all others are returned.
        """
        rows = []
        for grant in self._grants.values():
            if grant.row is None:
                continue
            grant.lower(grant.committed_tokens)
            row = attrs.evolve(
                grant.row,
                granted_tokens=grant.granted_tokens,
                ceiling_tokens=grant.granted_tokens,
                spent_tokens=grant.spent_tokens,
                unsure_tokens=grant.unsure_tokens,
                demand_tokens_per_s=0.0,
                reserved_tokens=grant.reserved_tokens,
            )
            if row != grant.row:
                rows.append(row)
        return tuple(rows)

    def plan_confirmed_rows(self) -> tuple[prepaid.GrantRow, ...]:
        """Returns the rows that state all that this router may spend."""
        return tuple(
            grant_planner.plan_row(
                grant,
                grant.granted_tokens,
                grant.free_tokens,
                self._make_plan_input(0, 0),
                self._policy,
            )
            for grant in self._grants.values()
            if grant.granted_tokens or grant.row is not None
        )

    def can_raise(self, requested_tokens: dict[str, int]) -> bool:
        """Returns whether a grant that requests wait for can be raised.

        Args:
          requested_tokens: The tokens that waiting requests need of each
            account.
        """
        if not self.can_change:
            return False
        all_prepaid_tokens = self._list_prepaid_tokens()
        for account in requested_tokens.keys() & all_prepaid_tokens.keys():
            grant, _, granted_tokens = self._plan_grant(
                account, all_prepaid_tokens[account], requested_tokens, True
            )
            if granted_tokens > grant.granted_tokens:
                return True
        return False

    def _plan_grant(
        self,
        account: str,
        prepaid_tokens: int,
        requested_tokens: dict[str, int],
        can_change: bool,
    ) -> tuple[grant_lib.Grant, grant_planner.PlanInput, int]:
        """Plans the grant of one account, which stays if it cannot change.

        Returns:
          The current grant, the input of its plan, and the tokens that it
          should have.
        """
        grant = grant_lib.get_or_create_grant(self._grants, account)
        plan_input = self._make_plan_input(
            prepaid_tokens, requested_tokens.get(account, 0)
        )
        granted_tokens = grant.granted_tokens
        if can_change:
            granted_tokens = grant_planner.plan_grant(
                grant, self._fold, plan_input, self._policy
            )
        return grant, plan_input, granted_tokens

    def _make_plan_input(
        self, prepaid_tokens: int, requested_tokens: int
    ) -> grant_planner.PlanInput:
        """Returns the input of a plan at the present time."""
        return grant_planner.PlanInput(
            host=self._host,
            prepaid_tokens=prepaid_tokens,
            host_count=len(self._fold.list_active_stamps()),
            requested_tokens=requested_tokens,
            boot_ms=self._read_boot_ms(),
        )
