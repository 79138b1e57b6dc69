"""Parses statements of the operators' command language.

`parse_statement` returns a statement or findings; it never raises. A finding
has line and column, what was found and what was expected. `grammar.lark` is
the grammar; `statement_builder` builds a statement from the parse tree.
"""

import functools
import pathlib
import re

import lark
from lark import exceptions

from redwingchute.core import data
from redwingchute.version import commands
from redwingchute.version import statement_builder

# Longer statements are refused without parsing.
MAX_STATEMENT_CHARACTERS = 4 * 1024 * 1024

_GRAMMAR_PATH = pathlib.Path(__file__).with_name("grammar.lark")
# The word or single character that a syntax error reports as found.
_FOUND_PATTERN = re.compile(r"\w+|\S")
_MAX_FOUND_CHARACTERS = 40

# How findings describe terminals of the grammar. Other terminals are keywords
# and are shown as they are written.
_TERMINAL_TEXTS = {
    "TEXT": "a text in quotes",
    "WHOLE": "a whole number",
    "DECIMAL": "a number",
    "DURATION": "a duration like 500 ms or 8 s",
    "CLOCK": "a time of day like 06:30",
    "DAY": "a weekday like mon",
    "COLUMN": "a column name",
    "COMPARISON": "one of = != < <= > >=",
    "COMMA": "','",
    "MINUS": "'-'",
    "SHEET_KIND": "'document'",
    "BUDGET_ROLE": "'budget'",
    "_MODELS_LIST": "'models'",
    "_SERVICES_LIST": "'services'",
    "RUN": "'run'",
    "$END": "the end of the statement",
}


def parse_statement(
    text: str,
) -> tuple[commands.Statement | None, tuple[data.Finding, ...]]:
    """Parses one statement.

    Args:
      text: The statement.

    Returns:
      The statement and no findings, or None and the findings.
    """
    if len(text) > MAX_STATEMENT_CHARACTERS:
        message = (
            f"The statement has {len(text)} characters; at most"
            f" {MAX_STATEMENT_CHARACTERS} are allowed."
        )
        return None, (data.Finding("line 1 column 1", message),)
    try:
        tree = _load_parser().parse(text)
        return statement_builder.build_statement(tree), ()
    except exceptions.UnexpectedCharacters as error:
        position = error.pos_in_stream or 0
        return None, (_build_finding(text, position, error.allowed),)
    except exceptions.UnexpectedToken as error:
        position = len(text)
        if error.token.type != "$END":
            position = error.token.start_pos or 0
        return None, (_build_finding(text, position, error.accepts),)
    except statement_builder.StatementError as error:
        return None, error.findings


@functools.cache
def _load_parser() -> lark.Lark:
    """Returns the parser of the grammar."""
    return lark.Lark(
        _GRAMMAR_PATH.read_text(),
        parser="lalr",
        lexer="contextual",
        propagate_positions=True,
        maybe_placeholders=True,
    )


def _build_finding(
    text: str, position: int, expected: set[str] | None
) -> data.Finding:
    """Returns the finding of a syntax error at a position."""
    position = _skip_blanks(text, position)
    found = _FOUND_PATTERN.match(text, position)
    found_text = "the end" if found is None else _quote_found(found.group())
    names = sorted({_name_terminal(name) for name in expected or ()})
    return data.Finding(
        format_place(text, position),
        f"Found {found_text}; expected {_format_list(names)}.",
    )


def _skip_blanks(text: str, position: int) -> int:
    """Returns the position of the next character that is not whitespace."""
    while position < len(text) and text[position].isspace():
        position += 1
    return position


def format_place(text: str, position: int) -> str:
    """Returns the line and column of a position, both starting at 1."""
    line = text.count("\n", 0, position) + 1
    column = position - (text.rfind("\n", 0, position) + 1) + 1
    return f"line {line} column {column}"


def _quote_found(found: str) -> str:
    """Returns the found text in quotes, truncated to its maximum."""
    if len(found) > _MAX_FOUND_CHARACTERS:
        found = f"{found[:_MAX_FOUND_CHARACTERS]}..."
    return repr(found)


def _name_terminal(name: str) -> str:
    """Returns the text that describes a terminal in findings."""
    if name in _TERMINAL_TEXTS:
        return _TERMINAL_TEXTS[name]
    return f"'{name.strip('_').lower()}'"


def _format_list(names: list[str]) -> str:
    """Returns names as an English list with `or` before the last one."""
    if not names:
        return "nothing more"
    if len(names) == 1:
        return names[0]
    return f"{', '.join(names[:-1])} or {names[-1]}"
