"""What lives for one request: admission, routing, attempts, answers."""
