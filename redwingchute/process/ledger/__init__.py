"""The ledger of prepaid budgets: the fold, the owners and the holders."""
