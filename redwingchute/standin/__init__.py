"""Stand-ins: small servers that replace the platform, its store and upstreams.

Tests, scenarios and demos run them in place of the real services.
"""
