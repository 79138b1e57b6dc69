"""Keeps a router's configuration current by reading the platform's log."""

import asyncio
from collections.abc import Callable

from redwingchute.core import configuration
from redwingchute.process import publisher
from redwingchute.process.ledger import log_client
from redwingchute.process.ledger import log_outcomes
from redwingchute.version import change_fold
from redwingchute.wire import codec

_WAIT_MS = 10_000
_PAGE_RECORDS = 500
_RETRY_S = 0.5


class ConfigurationReader:
    """Follows the configuration stream.

    Attributes:
      fold: The state after the records read so far.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        wire_codec: codec.Codec,
        on_change: Callable[[], None],
    ) -> None:
        """Prepares to read the stream from its begin.

        Args:
          log: The platform's log service.
          wire_codec: Decodes the records.
          on_change: Called when a new version is in force.
        """
        self._log = log
        self._codec = wire_codec
        self._on_change = on_change
        self.fold = change_fold.ConfigurationFold()

    def find_current(self) -> configuration.Configuration | None:
        """Returns the version in force, or None before the first one."""
        current = self.fold.current
        return current if current.version else None

    async def run(self) -> None:
        """Reads until cancelled."""
        while True:
            version = self.fold.current.version
            page = await self._log.read(
                publisher.STREAM,
                self.fold.next_offset,
                _PAGE_RECORDS,
                _WAIT_MS,
            )
            match page:
                case log_outcomes.Trimmed(first):
                    self.fold.skip_to(first)
                case log_outcomes.Page():
                    publisher.apply_page(self.fold, page, self._codec)
                case log_outcomes.LogUnreachable():
                    await asyncio.sleep(_RETRY_S)
            if self.fold.current.version != version:
                self._on_change()
