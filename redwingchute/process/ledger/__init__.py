"""The ledger of prepaid budgets: its fold, its owners and its holders."""
