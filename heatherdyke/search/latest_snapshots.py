"""Which snapshot of each index is the newest known (pure)."""


class LatestSnapshots:
    """Learns snapshots from the platform and from what leaves report.

    A snapshot only ever grows newer; the last known one stays in use
    while the platform is down.
    """

    __slots__ = ("_current_by_index",)

    def __init__(self) -> None:
        self._current_by_index: dict[str, int] = {}

    @property
    def is_known(self) -> bool:
        """Tell whether any index's snapshot is known."""
        return bool(self._current_by_index)

    def current(self, index: str) -> int | None:
        """Return the newest known snapshot of the index, if any is."""
        return self._current_by_index.get(index)

    def update(self, index: str, snapshot: int) -> None:
        """Take in a snapshot that a leaf or the platform reported."""
        known = self._current_by_index.get(index, snapshot)
        self._current_by_index[index] = max(known, snapshot)
