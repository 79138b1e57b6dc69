"""The orders that the stand-in engine takes: load, unload and change role."""

from typing import Any

import attrs

from redwingchute.core import data

_ACTIONS = (
    "load_model",
    "unload_model",
    "load_adapter",
    "unload_adapter",
    "set_role",
)


@attrs.frozen
class OrderAnswer:
    """The engine's answer to an order, with its HTTP status."""

    status: int
    body: dict[str, Any]


class OrderBook:
    """Runs orders once each and refuses old fencing numbers.

    Attributes:
      loaded: Models and adapters that are loaded.
      role: The role in force.
      fence: The highest fencing number seen.
      executed: Ids of the orders that took effect, in order.
    """

    def __init__(self, model: str) -> None:
        """Starts with one loaded model."""
        self.loaded = {model}
        self.role = "serve"
        self.fence = 0
        self.executed: list[str] = []

    def handle(
        self, order: dict[str, Any], ignores_fencing: bool
    ) -> OrderAnswer:
        """Runs one order, or says why it does not."""
        findings = _check_order(order)
        if findings:
            listed = [attrs.asdict(finding) for finding in findings]
            return OrderAnswer(400, {"findings": listed})
        if order["order_id"] in self.executed:
            return OrderAnswer(200, {"accepted": True, "repeated": True})
        if order["fence"] < self.fence and not ignores_fencing:
            body = {"accepted": False, "fence": self.fence}
            return OrderAnswer(409, body)
        self.fence = max(self.fence, order["fence"])
        self._execute(order["action"], order["subject"])
        self.executed.append(order["order_id"])
        return OrderAnswer(200, {"accepted": True, "repeated": False})

    def _execute(self, action: str, subject: str) -> None:
        """Makes an order take effect."""
        if action.startswith("load_"):
            self.loaded.add(subject)
        elif action.startswith("unload_"):
            self.loaded.discard(subject)
        else:
            self.role = subject


def _check_order(order: dict[str, Any]) -> list[data.Finding]:
    """Returns what is wrong with an order."""
    findings = [
        data.Finding(field, "A string is needed.")
        for field in ("order_id", "subject")
        if not isinstance(order.get(field), str)
    ]
    fence = order.get("fence")
    if not isinstance(fence, int) or isinstance(fence, bool):
        findings.append(data.Finding("fence", "A whole number is needed."))
    if order.get("action") not in _ACTIONS:
        message = f"The action must be one of {', '.join(_ACTIONS)}."
        findings.append(data.Finding("action", message))
    return findings
