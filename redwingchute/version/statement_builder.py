"""Builds statements from parse trees of the operators' command language."""

import json
from typing import Any
from typing import TypeVar

import attrs
import lark
from lark import exceptions
from lark import visitors

from redwingchute.core import configuration
from redwingchute.core import data
from redwingchute.version import changes
from redwingchute.version import commands
from redwingchute.version import loader

_UNITS_MS = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
_WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
_EVERY_DAY = (1, 2, 3, 4, 5, 6, 7)
_MINUTES_PER_DAY = 1_440
# Holders are 64-bit incarnation numbers.
_MAX_HOLDER = 2**64 - 1
_MAX_INTEGER = 10**15
_STATUSES = {
    "SUCCEEDED": data.OutcomeStatus.SUCCEEDED,
    "FAILED": data.OutcomeStatus.FAILED,
    "RUN": data.OutcomeStatus.NOT_RUN,
}

_Part = TypeVar("_Part")


@attrs.frozen
class StatementError(Exception):
    """A statement with valid syntax and an invalid value.

    Attributes:
      findings: The errors with their places.
    """

    findings: tuple[data.Finding, ...]


def build_statement(tree: lark.Tree[lark.Token]) -> commands.Statement:
    """Returns the statement of a parse tree.

    Raises:
      StatementError: A value in the statement is invalid.
    """
    try:
        statement: commands.Statement = _Builder().transform(tree)
        return statement
    except exceptions.VisitError as error:
        if isinstance(error.orig_exc, StatementError):
            raise error.orig_exc from error
        raise


def _make_error(token: lark.Token, message: str) -> StatementError:
    """Returns the error of one token."""
    place = f"line {token.line} column {token.column}"
    return StatementError((data.Finding(place, message),))


def _unquote(token: lark.Token) -> str:
    """Returns the content of a quoted string.

    Raises:
      StatementError: The string has an invalid escape, an unpaired surrogate
        or a NUL character.
    """
    quoted = str(token)
    text: str = quoted[1:-1]
    if quoted.startswith('"'):
        try:
            text = json.loads(quoted, strict=False)
        except ValueError as error:
            message = f"The text has a wrong escape: {error}."
            raise _make_error(token, message) from error
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise _make_error(
            token, "The text has an unpaired surrogate."
        ) from error
    if "\0" in text:
        raise _make_error(token, "The text has a NUL character.")
    return text


def _read_duration_ms(token: lark.Token) -> int:
    """Returns a duration in milliseconds."""
    number = str(token).rstrip("msinh").rstrip()
    unit = str(token)[len(number) :].strip()
    return round(float(number) * _UNITS_MS[unit])


def _read_minute(token: lark.Token) -> int:
    """Returns the minute of the day; raises StatementError past 24:00."""
    hours, minutes = map(int, str(token).split(":"))
    total = hours * 60 + minutes
    if minutes > 59 or total > _MINUTES_PER_DAY:
        raise _make_error(token, f"{token} is not a time from 00:00 to 24:00.")
    return total


def _make_document_error(
    token: lark.Token, findings: tuple[data.Finding, ...]
) -> StatementError:
    """Returns the error of a JSON document inside a statement."""
    place = f"line {token.line} column {token.column}"
    return StatementError(
        tuple(
            data.Finding(f"{place}, {item.place}", item.message)
            for item in findings
        )
    )


def _load_part(token: lark.Token, part_type: type[_Part]) -> _Part:
    """Returns a part of a configuration from JSON; raises StatementError."""
    part, findings = loader.load_part(str(token), part_type)
    if part is None:
        raise _make_document_error(token, findings)
    return part


def _read_token_count(token: lark.Token) -> int:
    """Returns a number of budget tokens.

    Raises:
      StatementError: The number is 0 or too large.
    """
    if int(token) == 0:
        raise _make_error(token, "The number of tokens is 0.")
    return _read_integer(token)


def _read_integer(token: lark.Token) -> int:
    """Returns a whole number; raises StatementError when it is too large."""
    if int(token) > _MAX_INTEGER:
        raise _make_error(token, f"{token} is larger than {_MAX_INTEGER}.")
    return int(token)


