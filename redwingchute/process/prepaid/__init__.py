"""Grants of prepaid tokens in the shared log and charges between routers."""
