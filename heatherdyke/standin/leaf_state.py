"""The snapshots, shards and active faults of a stand-in leaf."""

from collections import Counter
from dataclasses import replace
from time import monotonic

from heatherdyke.messages import LeafAnswer
from heatherdyke.messages import LeafSearch
from heatherdyke.standin.leaf_model import LeafFaults
from heatherdyke.standin.leaf_model import LeafProfile

COUNTED_FAULT_NAMES = ("cross_answers", "truncate_answers", "cut_answers")
PROFILE_FAULT_NAMES = ("service_ms", "straggler_share", "straggler_factor")


class LeafState:
    """Snapshots, shard splits, drain and answer faults of one leaf."""

    __slots__ = (
        "profile",
        "snapshots",
        "children_by_shard",
        "health",
        "drain_started_at",
        "_drain_answer_s",
        "_remaining_by_fault",
        "_last_answer",
    )

    def __init__(self, profile: LeafProfile) -> None:
        self.profile = profile
        self.snapshots = list(profile.snapshots)
        self.children_by_shard: dict[str, list[str]] = {}
        self.health = "ok"
        self.drain_started_at: float | None = None
        self._drain_answer_s = 0.0
        self._remaining_by_fault: Counter[str] = Counter()
        self._last_answer: LeafAnswer | None = None

    def apply(self, faults: LeafFaults) -> None:
        """Apply the values that are set in ``faults``."""
        changes = {
            name: getattr(faults, name)
            for name in PROFILE_FAULT_NAMES
            if getattr(faults, name) is not None
        }
        self.profile = replace(self.profile, **changes)
        for name in COUNTED_FAULT_NAMES:
            self._remaining_by_fault[name] += getattr(faults, name)
        if faults.snapshots is not None:
            self.snapshots = faults.snapshots
        if faults.children_by_shard is not None:
            self.children_by_shard = faults.children_by_shard
        if faults.health is not None:
            self.health = faults.health
        if faults.drain_answer_s is not None:
            self._drain_answer_s = faults.drain_answer_s
        if faults.drain is not None:
            self.drain_started_at = monotonic() if faults.drain else None

    @property
    def is_draining(self) -> bool:
        """Tell whether the leaf is draining."""
        return self.drain_started_at is not None

    @property
    def drain_s(self) -> float:
        """Return the seconds since the drain started, or 0."""
        if self.drain_started_at is None:
            return 0.0
        return monotonic() - self.drain_started_at

    @property
    def refuses_all(self) -> bool:
        """Tell whether the drain has reached the stage of refusing all."""
        return self.is_draining and self.drain_s >= self._drain_answer_s

    def find_refusal(self, search: LeafSearch) -> str | None:
        """Return the kind of refusal for the search, or None."""
        if self.refuses_all:
            return "draining"
        if search.remaining_ms <= 0:
            return "deadline"
        if search.shard in self.children_by_shard:
            return "shard_split"
        if not self._serves_shard(search.shard):
            return "unknown_shard"
        if search.snapshot not in self.snapshots:
            return "snapshot_gone"
        return None

    def apply_answer_faults(self, answer: LeafAnswer) -> LeafAnswer:
        """Return ``answer``, or its replacement by an active fault."""
        last, self._last_answer = self._last_answer, answer
        if last is not None and self.consume_fault("cross_answers"):
            return last
        if self.consume_fault("truncate_answers"):
            half = answer.items[: len(answer.items) // 2]
            return replace(answer, items=half, truncated=True)
        return answer

    def consume_fault(self, name: str) -> bool:
        """Consume one occurrence of a fault; return False if none remain."""
        if self._remaining_by_fault[name] <= 0:
            return False
        self._remaining_by_fault[name] -= 1
        return True

    def _serves_shard(self, shard: str) -> bool:
        if not self.profile.shards or shard in self.profile.shards:
            return True
        return any(
            shard in children for children in self.children_by_shard.values()
        )
