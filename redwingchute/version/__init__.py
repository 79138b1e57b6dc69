"""What lives for one configuration version."""
