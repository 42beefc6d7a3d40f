"""Tracks which share of the pinned snapshot an answer covers (pure)."""

from dataclasses import dataclass
from dataclasses import field

from heatherdyke.messages import Coverage
from heatherdyke.messages import Part
from heatherdyke.messages import PartState


@dataclass(slots=True)
class CoverageTracker:
    """Coverage of one search, over the shards of its snapshot.

    A shard counts once, with its full weight, however many replicas
    answered, and only if a part of it is whole.  A split shard counts by the
    share of its children that answered whole.  Truncated parts count as
    whole only if not ``exclude_truncated``.
    """

    weight_by_shard: dict[str, float]
    exclude_truncated: bool = True
    state_by_shard: dict[str, PartState] = field(default_factory=dict)
    total_by_shard: dict[str, int] = field(default_factory=dict)
    children_by_shard: dict[str, list[str]] = field(default_factory=dict)

    def add(self, part: Part) -> None:
        """Apply a part; a whole part is never replaced by another one."""
        if self.state_by_shard.get(part.shard) is PartState.WHOLE:
            return
        if part.state is PartState.SPLIT:
            self._record_split(part)
            return
        self.state_by_shard[part.shard] = part.state
        if part.state in (PartState.WHOLE, PartState.TRUNCATED):
            self.total_by_shard[part.shard] = part.total

    def is_whole(self, shard: str) -> bool:
        """Tell whether the shard is covered in full."""
        return self._shard_share(shard) >= 1.0

    @property
    def has_answers(self) -> bool:
        """Tell whether any shard answered, in full or in part."""
        return bool(self.total_by_shard)

    def total(self) -> int:
        """Return the number of hits reported by the shards that answered."""
        return sum(self.total_by_shard.values())

    def covered_share(self) -> float:
        """Return the covered share of the weight, from 0 to 1."""
        return self.result().share

    def result(self) -> Coverage:
        """Return the coverage and the shards that are not covered in full."""
        missing = []
        covered = 0.0
        for shard, weight in self.weight_by_shard.items():
            share = self._shard_share(shard)
            covered += weight * share
            if share < 1.0:
                missing.append(shard)
        total = sum(self.weight_by_shard.values())
        return Coverage(covered, total, sorted(missing))

    def _record_split(self, part: Part) -> None:
        """Record the children, unless a shard would descend from itself."""
        if any(self._contains(child, part.shard) for child in part.children):
            return
        self.state_by_shard[part.shard] = part.state
        self.children_by_shard[part.shard] = list(part.children)

    def _contains(self, shard: str, descendant: str) -> bool:
        if shard == descendant:
            return True
        children = self.children_by_shard.get(shard, [])
        return any(self._contains(child, descendant) for child in children)

    def _shard_share(self, shard: str) -> float:
        children = self.children_by_shard.get(shard)
        if children:
            return sum(map(self._shard_share, children)) / len(children)
        state = self.state_by_shard.get(shard)
        if state is PartState.WHOLE:
            return 1.0
        if not self.exclude_truncated and state is PartState.TRUNCATED:
            return 1.0
        return 0.0
