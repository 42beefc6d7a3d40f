"""What a stand-in leaf holds and which faults are set on it."""

from collections import Counter
from dataclasses import replace
from time import monotonic

from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.standin.leaf_model import LeafFaults
from heatherdyke.standin.leaf_model import LeafProfile

COUNTED_FAULTS = ("cross_answers", "truncate_answers", "cut_answers")
PROFILE_FAULTS = ("service_ms", "straggler_share", "straggler_factor")


class LeafState:
    """Snapshots, splits, drain and spoilt answers of one leaf."""

    __slots__ = (
        "profile",
        "snapshots",
        "children_by_shard",
        "health",
        "drain_since",
        "_drain_answer_s",
        "_left_by_fault",
        "_last_answer",
    )

    def __init__(self, profile: LeafProfile) -> None:
        self.profile = profile
        self.snapshots = list(profile.snapshots)
        self.children_by_shard: dict[str, list[str]] = {}
        self.health = "ok"
        self.drain_since: float | None = None
        self._drain_answer_s = 0.0
        self._left_by_fault: Counter[str] = Counter()
        self._last_answer: LeafAnswer | None = None

    def apply(self, faults: LeafFaults) -> None:
        """Take over what ``faults`` changes."""
        changes = {
            name: getattr(faults, name)
            for name in PROFILE_FAULTS
            if getattr(faults, name) is not None
        }
        self.profile = replace(self.profile, **changes)
        for name in COUNTED_FAULTS:
            self._left_by_fault[name] += getattr(faults, name)
        if faults.snapshots is not None:
            self.snapshots = faults.snapshots
        if faults.children_by_shard is not None:
            self.children_by_shard = faults.children_by_shard
        if faults.health is not None:
            self.health = faults.health
        if faults.drain_answer_s is not None:
            self._drain_answer_s = faults.drain_answer_s
        if faults.drain is not None:
            self.drain_since = monotonic() if faults.drain else None

    @property
    def is_draining(self) -> bool:
        """Tell whether a drain has begun."""
        return self.drain_since is not None

    @property
    def drain_s(self) -> float:
        """Return the seconds since the drain began, or 0."""
        if self.drain_since is None:
            return 0.0
        return monotonic() - self.drain_since

    @property
    def refuses_all(self) -> bool:
        """Tell whether the drain has gone so far that all is refused."""
        return self.is_draining and self.drain_s >= self._drain_answer_s

    def find_refusal(self, search: LeafSearch) -> str | None:
        """Return the kind of refusal that the search meets, if any."""
        if self.refuses_all:
            return "draining"
        if search.remaining_ms <= 0:
            return "deadline"
        if search.shard in self.children_by_shard:
            return "shard_split"
        if not self._holds(search.shard):
            return "unknown_shard"
        if search.snapshot not in self.snapshots:
            return "snapshot_gone"
        return None

    def spoil(self, answer: LeafAnswer) -> LeafAnswer:
        """Return what is sent in place of ``answer``."""
        last, self._last_answer = self._last_answer, answer
        if last is not None and self.take_fault("cross_answers"):
            return last
        if self.take_fault("truncate_answers"):
            half = answer.items[: len(answer.items) // 2]
            return replace(answer, items=half, truncated=True)
        return answer

    def take_fault(self, name: str) -> bool:
        """Use up one of a counted fault; return False if none is left."""
        if self._left_by_fault[name] <= 0:
            return False
        self._left_by_fault[name] -= 1
        return True

    def _holds(self, shard: str) -> bool:
        if not self.profile.shards or shard in self.profile.shards:
            return True
        return any(
            shard in children for children in self.children_by_shard.values()
        )
