"""Executes operators' statements.

A query returns a table. A command is appended to the log, either as a
configuration change or as a ledger entry. The command that lifts a quarantine
is sent to the routers instead. The answer states a command's actual outcome:
what took effect, why it was refused, or the record id under which the outcome
can be looked up. The audit trail holds every command, including refused ones.
"""

from collections.abc import Callable
import dataclasses
from typing import TypeAlias

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.core import status
from redwingchute.process import operator_ports
from redwingchute.process import query_tables
from redwingchute.request import request_key
from redwingchute.version import change_apply
from redwingchute.version import changes
from redwingchute.version import commands
from redwingchute.version import tables
from redwingchute.version import validation

_RECORD_ID_BYTES = 16
_FINDING_PLACE = "command"


@dataclasses.dataclass(frozen=True)
class Refused:
    """A statement that did not take effect, or whose outcome is unknown.

    Attributes:
      status: The HTTP status of the response.
      code: A short name of the cause, stable across releases.
      findings: What is wrong.
    """

    status: int
    code: str
    findings: tuple[data.Finding, ...]


# The result of a statement.
Answer: TypeAlias = tables.Table | Refused


def refuse(status_code: int, code: str, message: str) -> Refused:
    """Returns a refusal with a single finding."""
    return Refused(status_code, code, (data.Finding(_FINDING_PLACE, message),))


