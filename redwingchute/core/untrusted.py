"""Decoding of data that another program wrote."""

# What decoding may raise for data of any shape. Deeply nested JSON raises
# RecursionError, and a number that no float holds raises OverflowError.
DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
