"""How old the data is that a store may answer stale reads from (pure)."""

from collections import deque


class OldReads:
    """The revision that stale reads of each kind see.

    ``lag_s`` delays all kinds, ``lag_by_kind`` some.  What a read has once
    seen stays visible while the lag grows.  With ``hides_its_age`` the
    responses state the store's revision instead of that of their data.
    """

    __slots__ = (
        "lag_s",
        "lag_by_kind",
        "hides_its_age",
        "_recorded",
        "_visible_by_kind",
    )

    def __init__(self) -> None:
        self.lag_s = 0.0
        self.lag_by_kind: dict[str, float] = {}
        self.hides_its_age = False
        # Revisions with the times at which they were recorded.
        self._recorded: deque[tuple[float, int]] = deque(maxlen=10_000)
        self._visible_by_kind: dict[str, int] = {}

    def lag_of(self, kind: str) -> float:
        """Return by how many seconds stale reads of the kind are late."""
        return self.lag_by_kind.get(kind, self.lag_s)

    def record(self, revision: int, now: float) -> None:
        """Note when a revision was recorded."""
        self._recorded.append((now, revision))

    def restart(self, revision: int) -> None:
        """Show this revision of a store that came back from a copy."""
        self._recorded.clear()
        self._recorded.append((float("-inf"), revision))
        self._visible_by_kind.clear()

    def visible_revision(self, kind: str, revision: int, now: float) -> int:
        """Return what a stale read sees of a store at ``revision``."""
        lag_s = self.lag_of(kind)
        visible = revision
        if lag_s > 0.0:
            seen = [
                recorded
                for recorded_at, recorded in self._recorded
                if recorded_at <= now - lag_s
            ]
            visible = max(seen, default=0)
        visible = max(visible, self._visible_by_kind.get(kind, 0))
        self._visible_by_kind[kind] = visible
        return visible
