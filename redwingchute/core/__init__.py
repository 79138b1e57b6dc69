"""Immutable records and the outcomes that every other package shares."""
