"""Builders of test data and fakes that tests share."""
