"""Caches the cold-start level that other instances allow each leaf (pure).

An instance that becomes a leaf's home continues the cold start at the level
of the previous home instance, if it received this level within MAX_AGE_S
and the leaf still runs with the same incarnation.
"""

from dataclasses import dataclass

MAX_AGE_S = 10.0


@dataclass(frozen=True, slots=True)
class LeafLevel:
    """The concurrency limit that a home instance sets for a leaf."""

    leaf: str
    level: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class _Entry:
    level: LeafLevel
    recorded_at: float


class LeafLevelCache:
    """Keeps the last level received of each leaf; times are monotonic."""

    __slots__ = ("_entry_by_leaf",)

    def __init__(self) -> None:
        self._entry_by_leaf: dict[str, _Entry] = {}

    def record(self, level: LeafLevel, now: float) -> None:
        """Store a level received from a leaf's home instance.

        A level of 0 or without an incarnation is ignored.
        """
        if level.level and level.incarnation:
            self._entry_by_leaf[level.leaf] = _Entry(level, now)

    def find(self, leaf: str, now: float) -> LeafLevel | None:
        """Return the leaf's level if at most MAX_AGE_S old, or None."""
        entry = self._entry_by_leaf.get(leaf)
        if entry is None or now - entry.recorded_at > MAX_AGE_S:
            return None
        return entry.level
