"""Detects when the shared log has returned from an earlier copy of itself.

Each response names the era of the log, which rises when the log returns from a
copy: acknowledged records are then gone, and their offsets are given out again.
The wrapper lets no caller mix eras. It discards a response of an earlier era
than one that arrived before, and a position of an earlier era is never compared
with the offsets of a later one.
"""

from collections.abc import Callable

from redwingchute.process import decision_log
from redwingchute.process import shared_log


class EraLog:
    """Wraps a shared log; implements `shared_log.SharedLog`.

    Attributes:
      era: The newest era that a response named; -1 before the first response.
    """

    def __init__(self, log: shared_log.SharedLog) -> None:
        """Wraps a log, of which no response is known yet."""
        self.era = -1
        self._log = log
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, handle_change: Callable[[], None]) -> None:
        """Has a function called after each change of the era.

        Args:
          handle_change: The function; it must not block.
        """
        self._listeners.append(handle_change)

    async def append(
        self,
        topic: str,
        records: tuple[shared_log.KeyedRecord, ...],
        stamp: shared_log.ProducerStamp,
        at: shared_log.LogPosition | None = None,
    ) -> shared_log.AppendResult:
        """Appends records; see `shared_log.SharedLog`."""
        if at is not None and at.era != self.era:
            return shared_log.LogUnavailable("the position is of another era")
        result = await self._log.append(topic, records, stamp, at)
        if not self._observe(result):
            return _make_outdated()
        if (
            isinstance(result, shared_log.Appended)
            and at is not None
            and result.era != at.era
        ):
            # The log evaluated the condition in another era, where the offset
            # has another meaning.
            return shared_log.LogUnavailable(
                "the append took effect in another era",
                may_have_run=True,
                era=result.era,
            )
        return result

    async def read(
        self,
        topic: str,
        position: shared_log.LogPosition,
        wait_ms: int,
        response_timeout_ms: int | None = None,
    ) -> shared_log.ReadResult:
        """Reads records; see `shared_log.SharedLog`."""
        if position.era != self.era:
            return shared_log.HistoryGone(self.era)
        result = await self._log.read(
            topic, position, wait_ms, response_timeout_ms
        )
        if not self._observe(result):
            return _make_outdated()
        if (
            isinstance(result, shared_log.ReadRecords)
            and result.era != position.era
        ):
            return shared_log.HistoryGone(result.era)
        return result

    async def read_newest(
        self, topic: str
    ) -> shared_log.Newest | shared_log.LogUnavailable:
        """Reads the newest records; see `shared_log.SharedLog`."""
        result = await self._log.read_newest(topic)
        if not self._observe(result):
            return _make_outdated()
        return result

    def _observe(self, result: shared_log.Result) -> bool:
        """Records the era of a result.

        Returns:
          Whether the result may be used: it has no era, or none earlier than
          the newest one.
        """
        if result.era is None:
            return True
        if result.era < self.era:
            return False
        if result.era > self.era:
            era_before, self.era = self.era, result.era
            if era_before >= 0:
                decision_log.log_event(
                    "log_era_changed", era=self.era, era_before=era_before
                )
                for handle_change in self._listeners:
                    handle_change()
        return True


def _make_outdated() -> shared_log.LogUnavailable:
    """Returns the result of a call whose response is of an earlier era."""
    return shared_log.LogUnavailable(
        "the response is of an earlier era", may_have_run=True
    )
