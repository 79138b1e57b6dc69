"""The messages that distribute the configuration stream between routers."""

import attrs


@attrs.frozen
class ConfigurationDigest:
    """States how much of the configuration stream its sender has applied.

    Attributes:
      next_offset: The offset after the last record that it has applied.
      version: The configuration version in force at the sender.
      age_ms: How long ago this was known to be the end of the stream.
    """

    next_offset: int
    version: int
    age_ms: int


@attrs.frozen
class ConfigurationPull:
    """Requests the records of the configuration stream from an offset on.

    Attributes:
      from_offset: The offset of the first requested record.
      needs_checkpoint: Whether the sender lacks the state before that offset.
    """

    from_offset: int
    needs_checkpoint: bool


@attrs.frozen
class LoggedRecord:
    """One record of the stream, encoded as in the log."""

    offset: int
    body: bytes


@attrs.frozen
class ConfigurationRecords:
    """The reply to a `ConfigurationPull`.

    Attributes:
      next_offset: The offset after the last record that its sender has applied.
      records: Consecutive records.
      checkpoint: An encoded `ConfigurationCheckpoint` if the sender no longer
        has the requested records; otherwise empty.
    """

    next_offset: int
    records: tuple[LoggedRecord, ...] = ()
    checkpoint: bytes = b""
