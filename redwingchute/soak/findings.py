"""The record of a promise that a soak saw broken."""

import attrs


@attrs.frozen
class Violation:
    """A promise that was broken.

    Attributes:
      rule: The name of the check.
      subject: The id of the request, or the name of the service.
      message: What was observed.
    """

    rule: str
    subject: str
    message: str
