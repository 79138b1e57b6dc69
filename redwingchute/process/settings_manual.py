"""Generates the manual's table of settings from the settings class."""

from redwingchute.process import settings

_BEGIN = "<!-- settings: written by scripts/update_manual.py -->\n"
_END = "<!-- end of settings -->\n"


def make_settings_table() -> str:
    """Returns the settings as a Markdown table."""
    lines = [
        "| flag | variable | allowed | default | what it does |",
        "|---|---|---|---|---|",
    ]
    lines.extend(
        f"| `{item.flag}` | `{item.variable}` | {item.allowed} |"
        f" {item.default} | {item.help} |"
        for item in settings.describe_settings()
    )
    return "\n".join(lines) + "\n"


def update_manual(text: str) -> str:
    """Returns the manual with the table between the markers regenerated.

    Raises:
      ValueError: The markers are missing.
    """
    before, begin, rest = text.partition(_BEGIN)
    _, end, after = rest.partition(_END)
    if not begin or not end:
        raise ValueError("the manual has no markers around its settings")
    return f"{before}{begin}\n{make_settings_table()}\n{end}{after}"
