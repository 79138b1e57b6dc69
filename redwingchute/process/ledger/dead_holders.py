"""Finds the holders whose processes membership holds for dead.

Their tokens must not stay out. An owner retires each by record once the fold
shows that it holds something, also when its grant was under way as it died.
"""

from redwingchute.core import data
from redwingchute.process import incarnations
from redwingchute.process.ledger import fold

# The dead incarnations that an owner keeps in mind.
_MAX_DEAD = 2_000


class DeadHolders:
    """The incarnations declared dead, and their holders to be retired."""

    def __init__(self) -> None:
        """Starts with nobody dead."""
        self._dead: dict[data.Incarnation, None] = {}
        self._unchecked: dict[data.Incarnation, None] = {}

    def add(
        self, incarnation: data.Incarnation, shard_fold: fold.ShardFold
    ) -> None:
        """Notes that a process, or a single holder, is held for dead."""
        self._dead[incarnation] = None
        if len(self._dead) > _MAX_DEAD:
            del self._dead[next(iter(self._dead))]
        self.check(shard_fold)

    def check(self, shard_fold: fold.ShardFold) -> None:
        """Marks the fold's dead holders to be retired."""
        if not self._dead:
            return
        for holder in shard_fold.list_holders():
            self.note_caller(holder)

    def note_caller(self, holder: data.Incarnation) -> None:
        """Marks a holder that was heard of, if it is held for dead."""
        process = incarnations.find_process_incarnation(holder)
        if holder in self._dead or process in self._dead:
            self._unchecked[holder] = None

    def note_granted(self, record: fold.Record) -> None:
        """Marks dead holders that a record granted something."""
        if not isinstance(record, data.Batch):
            return
        for entry in record.entries:
            match entry:
                case data.Grant(holder=holder):
                    self.note_caller(holder)
                case _:
                    pass

    def take_unretired(
        self, shard_fold: fold.ShardFold
    ) -> list[data.Incarnation]:
        """Returns the marked holders that the fold must retire."""
        unchecked, self._unchecked = self._unchecked, {}
        return [
            each
            for each in unchecked
            if not shard_fold.is_retired(each) and shard_fold.is_holder(each)
        ]
