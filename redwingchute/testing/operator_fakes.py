"""Fakes of the ports that operators' commands use."""

import itertools

import attrs

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import status
from redwingchute.process import operator_ports
from redwingchute.testing import configuration_builders as builders
from redwingchute.version import change_fold
from redwingchute.version import changes
from redwingchute.version import loader


class FakeConfigurationStream:
    """A configuration stream in memory that starts with one version.

    Attributes:
      fold: The fold of its records.
      next_outcome: The result of the next submission, None to append it.
    """

    def __init__(self) -> None:
        """Starts with the builders' configuration as version 1."""
        self.fold = change_fold.ConfigurationFold()
        self.next_outcome: (
            operator_ports.SubmissionFailed
            | operator_ports.SubmissionUnknown
            | None
        ) = None
        text = loader.dump_configuration(builders.make_configuration())
        document = loader.compress_document(text)
        self.apply(
            changes.ConfigurationChange(
                b"first",
                "ada",
                "start",
                0,
                0,
                changes.ReplaceDocument(document),
            )
        )

    def apply(
        self, record: changes.ConfigurationChange | changes.AuditNote
    ) -> None:
        """Appends a record."""
        offset = self.fold.next_offset
        self.fold.apply(change_fold.StreamRecord(offset, record))

    def find_current(self) -> configuration.Configuration | None:
        """Returns the version in force."""
        return self.fold.current if self.fold.current.version else None

    def find_author(self) -> str:
        """Returns the author of the version in force."""
        return self.fold.author

    def list_audit(self) -> tuple[changes.AuditEntry, ...]:
        """Returns the audit trail."""
        return self.fold.audit

    async def submit(
        self, record: changes.ConfigurationChange | changes.AuditNote
    ) -> operator_ports.Submission:
        """Appends a record and returns its verdict, or `next_outcome`."""
        outcome, self.next_outcome = self.next_outcome, None
        if outcome is not None:
            return outcome
        self.apply(record)
        verdict = self.fold.find_verdict(record.record_id)
        assert verdict is not None
        return verdict


class FakeLedger:
    """A ledger that returns what a test has set.

    Attributes:
      entries: The entries that were committed.
      verdict: The result of commits.
      balances: The balances.
    """

    def __init__(self) -> None:
        """Starts with one budget and accepts everything."""
        self.entries: list[data.Credit | data.Release | data.Resolve] = []
        self.verdict: data.Verdict | operator_ports.LedgerUnavailable = (
            data.Verdict(data.VerdictCode.ACCEPTED, 500)
        )
        self.balances = operator_ports.Balances(
            (
                data.BudgetBalance(
                    builders.BUDGET,
                    1_000,
                    300,
                    200,
                    100,
                    50,
                    (data.HolderBalance((9 << 16) | 1, 200, 100, 50),),
                ),
            ),
            missing_shards=(3,),
        )

    async def read_balances(self) -> operator_ports.Balances:
        """Returns the balances."""
        return self.balances

    async def read_balance(self, budget: str) -> data.BudgetBalance | None:
        """Returns the balance of a budget, with the committed credits."""
        credited_tokens = sum(
            entry.tokens
            for entry in self.entries
            if isinstance(entry, data.Credit)
        )
        for balance in self.balances.balances:
            if balance.budget == budget:
                return attrs.evolve(
                    balance,
                    credited_tokens=balance.credited_tokens + credited_tokens,
                )
        return None

    async def commit(
        self, entry: data.Credit | data.Release | data.Resolve
    ) -> data.Verdict | operator_ports.LedgerUnavailable:
        """Records the entry and returns the verdict."""
        self.entries.append(entry)
        return self.verdict


class FakeFleet:
    """Four routers: two report, one does not, one is unreachable."""

    def list_reachable(self) -> tuple[data.Host, ...]:
        """Returns three hosts."""
        return (
            data.Host("huon-1", "huon", "127.0.0.1:1", 7),
            data.Host("huon-2", "huon", "127.0.0.1:2", 8, is_leaving=True),
            data.Host("bruny-1", "bruny", "127.0.0.1:3", 9 << 16),
        )

    def list_unreachable(self) -> tuple[tuple[data.Host, int], ...]:
        """Returns one host that left the view at 40 s."""
        return ((data.Host("tamar-1", "tamar", "127.0.0.1:4", 6), 40_000),)

    async def gather(
        self, query: status.StatusQuery
    ) -> tuple[status.StatusReport, ...]:
        """Returns the reports of the first two hosts."""
        running = status.RunningRequest(
            builders.ACCOUNT, builders.MODEL, "batch", "runner-1", "running", 0
        )
        upstream = status.UpstreamStatus("runner-1", "live", 3, 1, 90_000)
        reports = (
            status.StatusReport("huon-1", "huon", 1, 95_000, 100_000),
            status.StatusReport("huon-2", "huon", 0, 90_000, 100_000),
        )
        return tuple(
            attrs.evolve(
                report,
                running=(running,) if query.wants_running else (),
                upstreams=(upstream,) if query.wants_upstreams else (),
            )
            for report in reports
        )


class FakeQuarantine:
    """A quarantine with one entry.

    Attributes:
      entries: The entries in force.
    """

    def __init__(self) -> None:
        """Starts with one entry."""
        self.entries = [
            status.QuarantinedRequest(builders.ACCOUNT, b"\xab", 60_000, "r")
        ]

    def list_entries(self) -> tuple[status.QuarantinedRequest, ...]:
        """Returns the entries."""
        return tuple(self.entries)

    def lift(self, account: str, digest: bytes, author: str) -> bool:
        """Removes an entry; returns whether it existed."""
        for entry in self.entries:
            if (entry.account, entry.digest) == (account, digest):
                self.entries.remove(entry)
                return True
        return False


class SequentialIds:
    """Makes ids that count up."""

    def __init__(self) -> None:
        """Starts at 1."""
        self._numbers = itertools.count(1)

    def make(self, size: int) -> bytes:
        """Returns the next id."""
        return next(self._numbers).to_bytes(size)
