"""Checks a configuration before it is sent, against the one in force.

The document goes through the decoder that hosts use, so that what passes here
is also accepted there.
"""

from collections.abc import Callable
import pathlib
import sys

from redwingchute.core import data
from redwingchute.core import forwarding
from redwingchute.version import route_checks

# Exit statuses: findings that an operator should see, and files that cannot be
# read or decoded.
_EXIT_FINDINGS = 1
_EXIT_UNREADABLE = 2


def run_check(
    path: str,
    against: str | None,
    decode: Callable[[bytes], forwarding.RouteTable | str],
    find_errors: Callable[[bytes], tuple[data.Finding, ...]],
) -> int:
    """Prints all findings about a configuration, and what it changes.

    Args:
      path: The file of the configuration.
      against: The file of the version in force; None if there is none.
      decode: Decodes a document as hosts do; returns an error message if it is
        invalid.
      find_errors: Returns all errors that keep a document from being decoded.

    Returns:
      The exit status: 0 without findings, 1 with findings, 2 if a document
      cannot be read or decoded.
    """
    table = _load(path, decode, find_errors)
    if table is None:
        return _EXIT_UNREADABLE
    findings = route_checks.check_table(table)
    if against is not None:
        in_force = _load(against, decode, find_errors)
        if in_force is None:
            return _EXIT_UNREADABLE
        findings += route_checks.check_successor(in_force, table)
        for change in route_checks.list_changes(in_force, table):
            print(change)
    _print_findings(path, findings)
    return _EXIT_FINDINGS if findings else 0


def _load(
    path: str,
    decode: Callable[[bytes], forwarding.RouteTable | str],
    find_errors: Callable[[bytes], tuple[data.Finding, ...]],
) -> forwarding.RouteTable | None:
    """Returns the route table of a file; prints why if there is none."""
    try:
        value = pathlib.Path(path).read_bytes()
    except OSError as error:
        print(error, file=sys.stderr)
        return None
    table = decode(value)
    if isinstance(table, forwarding.RouteTable):
        return table
    findings = find_errors(value) or (data.Finding("document", table),)
    _print_findings(path, findings)
    return None


def _print_findings(path: str, findings: tuple[data.Finding, ...]) -> None:
    """Prints findings to the standard error stream."""
    for finding in findings:
        print(f"{path}: {finding.place}: {finding.message}", file=sys.stderr)