class CommandExecutor:
    """Executes statements; the caller has checked the operator's role."""

    def __init__(
        self,
        stream: operator_ports.ConfigurationStream,
        ledger: operator_ports.BudgetLedger,
        fleet: operator_ports.Fleet,
        quarantine: operator_ports.QuarantineList,
        read_clock_ms: Callable[[], int],
        make_id: Callable[[int], bytes],
    ) -> None:
        """Initializes the executor.

        Args:
          stream: The configuration and its changes.
          ledger: The budgets.
          fleet: The routers and their status.
          quarantine: The quarantined requests.
          read_clock_ms: Returns the current time.
          make_id: Returns the given number of random bytes.
        """
        self._stream = stream
        self._ledger = ledger
        self._fleet = fleet
        self._quarantine = quarantine
        self._read_clock_ms = read_clock_ms
        self._make_id = make_id

    async def execute(
        self, statement: commands.Statement, author: str
    ) -> Answer:
        """Executes a statement.

        Args:
          statement: The statement.
          author: The operator's name.

        Returns:
          A table; a refusal if nothing took effect or the outcome is unknown.
        """
        current = self._stream.find_current()
        if current is None:
            return refuse(
                503, "no_configuration", "No configuration is in force here."
            )
        match statement:
            case commands.Show():
                table = await self._query_table(statement.subject, current)
                return tables.select_rows(
                    table, statement.filters, statement.limit
                )
            case commands.Command():
                return await self._run_command(statement, author, current)

    async def record_refusal(
        self, statement: commands.Command, author: str, cause: str
    ) -> None:
        """Adds a refused command to the audit trail, if the log is available.

        Args:
          statement: The refused command.
          author: The operator's name; empty when the key is unknown.
          cause: Why it was refused.
        """
        note = self._make_audit_note(
            statement, author, "", cause, is_refused=True
        )
        await self._stream.submit(note)

    async def _query_table(
        self,
        subject: commands.Subject,
        current: configuration.Configuration,
    ) -> tables.Table:
        """Returns the complete table of a subject."""
        match subject:
            case commands.Subject.SPENT:
                balances = await self._ledger.read_balances()
                return query_tables.tabulate_spent(current, balances)
            case commands.Subject.UNACCOUNTED:
                balances = await self._ledger.read_balances()
                return query_tables.tabulate_unaccounted(
                    balances, self._list_known_hosts()
                )
            case commands.Subject.RUNNING:
                reports, notes = await self._gather_reports(
                    status.StatusQuery(wants_running=True)
                )
                return query_tables.tabulate_running(reports, notes)
            case commands.Subject.IN_FORCE:
                reports, notes = await self._gather_reports(
                    status.StatusQuery()
                )
                return query_tables.tabulate_in_force(reports, notes)
            case commands.Subject.UPSTREAMS:
                reports, notes = await self._gather_reports(
                    status.StatusQuery(wants_upstreams=True)
                )
                return query_tables.tabulate_upstreams(current, reports, notes)
            case commands.Subject.HOSTS:
                return query_tables.tabulate_hosts(
                    self._fleet.list_reachable(),
                    self._fleet.list_unreachable(),
                    self._read_clock_ms(),
                )
            case commands.Subject.QUARANTINE:
                return query_tables.tabulate_quarantine(
                    self._quarantine.list_entries()
                )
            case commands.Subject.AUDIT:
                return query_tables.tabulate_audit(self._stream.list_audit())
            case _:
                return query_tables.tabulate_configuration(subject, current)

    def _list_known_hosts(self) -> tuple[data.Host, ...]:
        """Returns all known hosts, including unreachable ones."""
        unreachable = (host for host, _ in self._fleet.list_unreachable())
        return (*self._fleet.list_reachable(), *unreachable)

    async def _gather_reports(
        self, query: status.StatusQuery
    ) -> tuple[tuple[status.StatusReport, ...], tuple[str, ...]]:
        """Returns the routers' reports, and notes on missing reports."""
        reachable = self._fleet.list_reachable()
        reports = await self._fleet.gather(query)
        notes = query_tables.describe_missing_reports(
            reachable,
            self._fleet.list_unreachable(),
            reports,
            self._read_clock_ms(),
        )
        return tuple(sorted(reports, key=lambda item: item.host)), notes

    async def _run_command(
        self,
        command: commands.Command,
        author: str,
        current: configuration.Configuration,
    ) -> Answer:
        """Executes a command."""
        match command.action:
            case (
                commands.TopUpBudget()
                | commands.ReduceBudget()
                | commands.ReleaseUnaccounted()
                | commands.ResolveCall()
                | commands.LiftQuarantine()
            ):
                return await self._run_action(command, author, current)
            case _:
                return await self._submit_change(
                    command, command.action, author, current
                )

    async def _submit_change(
        self,
        command: commands.Command,
        change: changes.Change,
        author: str,
        current: configuration.Configuration,
    ) -> Answer:
        """Submits a configuration change."""
        findings = _check_change(current, change)
        if findings:
            cause = " ".join(item.message for item in findings)
            await self.record_refusal(command, author, cause)
            return Refused(422, "invalid_change", findings)
        record = changes.ConfigurationChange(
            record_id=self._make_id(_RECORD_ID_BYTES),
            author=author,
            reason=command.reason,
            made_at_ms=self._read_clock_ms(),
            expected_version=command.expected_version,
            change=change,
        )
        outcome = await self._stream.submit(record)
        match outcome:
            case changes.ChangeVerdict(code=changes.ChangeCode.APPLIED):
                return query_tables.tabulate_verdict(outcome, change)
            case changes.ChangeVerdict(code=changes.ChangeCode.LOST_RACE):
                return refuse(409, "lost_race", outcome.message)
            case changes.ChangeVerdict():
                return refuse(422, "invalid_change", outcome.message)
            case operator_ports.SubmissionFailed(message):
                return refuse(
                    503,
                    "log_unavailable",
                    f"The change did not take effect: {message}.",
                )
            case operator_ports.SubmissionUnknown(record_id):
                return refuse(
                    504,
                    "outcome_unknown",
                    "The change may take effect; once the log is available,"
                    " find the outcome with `show"
                    f' audit where record = "{record_id.hex()}"`.',
                )

    async def _run_action(
        self,
        command: commands.Command,
        author: str,
        current: configuration.Configuration,
    ) -> Answer:
        """Executes an action on the ledger or the quarantine."""
        if command.expected_version not in (0, current.version):
            message = (
                "The command was made against version"
                f" {command.expected_version}, but version {current.version}"
                f" by {self._stream.find_author()!r} is in force."
            )
            await self.record_refusal(command, author, message)
            return refuse(409, "lost_race", message)
        before = after = ""
        match command.action:
            case commands.LiftQuarantine(account, digest):
                answer = self._lift_quarantine(account, digest, author)
            case _:
                entry = _build_entry(command, author, current)
                if isinstance(entry, Refused):
                    answer = entry
                else:
                    before = await self._describe_balance(entry.budget)
                    answer = await self._commit(entry)
                    after = await self._describe_balance(entry.budget)
        return await self._record_in_audit_trail(
            command, author, (before, after), answer
        )

    async def _describe_balance(self, budget: str) -> str:
        """Returns a budget's balance as text for the audit trail."""
        balance = await self._ledger.read_balance(budget)
        if balance is None:
            return ""
        return (
            f"credited {balance.credited_tokens}, settled"
            f" {balance.settled_tokens}, unaccounted"
            f" {balance.unaccounted_tokens} tokens"
        )

    def _lift_quarantine(
        self, account: str, digest: bytes, author: str
    ) -> Answer:
        """Lifts a quarantine; `digest` identifies the quarantined request."""
        if not self._quarantine.lift(account, digest, author):
            return refuse(
                422, "not_quarantined", "There is no such quarantine."
            )
        return tables.Table(
            ("outcome", "account", "digest"),
            (("lifted", account, digest.hex()),),
        )

    async def _commit(
        self, entry: data.Credit | data.Release | data.Resolve
    ) -> Answer:
        """Commits a ledger entry and returns its verdict as an answer."""
        verdict = await self._ledger.commit(entry)
        match verdict:
            case operator_ports.LedgerUnavailable(message):
                return refuse(
                    504,
                    "outcome_unknown",
                    f"{message} Give the command again: its reference or"
                    " subject makes a repeat harmless.",
                )
            case data.Verdict(code=data.VerdictCode.ACCEPTED):
                return _describe_entry(entry, "applied", verdict.tokens)
            case data.Verdict(code=data.VerdictCode.REPEATED):
                return _describe_entry(entry, "repeated", verdict.tokens)
            case data.Verdict(code=code):
                return refuse(
                    422,
                    code.name.lower(),
                    f"The ledger refused the command: {code.name.lower()}.",
                )

    async def _record_in_audit_trail(
        self,
        command: commands.Command,
        author: str,
        balances: tuple[str, str],
        answer: Answer,
    ) -> Answer:
        """Adds the outcome of an action to the audit trail.

        Args:
          command: The command.
          author: The operator's name.
          balances: The budget's balance before and after, or empty texts.
          answer: The outcome.

        Returns:
          The answer, with a note if the audit trail could not be written.
        """
        before, after = balances
        match answer:
            case Refused():
                outcome = " ".join(item.message for item in answer.findings)
            case tables.Table():
                outcome = _format_first_row(answer)
        note = self._make_audit_note(
            command,
            author,
            before,
            f"{after}; {outcome}" if after else outcome,
            isinstance(answer, Refused),
        )
        submission = await self._stream.submit(note)
        if isinstance(submission, changes.ChangeVerdict):
            return answer
        return _add_note(answer, "The audit trail entry is not confirmed.")

    def _make_audit_note(
        self,
        command: commands.Command,
        author: str,
        before: str,
        after: str,
        is_refused: bool,
    ) -> changes.AuditNote:
        """Returns the audit trail's entry for a command."""
        return changes.AuditNote(
            record_id=self._make_id(_RECORD_ID_BYTES),
            author=author,
            reason=command.reason,
            made_at_ms=self._read_clock_ms(),
            action=name_action(command.action),
            subject=get_subject_name(command.action),
            before=before,
            after=after,
            is_refused=is_refused,
        )


