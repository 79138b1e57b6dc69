"""How the callers of a soak identify themselves and what they call."""

KEY = "soak-key"
CALLED_HOST = "soak.example"
