"""What lives as long as the process: ledger, membership, daemon."""
