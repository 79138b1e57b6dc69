"""What lives for one connection: HTTP and peer links."""
