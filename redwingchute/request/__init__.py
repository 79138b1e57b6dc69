"""Request handling: admission, routing, attempts, retries and responses."""
