"""Benchmarks of budget division, request routing and the router daemon."""
