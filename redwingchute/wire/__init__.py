"""Encoding of records for the log and for links between routers."""
