"""How many requests a second a cold leaf may get from here (pure).

The users bound the requests to a cold leaf in any second, summed over all
instances, in touch or not.  If an equal part of the bound is at least one
request, each instance keeps to its part.  Otherwise one instance alone, which
all agree on from the list of instances, may send.
"""

from collections import deque

# Part of the bound that is used; the rest is for views that differ.
RATE_USED = 0.8
# Part of the bound that the one sender uses, since two may take themselves
# for it while the list of instances changes.
OWNER_USED = 0.4
WINDOW_S = 1.1


def cold_allowance(
    bound: float, instances: int, is_owner: bool, known: bool
) -> int:
    """Return how many requests a second may go to a cold leaf from here.

    ``known`` tells whether the list of instances has been read.
    """
    if not known or bound < 1.0:
        return 0
    part = int(bound * RATE_USED / max(1, instances))
    if part >= 1:
        return part
    return max(1, int(bound * OWNER_USED)) if is_owner else 0


class ColdRateLimiter:
    """Counts what went to cold leafs in the last second.

    A process that has just started, at ``started_at``, does not know what it
    sent before, so that it sends nothing for as long.
    """

    __slots__ = ("_from", "_sent_at_by_leaf")

    def __init__(self, started_at: float) -> None:
        self._from = started_at + WINDOW_S
        self._sent_at_by_leaf: dict[str, deque[float]] = {}

    def allows(self, leaf_id: str, allowance: int, now: float) -> bool:
        """Tell whether one more request is allowed."""
        if now < self._from:
            return False
        sent_at = self._sent_at_by_leaf.setdefault(leaf_id, deque())
        while sent_at and sent_at[0] <= now - WINDOW_S:
            sent_at.popleft()
        return len(sent_at) < allowance

    def try_acquire(self, leaf_id: str, allowance: int, now: float) -> bool:
        """Count one request and return True if it is allowed."""
        if not self.allows(leaf_id, allowance, now):
            return False
        self._sent_at_by_leaf[leaf_id].append(now)
        return True

    def remove(self, leaf_id: str) -> None:
        """Drop the counts of a leaf that is gone."""
        self._sent_at_by_leaf.pop(leaf_id, None)
