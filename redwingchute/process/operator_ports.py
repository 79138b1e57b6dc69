"""The interfaces through which operators' commands use the process.

The command executor only depends on these protocols. The router implements
them in `operator_adapters`; tests use fakes.
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
    """The log may hold the record; its verdict has not been read."""

    record_id: bytes


@dataclasses.dataclass(frozen=True)
class SubmissionFailed:
    """The log did not store the record; the change did not take effect."""

    message: str


Submission: TypeAlias = (
    changes.ChangeVerdict | SubmissionUnknown | SubmissionFailed
)


class ConfigurationStream(Protocol):
    """The configuration in force and its changes."""

    def find_current(self) -> configuration.Configuration | None:
        """Returns the version in force, or None before the first one."""

    def find_author(self) -> str:
        """Returns the author of the version in force."""

    def list_audit(self) -> tuple[changes.AuditEntry, ...]:
        """Returns the newest entries of the audit trail, oldest first."""

    async def submit(
        self, record: changes.ConfigurationChange | changes.AuditNote
    ) -> Submission:
        """Appends a record and waits for the verdict on it."""


@attrs.frozen
class Balances:
    """The balances of budgets, as far as shard owners replied.

    Attributes:
      balances: One balance per budget.
      missing_shards: The shards whose owner did not reply.
    """

    balances: tuple[data.BudgetBalance, ...]
    missing_shards: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class LedgerUnavailable:
    """There was no verdict; the entry may have taken effect."""

    message: str


class BudgetLedger(Protocol):
    """The ledger, as operators use it."""

    async def read_balances(self) -> Balances:
        """Returns the balances of all budgets whose shard owner replies."""

    async def read_balance(self, budget: str) -> data.BudgetBalance | None:
        """Returns the balance of a budget.

        Returns None if the budget is unknown or its shard's owner did not
        reply.
        """

    async def commit(
        self, entry: data.Credit | data.Release | data.Resolve
    ) -> data.Verdict | LedgerUnavailable:
        """Commits an entry and returns the verdict on it."""


class Fleet(Protocol):
    """The routers and their status."""

    def list_reachable(self) -> tuple[data.Host, ...]:
        """Returns the reachable hosts, including leaving ones."""

    def list_unreachable(self) -> tuple[tuple[data.Host, int], ...]:
        """Returns the unreachable hosts and since when, in milliseconds."""

    async def gather(
        self, query: status.StatusQuery
    ) -> tuple[status.StatusReport, ...]:
        """Returns the reports of the reachable hosts that replied."""


class QuarantineList(Protocol):
    """The requests that are refused after crashes."""

    def list_entries(self) -> tuple[status.QuarantinedRequest, ...]:
        """Returns the entries in force."""

    def lift(self, account: str, digest: bytes, author: str) -> bool:
        """Lifts a quarantine on all routers; False if there is none."""
