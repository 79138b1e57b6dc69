"""Tables of query results, and their rendering as text and JSON.

The notes of a table say what its rows do not cover, such as the hosts and
availability zones that did not reply, and how old the data is.
"""

import json
from typing import Any
from typing import TypeAlias

import attrs

from redwingchute.core import data
from redwingchute.version import commands

# A tuple holds a list of names, for example the models of a client account.
Cell: TypeAlias = str | int | float | bool | tuple[str, ...] | None

_COLUMN_GAP = "  "
_MAX_CELL_CHARACTERS = 120


@attrs.frozen
class Table:
    """The result of a statement.

    Attributes:
      columns: The names of the columns.
      rows: The rows; each has one cell per column.
      notes: Full sentences on what the rows do not cover.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[Cell, ...], ...] = ()
    notes: tuple[str, ...] = ()


def select_rows(
    table: Table, filters: tuple[commands.Filter, ...], limit: int
) -> Table:
    """Returns a table with only the rows that match all filters.

    A note says how many of these rows the limit omits.

    Args:
      table: The table.
      filters: The filters; their columns must exist in the table.
      limit: The maximum number of rows, or 0 for all.
    """
    rows = [
        row
        for row in table.rows
        if all(_matches(table, row, condition) for condition in filters)
    ]
    notes = table.notes
    if limit and len(rows) > limit:
        omitted = len(rows) - limit
        notes = (*notes, f"{omitted} more rows are not shown.")
        rows = rows[:limit]
    return attrs.evolve(table, rows=tuple(rows), notes=notes)


def _matches(
    table: Table, row: tuple[Cell, ...], condition: commands.Filter
) -> bool:
    """Returns whether a row matches a filter."""
    cell = row[table.columns.index(condition.column)]
    if isinstance(cell, tuple):
        is_member = condition.value in cell
        if condition.comparison == commands.Comparison.NOT_EQUAL:
            return not is_member
        return condition.comparison == commands.Comparison.EQUAL and is_member
    if isinstance(cell, bool) or cell is None:
        cell = _format_cell(cell)
    value = condition.value
    if isinstance(cell, str) or isinstance(value, str):
        return _compare(condition.comparison, str(cell), _to_text(value))
    return _compare(condition.comparison, cell, value)


def _to_text(value: str | float) -> str:
    """Returns a filter's value as text, whole numbers without a point."""
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def _compare(comparison: commands.Comparison, cell: Any, value: Any) -> bool:
    """Compares two values of the same type."""
    match comparison:
        case commands.Comparison.EQUAL:
            return bool(cell == value)
        case commands.Comparison.NOT_EQUAL:
            return bool(cell != value)
        case commands.Comparison.LESS:
            return bool(cell < value)
        case commands.Comparison.AT_MOST:
            return bool(cell <= value)
        case commands.Comparison.GREATER:
            return bool(cell > value)
        case commands.Comparison.AT_LEAST:
            return bool(cell >= value)


def render_text(table: Table) -> str:
    """Returns a table as aligned text, followed by its notes."""
    lines = [table.columns] if table.columns else []
    lines.extend(tuple(map(_format_line, row)) for row in table.rows)
    widths = [max(map(len, cells)) for cells in zip(*lines, strict=True)]
    are_right_aligned = [
        bool(table.rows) and all(_is_number(row[index]) for row in table.rows)
        for index in range(len(table.columns))
    ]
    output = [
        _COLUMN_GAP.join(
            cell.rjust(width) if is_right_aligned else cell.ljust(width)
            for cell, width, is_right_aligned in zip(
                line, widths, are_right_aligned, strict=True
            )
        ).rstrip()
        for line in lines
    ]
    output.extend(f"note: {note}" for note in table.notes)
    return "\n".join(output) + "\n"


def render_json(table: Table) -> str:
    """Returns a table as JSON with `columns`, `rows` and `notes`."""
    return json.dumps(
        {
            "columns": table.columns,
            "rows": table.rows,
            "notes": table.notes,
        }
    )


def render_findings_text(findings: tuple[data.Finding, ...]) -> str:
    """Returns findings as text, one line each."""
    return "".join(f"{item.place}: {item.message}\n" for item in findings)


def render_findings_json(code: str, findings: tuple[data.Finding, ...]) -> str:
    """Returns findings as a JSON error."""
    return json.dumps(
        {
            "error": {
                "code": code,
                "message": " ".join(item.message for item in findings),
                "findings": [
                    {"place": item.place, "message": item.message}
                    for item in findings
                ],
            }
        }
    )


def _is_number(cell: Cell) -> bool:
    """Returns whether a cell is a number, which is aligned to the right."""
    return isinstance(cell, int | float) and not isinstance(cell, bool)


def _format_line(cell: Cell) -> str:
    """Returns a cell as a single line, truncated to the maximum width."""
    text = " ".join(_format_cell(cell).split())
    if len(text) <= _MAX_CELL_CHARACTERS:
        return text
    return f"{text[:_MAX_CELL_CHARACTERS]}..."


def _format_cell(cell: Cell) -> str:
    """Returns the text of a cell."""
    match cell:
        case None:
            return "-"
        case bool():
            return "yes" if cell else "no"
        case tuple():
            return ", ".join(cell)
        case _:
            return str(cell)
