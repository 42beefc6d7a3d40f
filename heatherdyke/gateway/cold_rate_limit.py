"""Limits the requests per second to a cold leaf (pure).

The limit holds fleet-wide for any second, also for instances that cannot
reach each other.  If an equal share of it is at least one request, each
instance keeps to its share.  Otherwise only the leaf's owner may send, which
each instance computes from the list of instances.
"""

from collections import deque

# Share of the limit that is used; the remainder allows for instances whose
# lists of instances differ.
RATE_SHARE_USED = 0.8
# Share of the limit that an owner uses; while the list of instances changes,
# two instances may both take themselves for the owner.
OWNER_SHARE_USED = 0.4
# A little longer than the second that the limit covers.
WINDOW_S = 1.1


def cold_allowance(
    bound: float, instances: int, is_owner: bool, known: bool
) -> int:
    """Return this instance's requests per second to a cold leaf.

    ``bound`` is the fleet-wide limit, ``known`` is whether the list of
    instances has been read.
    """
    if not known or bound < 1.0:
        return 0
    equal_share = int(bound * RATE_SHARE_USED / max(1, instances))
    if equal_share >= 1:
        return equal_share
    return max(1, int(bound * OWNER_SHARE_USED)) if is_owner else 0


class ColdRateLimiter:
    """Counts the requests sent to each cold leaf in the last window.

    A process that starts at ``started_at`` does not know what its previous
    run sent, so it allows nothing for one window.
    """

    __slots__ = ("_starts_at", "_sent_at_by_leaf")

    def __init__(self, started_at: float) -> None:
        self._starts_at = started_at + WINDOW_S
        self._sent_at_by_leaf: dict[str, deque[float]] = {}

    def allows(self, leaf_id: str, allowance: int, now: float) -> bool:
        """Return whether one more request is allowed now."""
        if now < self._starts_at:
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
        """Drop the counts of a removed leaf."""
        self._sent_at_by_leaf.pop(leaf_id, None)
