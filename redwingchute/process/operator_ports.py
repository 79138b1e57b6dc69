"""What operators' commands need of the rest of the process.

The command executor works through these narrow interfaces, so that it is
tested with fakes and the daemon plugs in its parts.
"""

import dataclasses
from typing import Protocol
from typing import TypeAlias

import attrs

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import status
from redwingchute.version import changes


@dataclasses.dataclass(frozen=True)
class SubmissionUnknown:
    """The log may hold the record; its verdict could not be read yet."""

    record_id: bytes


@dataclasses.dataclass(frozen=True)
class SubmissionFailed:
    """The log did not take the record; the change did not take effect."""

    message: str


Submission: TypeAlias = (
    changes.ChangeVerdict | SubmissionUnknown | SubmissionFailed
)


class ConfigurationStream(Protocol):
    """The configuration in force and the way to change it."""

    def find_current(self) -> configuration.Configuration | None:
        """Returns the version in force, or None before the first one."""

    def find_author(self) -> str:
        """Returns who made the version in force."""

    def list_audit(self) -> tuple[changes.AuditEntry, ...]:
        """Returns the newest entries of the audit trail, oldest first."""

    async def submit(
        self, record: changes.ConfigurationChange | changes.AuditNote
    ) -> Submission:
        """Appends a record and waits for its verdict."""


@attrs.frozen
class Balances:
    """The balances of budgets, as far as shard owners answered.

    Attributes:
      balances: One for each budget.
      missing_shards: Shards whose owner did not answer.
    """

    balances: tuple[data.BudgetBalance, ...]
    missing_shards: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class LedgerUnavailable:
    """No verdict came; the entry may have taken effect."""

    message: str


class BudgetLedger(Protocol):
    """The ledger, as operators see it."""

    async def read_balances(self) -> Balances:
        """Returns the balances of all budgets."""

    async def read_balance(self, budget: str) -> data.BudgetBalance | None:
        """Returns the balance of a budget, or None when it is not known."""

    async def commit(
        self, entry: data.Credit | data.Release | data.Resolve
    ) -> data.Verdict | LedgerUnavailable:
        """Commits one entry and returns the verdict on it."""


class Fleet(Protocol):
    """The routers and their status."""

    def list_reachable(self) -> tuple[data.Host, ...]:
        """Returns the hosts in view, leaving ones included."""

    def list_unreachable(self) -> tuple[tuple[data.Host, int], ...]:
        """Returns known hosts out of the view, and since when in ms."""

    async def gather(
        self, query: status.StatusQuery
    ) -> tuple[status.StatusReport, ...]:
        """Returns the reports of the hosts in view that answered."""


class QuarantineList(Protocol):
    """The requests that are refused after crashes."""

    def list_entries(self) -> tuple[status.QuarantinedRequest, ...]:
        """Returns the entries in force."""

    def lift(self, account: str, digest: bytes, author: str) -> bool:
        """Ends a quarantine everywhere; False when there is none."""
