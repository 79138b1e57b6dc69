"""The router daemons: their components, membership and configuration."""
