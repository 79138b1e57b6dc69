"""Immutable records and request outcomes that all other packages use."""
