"""The messages by which routers pass the configuration stream to each other."""

import attrs


@attrs.frozen
class ConfigurationDigest:
    """Tells how far its sender knows the configuration stream.

    Attributes:
      next_offset: The offset after the last record that it has applied.
      version: The configuration version in force there.
      age_ms: How long ago this was known to be the stream's end.
    """

    next_offset: int
    version: int
    age_ms: int


@attrs.frozen
class ConfigurationPull:
    """Asks for the records from an offset on.

    Attributes:
      from_offset: The offset of the first record wanted.
      needs_checkpoint: Whether the sender lacks the state before it.
    """

    from_offset: int
    needs_checkpoint: bool


@attrs.frozen
class LoggedRecord:
    """One record of the stream, as it stands in the log."""

    offset: int
    body: bytes


@attrs.frozen
class ConfigurationRecords:
    """The answer to a pull.

    Attributes:
      next_offset: How far its sender knows the stream.
      records: Consecutive records.
      checkpoint: An encoded `ConfigurationCheckpoint`, when the sender no
        longer holds the records that were asked for; otherwise empty.
    """

    next_offset: int
    records: tuple[LoggedRecord, ...] = ()
    checkpoint: bytes = b""