def _read_reference(token: lark.Token) -> str:
    """Returns a reference; raises StatementError when it is empty."""
    if not token.strip():
        raise _make_error(token, "The reference is empty.")
    return str(token)


def _check_filter(
    subject: commands.Subject,
    column: lark.Token,
    comparison: lark.Token,
    value: lark.Token,
) -> commands.Filter:
    """Builds a filter; raises StatementError for an unknown column."""
    columns = commands.COLUMNS[subject]
    name = column.lower()
    if name not in columns:
        raise _make_error(
            column,
            f"Found {str(column)!r}; expected one of {', '.join(columns)}.",
        )
    typed_value = str(value) if value.type == "TEXT" else float(value)
    return commands.Filter(name, commands.Comparison(comparison), typed_value)


@visitors.v_args(inline=True)
class _Builder(visitors.Transformer[lark.Token, Any]):
    """Builds the record of each rule of the grammar.

    lark calls the method with the name of the rule, alias or terminal.
    """

    # Common rules.

    def TEXT(self, token: lark.Token) -> lark.Token:  # noqa: N802
        """Unquotes a text; its token keeps the position for findings."""
        return token.update(value=_unquote(token))

    def start(self, statement: commands.Statement) -> commands.Statement:
        """Returns the only child."""
        return statement

    # Queries.

    def query(self, subject: commands.Subject, *rest: Any) -> commands.Show:
        """Returns a query; raises StatementError for an unknown column."""
        *filters, limit = rest
        conditions = []
        for item in filters:
            if item is not None:
                conditions.append(_check_filter(subject, *item))
        return commands.Show(
            subject,
            tuple(conditions),
            0 if limit is None else _read_integer(limit),
        )

    def filter(
        self, column: lark.Token, comparison: lark.Token, value: lark.Token
    ) -> tuple[lark.Token, lark.Token, lark.Token]:
        """Returns the tokens, which `query` checks against the columns."""
        return column, comparison, value

    def value(self, token: lark.Token) -> lark.Token:
        """Returns the only child."""
        return token

    def subject(self, token: lark.Token) -> commands.Subject:
        """Returns the subject; `config` is a synonym of `in force`."""
        if token.type in ("FORCE", "CONFIG"):
            return commands.Subject.IN_FORCE
        return commands.Subject(token.lower())

    # Client accounts.

    def create_account(
        self,
        name: str,
        budget: str,
        models: tuple[str, ...] | None,
        services: tuple[str, ...] | None,
        time_zone: str | None,
        keys: tuple[str, ...] | None,
    ) -> changes.CreateClientAccount:
        """Returns the change that creates a client account."""
        return changes.CreateClientAccount(
            configuration.ClientAccount(
                name=str(name),
                key_hashes=keys or (),
                budget=str(budget),
                models=models or (),
                services=services or (),
                time_zone=time_zone or "UTC",
            )
        )

    def model_list(self, *names: str) -> tuple[str, ...]:
        """Returns a list of names."""
        return tuple(map(str, names))

    service_list = model_list
    key_list = model_list

    def time_zone(self, name: str) -> str:
        """Returns the name of a time zone."""
        return str(name)

    def set_account_budget(
        self, account: str, budget: str
    ) -> changes.SetClientAccountBudget:
        """Returns the change that sets a client account's budget."""
        return changes.SetClientAccountBudget(str(account), str(budget))

    def set_account_time_zone(
        self, account: str, time_zone: str
    ) -> changes.SetClientAccountTimeZone:
        """Returns the change that sets a client account's time zone."""
        return changes.SetClientAccountTimeZone(str(account), str(time_zone))

    def add_key(self, account: str, key_hash: str) -> changes.AddClientKey:
        """Returns the change that adds a key."""
        return changes.AddClientKey(str(account), str(key_hash))

    def remove_key(
        self, account: str, key_hash: str
    ) -> changes.RemoveClientKey:
        """Returns the change that removes a key."""
        return changes.RemoveClientKey(str(account), str(key_hash))

    def suspend_account(self, account: str) -> changes.SuspendClientAccount:
        """Returns the change that suspends a client account."""
        return changes.SuspendClientAccount(str(account))

    def resume_account(self, account: str) -> changes.ResumeClientAccount:
        """Returns the change that resumes a client account."""
        return changes.ResumeClientAccount(str(account))

    def allow_model(self, model: str, account: str) -> changes.AllowModel:
        """Returns the change that allows a model."""
        return changes.AllowModel(str(account), str(model))

    def forbid_model(self, model: str, account: str) -> changes.ForbidModel:
        """Returns the change that forbids a model."""
        return changes.ForbidModel(str(account), str(model))

    def allow_service(self, service: str, account: str) -> changes.AllowService:
        """Returns the change that allows a service."""
        return changes.AllowService(str(account), str(service))

    def forbid_service(
        self, service: str, account: str
    ) -> changes.ForbidService:
        """Returns the change that forbids a service."""
        return changes.ForbidService(str(account), str(service))

    def put_account(self, document: lark.Token) -> changes.PutClientAccount:
        """Returns the change that creates or replaces an account from JSON."""
        return changes.PutClientAccount(
            _load_part(document, configuration.ClientAccount)
        )

    # Patience rules and retries.

    def set_patience(
        self,
        account: str,
        kind: configuration.WorkKind,
        *rules: configuration.PatienceRule,
    ) -> changes.SetPatience:
        """Returns the change that sets a client account's patience rules."""
        rules_of_kind = tuple(attrs.evolve(rule, kind=kind) for rule in rules)
        return changes.SetPatience(str(account), kind, rules_of_kind)

    # The statement has no rules, so all rules of the kind are removed.
    clear_patience = set_patience

    def kind(self, token: lark.Token) -> configuration.WorkKind:
        """Returns a kind of work."""
        return configuration.WorkKind(token.lower())

    def rule(
        self,
        days: tuple[int, ...] | None,
        from_clock: lark.Token | None,
        until_clock: lark.Token | None,
        deadline: lark.Token,
        priority: lark.Token,
    ) -> configuration.PatienceRule:
        """Returns a patience rule; `set_patience` sets its kind of work."""
        from_minute, until_minute = 0, _MINUTES_PER_DAY
        if from_clock is not None and until_clock is not None:
            from_minute = _read_minute(from_clock)
            until_minute = _read_minute(until_clock)
        return configuration.PatienceRule(
            kind=configuration.WorkKind.INTERACTIVE,
            from_minute=from_minute,
            until_minute=until_minute,
            weekdays=days or _EVERY_DAY,
            deadline_ms=_read_duration_ms(deadline),
            priority=int(priority),
        )

    def days(self, *ranges: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the weekdays of all ranges in order."""
        return tuple(sorted({day for days in ranges for day in days}))

    def day_range(
        self, first: lark.Token, last: lark.Token | None
    ) -> tuple[int, ...]:
        """Returns the weekdays of a range, which may cross Sunday."""
        start = _WEEKDAYS.index(first.lower())
        end = start if last is None else _WEEKDAYS.index(last.lower())
        count = (end - start) % 7 + 1
        return tuple((start + step) % 7 + 1 for step in range(count))

    def set_retries(
        self,
        ratio: lark.Token,
        attempts: lark.Token,
        base_delay: lark.Token,
        max_delay: lark.Token,
    ) -> changes.SetRetry:
        """Returns the change that sets the retry policy."""
        return changes.SetRetry(
            configuration.RetryPolicy(
                budget_ratio=float(ratio),
                max_attempts=int(attempts),
                base_delay_ms=_read_duration_ms(base_delay),
                max_delay_ms=_read_duration_ms(max_delay),
            )
        )

    # Budgets.

    def create_budget(
        self, name: str, reserve: float | None, horizon_ms: int | None
    ) -> changes.PutBudget:
        """Returns the change that creates or replaces a budget's policy."""
        budget = configuration.Budget(str(name))
        if reserve is not None:
            budget = attrs.evolve(budget, reserve_share=reserve)
        if horizon_ms is not None:
            budget = attrs.evolve(budget, lease_horizon_ms=horizon_ms)
        return changes.PutBudget(budget)

    def reserve_share(self, share: lark.Token) -> float:
        """Returns a reserve share."""
        return float(share)

    def lease_horizon(self, duration: lark.Token) -> int:
        """Returns a lease horizon in milliseconds."""
        return _read_duration_ms(duration)

    def set_reserve(self, budget: str, share: lark.Token) -> changes.SetReserve:
        """Returns the change that sets a budget's reserve share."""
        return changes.SetReserve(str(budget), float(share))

    def top_up(
        self, budget: str, tokens: lark.Token, reference: lark.Token
    ) -> commands.TopUpBudget:
        """Returns a top-up."""
        return commands.TopUpBudget(
            str(budget), _read_token_count(tokens), _read_reference(reference)
        )

    def reduce(
        self, budget: str, tokens: lark.Token, reference: lark.Token
    ) -> commands.ReduceBudget:
        """Returns a reduction."""
        return commands.ReduceBudget(
            str(budget), _read_token_count(tokens), _read_reference(reference)
        )

    def release(
        self,
        tokens: lark.Token,
        budget: str,
        holder: lark.Token,
        reference: lark.Token,
    ) -> commands.ReleaseUnaccounted:
        """Returns a release of unaccounted tokens.

        Raises:
          StatementError: A number is out of range or the reference is empty.
        """
        if int(holder) > _MAX_HOLDER:
            raise _make_error(holder, f"{holder} is not a holder's number.")
        return commands.ReleaseUnaccounted(
            str(budget),
            int(holder),
            _read_token_count(tokens),
            _read_reference(reference),
        )

    # Calls, quarantine, upstreams.

    def resolve(
        self, key: str, account: str, status: data.OutcomeStatus
    ) -> commands.ResolveCall:
        """Returns the resolution of an unknown outcome."""
        return commands.ResolveCall(str(account), str(key), status)

    def status(self, token: lark.Token) -> data.OutcomeStatus:
        """Returns the outcome that an operator determined."""
        return _STATUSES[token.type]

    def lift(self, digest: lark.Token, account: str) -> commands.LiftQuarantine:
        """Returns the action that lifts a quarantine.

        Raises:
          StatementError: The digest is not hexadecimal.
        """
        try:
            digest_bytes = bytes.fromhex(str(digest))
        except ValueError as error:
            message = f"{str(digest)!r} is not a digest in hex."
            raise _make_error(digest, message) from error
        return commands.LiftQuarantine(str(account), digest_bytes)

    def drain(self, upstream: str) -> changes.DrainUpstream:
        """Returns the change that drains an upstream."""
        return changes.DrainUpstream(str(upstream))

    def return_upstream(self, upstream: str) -> changes.ReturnUpstream:
        """Returns the change that ends draining an upstream."""
        return changes.ReturnUpstream(str(upstream))

    # Models, services, operators, documents.

    def put_model(self, document: lark.Token) -> changes.PutModel:
        """Returns the change that creates or replaces a model from JSON."""
        return changes.PutModel(_load_part(document, configuration.Model))

    def put_service(self, document: lark.Token) -> changes.PutService:
        """Returns the change that creates or replaces a service from JSON."""
        return changes.PutService(_load_part(document, configuration.Service))

    def role(self, token: lark.Token) -> configuration.Role:
        """Returns an operator's role."""
        return configuration.Role(token.lower())

    def create_operator(
        self, name: str, role: configuration.Role, key_hash: str
    ) -> changes.PutOperator:
        """Returns the change that creates or replaces an operator."""
        return changes.PutOperator(
            configuration.Operator(str(name), str(key_hash), role)
        )

    def remove_operator(self, name: str) -> changes.RemoveOperator:
        """Returns the change that removes an operator."""
        return changes.RemoveOperator(str(name))

    def replace_document(self, document: lark.Token) -> changes.ReplaceDocument:
        """Returns the change that replaces the whole configuration.

        Raises:
          StatementError: The document is not valid.
        """
        text = str(document)
        _, findings = loader.load_configuration(text, 1)
        if findings:
            raise _make_document_error(document, findings)
        return changes.ReplaceDocument(loader.compress_document(text))

    def command(
        self,
        action: commands.Action,
        reason: lark.Token,
        version: lark.Token | None,
    ) -> commands.Command:
        """Returns a command; raises StatementError for an empty reason."""
        if not reason.strip():
            raise _make_error(reason, "The reason is empty; say why.")
        return commands.Command(
            action,
            str(reason),
            0 if version is None else _read_integer(version),
        )
