"""Translates between the product and the platform that it runs on.

Nothing outside this package knows the platform's names. Each module decodes
one kind of document into the project's own records.
"""
