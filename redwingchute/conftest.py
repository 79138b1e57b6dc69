"""Test settings that give the same verdict on every run."""

import hypothesis

# The check for slow generation goes by the clock; a busy machine must not
# change the verdict.
hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")
