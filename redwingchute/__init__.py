"""A router fleet for prepaid token budgets."""
