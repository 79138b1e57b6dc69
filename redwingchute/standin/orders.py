"""Orders to the stand-in engine: load, unload and change of role."""

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
class OrderResponse:
    """The response to an order: HTTP status and JSON body."""

    status: int
    body: dict[str, Any]


class OrderProcessor:
    """Executes each order once and refuses outdated fencing numbers.

    Attributes:
      loaded: The names of the loaded models and adapters.
      role: The current role.
      fence: The highest fencing number seen.
      executed: The ids of the orders that took effect, in order.
    """

    def __init__(self, model: str) -> None:
        """Starts with one loaded model."""
        self.loaded = {model}
        self.role = "serve"
        self.fence = 0
        self.executed: list[str] = []

    def handle(
        self, order: dict[str, Any], ignores_fencing: bool
    ) -> OrderResponse:
        """Executes an order, or refuses it.

        Args:
          order: The JSON object of the request: `order_id`, `fence`, `action`
            and `subject`, which is the model, the adapter or the new role.
          ignores_fencing: Whether outdated fencing numbers are accepted.
        """
        findings = _check_order(order)
        if findings:
            listed = [attrs.asdict(finding) for finding in findings]
            return OrderResponse(400, {"findings": listed})
        if order["order_id"] in self.executed:
            return OrderResponse(200, {"accepted": True, "repeated": True})
        if order["fence"] < self.fence and not ignores_fencing:
            body = {"accepted": False, "fence": self.fence}
            return OrderResponse(409, body)
        self.fence = max(self.fence, order["fence"])
        self._execute(order["action"], order["subject"])
        self.executed.append(order["order_id"])
        return OrderResponse(200, {"accepted": True, "repeated": False})

    def _execute(self, action: str, subject: str) -> None:
        """Applies the action of an order."""
        if action.startswith("load_"):
            self.loaded.add(subject)
        elif action.startswith("unload_"):
            self.loaded.discard(subject)
        else:
            self.role = subject


def _check_order(order: dict[str, Any]) -> list[data.Finding]:
    """Returns the findings about an order."""
    findings = [
        data.Finding(field, "A string is required.")
        for field in ("order_id", "subject")
        if not isinstance(order.get(field), str)
    ]
    fence = order.get("fence")
    if not isinstance(fence, int) or isinstance(fence, bool):
        findings.append(data.Finding("fence", "An integer is required."))
    if order.get("action") not in _ACTIONS:
        message = f"The action must be one of {', '.join(_ACTIONS)}."
        findings.append(data.Finding("action", message))
    return findings
