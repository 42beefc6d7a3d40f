"""When a search over many shards is answered (pure).

An answer within the route's objective is worth most, and the more the larger
the share of shards in it.  So the search waits for all shards up to shortly
before the objective, then answers with what is there if that is enough, and
otherwise as soon as it is enough.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class Decision(Enum):
    """What to do with a search now."""

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give_up"


@dataclass(slots=True)
class SearchProgress:
    """Shards of one search: open, answered or lost.

    ``answer_at`` is when an answer that is enough is not held any longer,
    ``limit_at`` the last moment; both monotonic.  A group is a part
    of a search: it ends once all its shards have, however few answered.
    """

    shard_count: int
    min_share: float
    answer_at: float
    limit_at: float
    is_group: bool = False
    answered: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)

    @property
    def is_settled(self) -> bool:
        """Tell whether each shard has answered or is lost."""
        return len(self.answered) + len(self.lost) >= self.shard_count

    def add_answer(self, shard: str) -> bool:
        """Count a shard's part; return False if it is there already."""
        if shard in self.answered:
            return False
        self.lost.discard(shard)
        self.answered.add(shard)
        return True

    def add_loss(self, shard: str) -> None:
        """Count a shard from which no part is to come any more."""
        if shard not in self.answered:
            self.lost.add(shard)

    @property
    def is_sufficient(self) -> bool:
        """Tell whether the answered shards make up the least share."""
        return meets_min_share(
            len(self.answered), self.shard_count, self.min_share
        )

    @property
    def can_be_sufficient(self) -> bool:
        """Tell whether the shards that are not lost can."""
        possible = self.shard_count - len(self.lost)
        return meets_min_share(possible, self.shard_count, self.min_share)

    @property
    def missing(self) -> int:
        """Return the number of shards without a part."""
        return self.shard_count - len(self.answered)

    def decision(self, now: float) -> Decision:
        """Return what to do at ``now``."""
        settled = self.is_settled
        if self.is_group and settled:
            return Decision.ANSWER
        if not self.is_group and not self.can_be_sufficient:
            return Decision.GIVE_UP
        if self.is_sufficient and (settled or now >= self.answer_at):
            return Decision.ANSWER
        return Decision.GIVE_UP if now >= self.limit_at else Decision.WAIT


def meets_min_share(answered: int, shard_count: int, min_share: float) -> bool:
    """Tell whether so many shards make an answer; it needs one at least."""
    needed = min_share * shard_count - 1e-9
    return answered >= 1 and answered >= needed
