"""Counts what an answer covers of the pinned snapshot (pure)."""

from dataclasses import dataclass
from dataclasses import field

from heatherdyke.messages import Coverage
from heatherdyke.messages import Part
from heatherdyke.messages import PartState


@dataclass(slots=True)
class CoverageCount:
    """Coverage of one search, over the shards of its snapshot.

    A shard counts once, however many replicas answered, with its whole
    weight, and only if its part is whole.  A shard that was split counts
    by the share of its children that answered whole.
    """

    weight_by_shard: dict[str, float]
    check: bool = True
    state_by_shard: dict[str, PartState] = field(default_factory=dict)
    total_by_shard: dict[str, int] = field(default_factory=dict)
    children_by_shard: dict[str, list[str]] = field(default_factory=dict)

    def add(self, part: Part) -> None:
        """Take in a part; a whole one is never replaced by a worse one."""
        if self.state_by_shard.get(part.shard) is PartState.WHOLE:
            return
        if part.state is PartState.SPLIT:
            self._split(part)
            return
        self.state_by_shard[part.shard] = part.state
        if part.state in (PartState.WHOLE, PartState.TRUNCATED):
            self.total_by_shard[part.shard] = part.total

    def is_whole(self, shard: str) -> bool:
        """Tell whether all of the shard has answered."""
        return self._share(shard) >= 1.0

    @property
    def has_answers(self) -> bool:
        """Tell whether any shard answered, in whole or in part."""
        return bool(self.total_by_shard)

    def total(self) -> int:
        """Return the number of hits that the answering shards reported."""
        return sum(self.total_by_shard.values())

    def covered_share(self) -> float:
        """Return the covered share of the weight, from 0 to 1."""
        return self.result().share

    def result(self) -> Coverage:
        """Return the coverage with the shards that are not whole."""
        missing = []
        covered = 0.0
        for shard, weight in self.weight_by_shard.items():
            share = self._share(shard)
            covered += weight * share
            if share < 1.0:
                missing.append(shard)
        total = sum(self.weight_by_shard.values())
        return Coverage(covered, total, sorted(missing))

    def _split(self, part: Part) -> None:
        """Note the children, unless a shard would descend from itself."""
        if any(self._reaches(child, part.shard) for child in part.children):
            return
        self.state_by_shard[part.shard] = part.state
        self.children_by_shard[part.shard] = list(part.children)

    def _reaches(self, shard: str, wanted: str) -> bool:
        if shard == wanted:
            return True
        children = self.children_by_shard.get(shard, [])
        return any(self._reaches(child, wanted) for child in children)

    def _share(self, shard: str) -> float:
        children = self.children_by_shard.get(shard)
        if children:
            return sum(map(self._share, children)) / len(children)
        state = self.state_by_shard.get(shard)
        if state is PartState.WHOLE:
            return 1.0
        if not self.check and state is PartState.TRUNCATED:
            return 1.0
        return 0.0
