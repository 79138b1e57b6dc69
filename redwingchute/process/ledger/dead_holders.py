"""Finds the holders to retire among those that membership declared dead.

Tokens of a dead holder must become available again. The owner retires it by a
record once the fold shows that it has tokens, which includes grants that were
under way when it was declared dead.
"""

from redwingchute.core import data
from redwingchute.process import incarnations
from redwingchute.process.ledger import fold

# The most dead incarnations that are stored; the oldest are removed first.
_MAX_DEAD = 2_000


class DeadHolders:
    """The incarnations declared dead, and the holders marked for retirement."""

    def __init__(self) -> None:
        """Creates an empty set."""
        self._dead: dict[data.Incarnation, None] = {}
        self._marked: dict[data.Incarnation, None] = {}

    def add(
        self, incarnation: data.Incarnation, shard_fold: fold.ShardFold
    ) -> None:
        """Adds a process, or a single holder, that was declared dead."""
        self._dead[incarnation] = None
        if len(self._dead) > _MAX_DEAD:
            del self._dead[next(iter(self._dead))]
        self.check_fold(shard_fold)

    def check_fold(self, shard_fold: fold.ShardFold) -> None:
        """Marks the dead holders among all holders of the fold."""
        if not self._dead:
            return
        for holder in shard_fold.list_holders():
            self.check_holder(holder)

    def check_holder(self, holder: data.Incarnation) -> None:
        """Marks a holder if it or its process was declared dead."""
        process = incarnations.find_process_incarnation(holder)
        if holder in self._dead or process in self._dead:
            self._marked[holder] = None

    def check_record(self, record: fold.Record) -> None:
        """Marks the dead holders that get tokens from a record."""
        if not isinstance(record, data.Batch):
            return
        for entry in record.entries:
            match entry:
                case data.Grant(holder=holder) | data.Transfer(target=holder):
                    self.check_holder(holder)
                case _:
                    pass

    def pop_unretired(
        self, shard_fold: fold.ShardFold
    ) -> list[data.Incarnation]:
        """Returns the marked holders to retire, and clears all marks."""
        marked, self._marked = self._marked, {}
        return [
            holder
            for holder in marked
            if not shard_fold.is_retired(holder)
            and shard_fold.is_holder(holder)
        ]
