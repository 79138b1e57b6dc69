"""Hypothesis settings that make test results reproducible."""

import hypothesis

# The health check for slow data generation depends on the load of the machine,
# so it is disabled, as are the deadlines.
hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")
