"""Prepaid tokens: grants in the shared log, charges between routers."""
