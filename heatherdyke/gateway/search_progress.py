"""Decides when a search over many shards is answered (pure).

An answer is most useful within the route's latency objective, and more useful
the larger its share of shards.  So the search waits for all shards until
shortly before the objective.  It then answers with the parts received if they
reach the minimum share, otherwise as soon as they do.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from math import ceil

# A share of 0.9 of ten shards is nine, whatever the product is rounded to.
ROUNDING = 1e-9


class Decision(Enum):
    """What to do with a search now."""

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give_up"


@dataclass(slots=True)
class SearchProgress:
    """The shards of one search: outstanding, answered or lost.

    From ``answer_at`` on, a sufficient answer is sent without waiting for
    more; at ``deadline_at`` a search without one is given up.  Both are
    monotonic.  A group is a part of a search that ends once all its shards
    are answered or lost, however few are answered.
    """

    shard_count: int
    min_share: float
    answer_at: float
    deadline_at: float
    is_group: bool = False
    answered: set[str] = field(default_factory=set)
    lost: set[str] = field(default_factory=set)

    @property
    def is_settled(self) -> bool:
        """Return whether each shard is answered or lost."""
        return len(self.answered) + len(self.lost) >= self.shard_count

    def add_answer(self, shard: str) -> bool:
        """Count a shard as answered; return False if it already was."""
        if shard in self.answered:
            return False
        self.lost.discard(shard)
        self.answered.add(shard)
        return True

    def add_loss(self, shard: str) -> None:
        """Count a shard as lost: no further part is expected from it."""
        if shard not in self.answered:
            self.lost.add(shard)

    @property
    def is_sufficient(self) -> bool:
        """Return whether the answered shards reach the minimum share."""
        return meets_min_share(
            len(self.answered), self.shard_count, self.min_share
        )

    @property
    def can_be_sufficient(self) -> bool:
        """Return whether the shards that are not lost can reach it."""
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
        return Decision.GIVE_UP if now >= self.deadline_at else Decision.WAIT


def meets_min_share(answered: int, shard_count: int, min_share: float) -> bool:
    """Return whether this many shards, at least one, reach the share."""
    return answered >= required_shards(shard_count, min_share)


def required_shards(shard_count: int, min_share: float) -> int:
    """Return how many shards, at least one, reach the share."""
    return max(1, ceil(min_share * shard_count - ROUNDING))
