"""The newest known snapshot of each index (pure)."""


class LatestSnapshots:
    """Keeps the newest snapshot reported by the platform or by leaves.

    The snapshot of an index never goes back to an older one.  The last known
    one stays in use while the platform is down.
    """

    __slots__ = ("_current_by_index",)

    def __init__(self) -> None:
        self._current_by_index: dict[str, int] = {}

    @property
    def is_known(self) -> bool:
        """Tell whether a snapshot of any index is known."""
        return bool(self._current_by_index)

    def current(self, index: str) -> int | None:
        """Return the newest known snapshot of the index, or None."""
        return self._current_by_index.get(index)

    def update(self, index: str, snapshot: int) -> None:
        """Apply a snapshot that a leaf or the platform reported."""
        known = self._current_by_index.get(index, snapshot)
        self._current_by_index[index] = max(known, snapshot)
