"""How far other homes have warmed each leaf (pure).

An instance that becomes a leaf's home starts where the former home was, if
it heard so lately and the leaf still runs under the same incarnation.
"""

from dataclasses import dataclass

MAX_AGE_S = 10.0


@dataclass(frozen=True, slots=True)
class LeafLevel:
    """How many searches at once a home allows a leaf's incarnation."""

    leaf: str
    level: int
    incarnation: str


@dataclass(frozen=True, slots=True)
class _Entry:
    level: LeafLevel
    recorded_at: float


class LeafLevelCache:
    """Keeps the newest level heard of each leaf; times are monotonic."""

    __slots__ = ("_entry_by_leaf",)

    def __init__(self) -> None:
        self._entry_by_leaf: dict[str, _Entry] = {}

    def learn(self, level: LeafLevel, now: float) -> None:
        """Take in what a home says of a leaf."""
        if level.level and level.incarnation:
            self._entry_by_leaf[level.leaf] = _Entry(level, now)

    def find(self, leaf: str, now: float) -> LeafLevel | None:
        """Return what was heard of the leaf within MAX_AGE_S, or None."""
        entry = self._entry_by_leaf.get(leaf)
        if entry is None or now - entry.recorded_at > MAX_AGE_S:
            return None
        return entry.level