def name_action(action: commands.Action) -> str:
    """Returns the name of an action in the audit trail."""
    match action:
        case commands.TopUpBudget():
            return "top up budget"
        case commands.ReduceBudget():
            return "reduce budget"
        case commands.ReleaseUnaccounted():
            return "release unaccounted"
        case commands.ResolveCall():
            return "resolve call"
        case commands.LiftQuarantine():
            return "lift quarantine"
        case _:
            return change_apply.get_action_name(action)


def get_subject_name(action: commands.Action) -> str:
    """Returns the name of the object that an action affects."""
    match action:
        case commands.TopUpBudget(budget) | commands.ReduceBudget(budget):
            return budget
        case commands.ReleaseUnaccounted(budget):
            return budget
        case commands.ResolveCall(account) | commands.LiftQuarantine(account):
            return account
        case _:
            return change_apply.get_subject_name(action)


def _check_change(
    current: configuration.Configuration, change: changes.Change
) -> tuple[data.Finding, ...]:
    """Returns the findings for which the stream's fold would refuse a change.

    Checks against the configuration in force here. The fold checks again when
    it reads the logged change, because another change may come first.
    """
    try:
        candidate = change_apply.apply_change(
            current, change, current.version + 1
        )
    except change_apply.ChangeError as error:
        return (data.Finding(_FINDING_PLACE, error.message),)
    return validation.validate_configuration(candidate, current)


