"""The ledger of prepaid budgets, kept in the platform's log."""
