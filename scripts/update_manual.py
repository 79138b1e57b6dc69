"""Writes the table of settings into docs/OPERATING.md.

The table is generated from the settings class, so that both always agree.
"""

import pathlib

from redwingchute.process import settings_manual

_MANUAL_PATH = pathlib.Path("docs/OPERATING.md")


def main() -> None:
    """Updates the table in the manual."""
    text = _MANUAL_PATH.read_text(encoding="utf-8")
    updated = settings_manual.update_manual(text)
    _MANUAL_PATH.write_text(updated, encoding="utf-8")


if __name__ == "__main__":
    main()
