"""Measures the decisions and the daemon against the target."""