def _build_entry(
    command: commands.Command,
    author: str,
    current: configuration.Configuration,
) -> data.Credit | data.Release | data.Resolve | Refused:
    """Returns the ledger entry for an action, or a refusal."""
    reason = command.reason
    budgets = {budget.name for budget in current.budgets}
    match command.action:
        case commands.TopUpBudget(budget, tokens, reference):
            entry = data.Credit(budget, reference, tokens, author, reason)
        case commands.ReduceBudget(budget, tokens, reference):
            entry = data.Credit(budget, reference, -tokens, author, reason)
        case commands.ReleaseUnaccounted(budget, holder, tokens, reference):
            return data.Release(
                budget, holder, tokens, author, reason, reference
            )
        case commands.ResolveCall(name, key, outcome):
            account = _find_account(current, name)
            if account is None:
                return refuse(
                    422,
                    "unknown_account",
                    f"There is no client account named {name!r}.",
                )
            digest = request_key.digest_key(name, key)
            return data.Resolve(account.budget, digest, outcome, author, reason)
        case _:
            raise TypeError(f"{command.action} is not a ledger action")
    if entry.budget not in budgets:
        return refuse(
            422,
            "unknown_budget",
            f"There is no budget named {entry.budget!r}; create it with"
            " `create budget`.",
        )
    return entry


def _find_account(
    current: configuration.Configuration, name: str
) -> configuration.ClientAccount | None:
    """Returns the client account with a name, or None."""
    for account in current.client_accounts:
        if account.name == name:
            return account
    return None


def _describe_entry(
    entry: data.Credit | data.Release | data.Resolve,
    outcome: str,
    tokens: int,
) -> tables.Table:
    """Returns the answer to an accepted ledger entry."""
    match entry:
        case data.Resolve():
            return tables.Table(
                ("outcome", "budget", "status"),
                ((outcome, entry.budget, entry.status.name.lower()),),
            )
        case _:
            table = tables.Table(
                ("outcome", "budget", "tokens"),
                ((outcome, entry.budget, tokens),),
            )
    if outcome == "applied" and tokens != entry.tokens:
        return _add_table_note(
            table,
            f"{entry.tokens} tokens were requested; the rest is leased,"
            " reserved or settled.",
        )
    return table


def _add_table_note(table: tables.Table, note: str) -> tables.Table:
    """Returns a table with one more note."""
    return tables.Table(table.columns, table.rows, (*table.notes, note))


def _add_note(answer: Answer, note: str) -> Answer:
    """Returns an answer with one more note or finding."""
    match answer:
        case tables.Table():
            return _add_table_note(answer, note)
        case Refused():
            findings = (*answer.findings, data.Finding(_FINDING_PLACE, note))
            return Refused(answer.status, answer.code, findings)


def _format_first_row(table: tables.Table) -> str:
    """Returns the first row of an answer as text."""
    cells = zip(table.columns, table.rows[0], strict=True)
    return ", ".join(f"{column} {cell}" for column, cell in cells)
