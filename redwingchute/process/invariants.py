"""Reports violations of invariants that a process detects in itself.

Each report indicates a fault of this program, even if no caller is affected.
"""

from redwingchute.process import decision_log


def check(is_kept: bool, invariant: str, **context: object) -> None:
    """Logs a violation of an invariant; execution continues.

    Args:
      is_kept: Whether the invariant holds; if it does, nothing is logged.
      invariant: Its name, as listed in docs/OPERATIONS.md.
      **context: The values that were checked, for the log.
    """
    if not is_kept:
        decision_log.log_failure(
            "invariant_broken", invariant=invariant, **context
        )
