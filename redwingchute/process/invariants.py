"""Reports what must never happen, as seen from inside a process.

Each report is a fault of this program, even if no caller noticed.
"""

from redwingchute.process import decision_log


def check(is_kept: bool, invariant: str, **context: object) -> None:
    """Reports an invariant that does not hold.

    Args:
      is_kept: Whether it holds.
      invariant: Its name, as docs/OPERATIONS.md lists it.
      **context: What it was judged by.
    """
    if not is_kept:
        decision_log.log_failure(
            "invariant_broken", invariant=invariant, **context
        )
