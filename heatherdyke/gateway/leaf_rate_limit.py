"""Keeps to the request rates that leafs state (pure).

A leaf under load states in its responses how many requests per second it
accepts from all instances together.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class _StatedLimit:
    """The rate that a leaf states, since ``first_at``; last at ``last_at``."""

    rate: float
    first_at: float
    last_at: float


class LeafRateLimiter:
    """The leafs' stated rates, by leaf id."""

    __slots__ = ("_limit_by_leaf",)

    def __init__(self) -> None:
        self._limit_by_leaf: dict[str, _StatedLimit] = {}

    def record_limit(self, leaf_id: str, rate: float, now: float) -> bool:
        """Record a response that states a rate; return whether it changed."""
        limit = self._limit_by_leaf.get(leaf_id)
        if limit is None:
            self._limit_by_leaf[leaf_id] = _StatedLimit(rate, now, now)
            return True
        changed = limit.rate != rate
        limit.rate = rate
        limit.last_at = now
        return changed

    def record_no_limit(
        self, leaf_id: str, sent_at: float, now: float
    ) -> float | None:
        """Record a success without a rate; return how long one applied.

        Responses may overtake each other, so that of a request sent before
        the rate was last stated does not end it.  Returns None if no rate
        ended.
        """
        limit = self._limit_by_leaf.get(leaf_id)
        if limit is None or sent_at <= limit.last_at:
            return None
        del self._limit_by_leaf[leaf_id]
        return now - limit.first_at

    def forget(self, leaf_id: str) -> None:
        """Drop the state of a leaf that is no longer used."""
        self._limit_by_leaf.pop(leaf_id, None)
